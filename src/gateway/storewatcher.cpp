#include "storewatcher.h"

#include "errors.h"
#include "eventlog.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds watchTimeout = 20s; ///< Long because each call to the store has a cost; the client's probes detect a dead connection.
constexpr std::chrono::milliseconds firstRetryDelay = 50ms;
constexpr std::chrono::milliseconds maxRetryDelay = 400ms; ///< Well below the time within which changes must apply.
constexpr int checksPerStallTimeout = 4;
constexpr std::chrono::milliseconds catchUpDelay = 150ms; ///< Time for the watch to deliver a change that another node has seen, before everything is listed again.
constexpr int maxDoublings = 3;

} // namespace

StoreWatcher::StoreWatcher(EventLoop& loop, KeyValueStore& store, const EventLog& log, std::string prefix, Handlers handlers,
    Timing timing)
    : loop(loop)
    , store(store)
    , log(log)
    , prefix(std::move(prefix))
    , handlers(std::move(handlers))
    , timing(timing)
    , retryTimer(loop, [this] { this->revision == 0 ? this->list() : this->watch(); })
    , stallTimer(loop, [this] { this->checkForStall(); })
    , catchUpTimer(loop, [this] {
        if (this->newestSeenRevision < this->newestPeerRevision)
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
    this->lastConfirmation = BootClock::now();
    if (this->timing.stallTimeout > 0ms)
        this->stallTimer.startRepeating(this->timing.stallTimeout / checksPerStallTimeout);
    this->list();
}

auto StoreWatcher::checkForStall() -> void
{
    const auto now = BootClock::now();
    if (this->consecutiveFailures > 0 || this->retryTimer.isRunning() || now - this->lastConfirmation < this->timing.stallTimeout)
        return;
    this->log.write(Event::WatchGivenUp, { { "prefix", this->prefix }, { "revision", std::to_string(this->revision) } });
    this->lastConfirmation = now;
    this->revision == 0 ? this->list() : this->watch();
}

auto StoreWatcher::confirmUpToDate() -> void
{
    this->lastConfirmation = this->lastExternalConfirmation = BootClock::now();
}

auto StoreWatcher::peerRevisionReceived(StoreRevision newest) -> void
{
    if (newest <= this->newestSeenRevision)
        return this->confirmUpToDate();
    this->newestPeerRevision = newest;
    if (!this->catchUpTimer.isRunning())
        this->catchUpTimer.start(this->timing.batchDelay + catchUpDelay);
}

auto StoreWatcher::list() -> void
{
    this->retryTimer.stop();
    this->store.list(this->prefix, [this, number = ++this->currentCall, alive = this->isAlive](std::error_code error, const StoreListing& listing) {
        if (!*alive || number != this->currentCall)
            return;
        if (error)
            return this->failed(error);
        this->succeeded();
        this->revision = this->newestSeenRevision = listing.revision;
        this->handlers.listed(listing);
        this->watch();
    });
}

auto StoreWatcher::watch() -> void
{
    const auto isConfirmed = this->timing.stallTimeout == 0ms || BootClock::now() - this->lastExternalConfirmation < this->timing.stallTimeout;
    const auto wait = isConfirmed ? watchTimeout : this->timing.stallTimeout / 2;
    this->store.watch(this->prefix, this->revision, wait, [this, number = ++this->currentCall, alive = this->isAlive](std::error_code error, const StoreListing& listing) {
        if (!*alive || number != this->currentCall)
            return;
        if (error == Error::HistoryLost) {
            this->revision = 0;
            return this->list();
        }
        if (error)
            return this->failed(error);
        this->succeeded();
        // An answer without changes does not prove that none was missed, so the revision only advances with changes.
        for (const auto& entry : listing.entries)
            this->revision = std::max(this->revision, entry.revision);
        this->newestSeenRevision = std::max(this->newestSeenRevision, this->revision);
        if (listing.entries.empty())
            return this->watch();
        this->handlers.changed(listing);
        this->retryTimer.start(this->timing.batchDelay);
    });
}

auto StoreWatcher::succeeded() -> void
{
    this->lastConfirmation = BootClock::now();
    if (std::exchange(this->consecutiveFailures, 0) == 0)
        return;
    this->recoveredAt = BootClock::now();
    this->log.write(Event::StoreRecovered, { { "prefix", this->prefix } });
}

auto StoreWatcher::failed(std::error_code error) -> void
{
    if (this->consecutiveFailures == 0)
        this->log.write(Event::StoreUnavailable, { { "prefix", this->prefix }, { "error", error.message() } });
    const auto doublings = std::min(this->consecutiveFailures++, maxDoublings);
    this->retryTimer.start(std::min<std::chrono::milliseconds>(firstRetryDelay * (1 << doublings), maxRetryDelay));
}

} // namespace Primrosefork
