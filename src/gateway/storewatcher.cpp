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
constexpr int looksPerProof = 4;
constexpr std::chrono::milliseconds behindTime = 150ms; ///< For a change that another node has seen to come by this node's watch.
constexpr int maxDoublings = 3;

} // namespace

StoreWatcher::StoreWatcher(EventLoop& loop, KeyValueStore& store, const EventLog& log, std::string prefix, Handlers handlers,
    Pace pace)
    : loop(loop)
    , store(store)
    , log(log)
    , prefix(std::move(prefix))
    , handlers(std::move(handlers))
    , pace(pace)
    , retryTimer(loop, [this] { this->revision == 0 ? this->list() : this->watch(); })
    , proofTimer(loop, [this] { this->lookForProof(); })
    , behindTimer(loop, [this] {
        if (this->newestSeen < this->newestElsewhere)
            this->list();
    })
    , isAlive(std::make_shared<bool>(true))
{
}

StoreWatcher::~StoreWatcher()
{
    *this->isAlive = false;
}

auto StoreWatcher::begin() -> void
{
    this->proof = BootClock::now();
    if (this->pace.proofTime > 0ms)
        this->proofTimer.startRepeating(this->pace.proofTime / looksPerProof);
    this->list();
}

auto StoreWatcher::lookForProof() -> void
{
    const auto now = BootClock::now();
    if (this->failures > 0 || this->retryTimer.isRunning() || now - this->proof < this->pace.proofTime)
        return;
    this->log.write(Event::WatchGivenUp, { { "prefix", this->prefix }, { "revision", std::to_string(this->revision) } });
    this->proof = now;
    this->revision == 0 ? this->list() : this->watch();
}

auto StoreWatcher::proved() -> void
{
    this->proof = this->provedElsewhere = BootClock::now();
}

auto StoreWatcher::seenElsewhere(StoreRevision newest) -> void
{
    if (newest <= this->newestSeen)
        return this->proved();
    this->newestElsewhere = newest;
    if (!this->behindTimer.isRunning())
        this->behindTimer.start(this->pace.pause + behindTime);
}

auto StoreWatcher::list() -> void
{
    this->retryTimer.stop();
    this->store.list(this->prefix, [this, number = ++this->call, alive = this->isAlive](std::error_code error, const StoreListing& listing) {
        if (!*alive || number != this->call)
            return;
        if (error)
            return this->failed(error);
        this->succeeded();
        this->revision = this->newestSeen = listing.revision;
        this->handlers.listed(listing);
        this->watch();
    });
}

auto StoreWatcher::watch() -> void
{
    const auto isProved = this->pace.proofTime == 0ms || BootClock::now() - this->provedElsewhere < this->pace.proofTime;
    const auto wait = isProved ? watchTime : this->pace.proofTime / 2;
    this->store.watch(this->prefix, this->revision, wait, [this, number = ++this->call, alive = this->isAlive](std::error_code error, const StoreListing& listing) {
        if (!*alive || number != this->call)
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
        this->newestSeen = std::max(this->newestSeen, this->revision);
        if (listing.entries.empty())
            return this->watch();
        this->handlers.changed(listing);
        this->retryTimer.start(this->pace.pause);
    });
}

auto StoreWatcher::succeeded() -> void
{
    this->proof = BootClock::now();
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
