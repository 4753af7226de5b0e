#include "claimlease.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds maxPeriod = 1h;

} // namespace

ClaimLease::ClaimLease(KeyValueStore& store, std::chrono::milliseconds retention)
    : store(store)
    , retention(retention)
    , period(std::min(maxPeriod, retention))
{
}

auto ClaimLease::acquire(TimePoint now, Handler handler) -> void
{
    if (this->lease != 0 && now < this->periodEnd)
        return handler({}, this->lease);
    this->pendingHandlers.push_back(std::move(handler));
    if (this->pendingHandlers.size() > 1)
        return;
    // The period starts before the store grants the lease, so it can end early but never late.
    this->store.grantLease(this->period + this->retention,
        [this, now](std::error_code error, LeaseId granted) { this->leaseGranted(error, granted, now); });
}

auto ClaimLease::leaseGranted(std::error_code error, LeaseId granted, TimePoint requested) -> void
{
    if (!error) {
        this->lease = granted;
        this->periodEnd = requested + this->period;
    }
    const auto handlers = std::exchange(this->pendingHandlers, {});
    for (const auto& handler : handlers)
        handler(error, granted);
}

auto ClaimLease::discard(LeaseId lease) -> void
{
    if (this->lease == lease)
        this->lease = 0;
}

} // namespace Primrosefork
