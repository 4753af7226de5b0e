#include "claimlease.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds longestSlice = 1h;

} // namespace

ClaimLease::ClaimLease(KeyValueStore& store, std::chrono::milliseconds retention)
    : store(store)
    , retention(retention)
    , slice(std::min(longestSlice, retention))
{
}

auto ClaimLease::acquire(TimePoint now, Handler handler) -> void
{
    if (this->lease != 0 && now < this->sliceEnd)
        return handler({}, this->lease);
    this->waiting.push_back(std::move(handler));
    if (this->waiting.size() > 1)
        return;
    // The slice counts from before the store does, so it ends early and never late.
    this->store.grantLease(this->slice + this->retention,
        [this, now](std::error_code error, LeaseId granted) { this->granted(error, granted, now); });
}

auto ClaimLease::granted(std::error_code error, LeaseId granted, TimePoint asked) -> void
{
    if (!error) {
        this->lease = granted;
        this->sliceEnd = asked + this->slice;
    }
    const auto handlers = std::exchange(this->waiting, {});
    for (const auto& handler : handlers)
        handler(error, granted);
}

auto ClaimLease::forget(LeaseId lease) -> void
{
    if (this->lease == lease)
        this->lease = 0;
}

} // namespace Primrosefork
