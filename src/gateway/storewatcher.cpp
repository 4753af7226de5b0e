#include "storewatcher.h"

#include "errors.h"
#include "eventlog.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds watchTime = 20s; ///< Each call is paid for; a silent connection is noticed by the client's probes.
constexpr std::chrono::milliseconds firstRetry = 50ms;
constexpr std::chrono::milliseconds longestRetry = 400ms; ///< Well below the time in which changes are to be in force.
constexpr int maxDoublings = 3;

} // namespace

StoreWatcher::StoreWatcher(EventLoop& loop, KeyValueStore& store, const EventLog& log, std::string prefix, Handlers handlers,
    std::chrono::milliseconds pause)
    : loop(loop)
    , store(store)
    , log(log)
    , prefix(std::move(prefix))
    , handlers(std::move(handlers))
    , pause(pause)
    , retryTimer(loop, [this] { this->revision == 0 ? this->list() : this->watch(); })
    , isAlive(std::make_shared<bool>(true))
{
}

StoreWatcher::~StoreWatcher()
{
    *this->isAlive = false;
}

auto StoreWatcher::begin() -> void
{
    this->list();
}

auto StoreWatcher::list() -> void
{
    this->store.list(this->prefix, [this, alive = this->isAlive](std::error_code error, const StoreListing& listing) {
        if (!*alive)
            return;
        if (error)
            return this->failed(error);
        this->succeeded();
        this->revision = listing.revision;
        this->handlers.listed(listing);
        this->watch();
    });
}

auto StoreWatcher::watch() -> void
{
    this->store.watch(this->prefix, this->revision, watchTime, [this, alive = this->isAlive](std::error_code error, const StoreListing& listing) {
        if (!*alive)
            return;
        if (error == Error::HistoryLost) {
            this->revision = 0;
            return this->list();
        }
        if (error)
            return this->failed(error);
        this->succeeded();
        // An answer without changes is no proof that none was missed, so it does not move the revision on.
        for (const auto& entry : listing.entries)
            this->revision = std::max(this->revision, entry.revision);
        if (listing.entries.empty())
            return this->watch();
        this->handlers.changed(listing);
        this->retryTimer.start(this->pause);
    });
}

auto StoreWatcher::succeeded() -> void
{
    if (std::exchange(this->failures, 0) == 0)
        return;
    this->recoveredAt = BootClock::now();
    this->log.write(Event::StoreRecovered, { { "prefix", this->prefix } });
}

auto StoreWatcher::failed(std::error_code error) -> void
{
    if (this->failures == 0)
        this->log.write(Event::StoreUnavailable, { { "prefix", this->prefix }, { "error", error.message() } });
    const auto doublings = std::min(this->failures++, maxDoublings);
    this->retryTimer.start(std::min<std::chrono::milliseconds>(firstRetry * (1 << doublings), longestRetry));
}

} // namespace Primrosefork
