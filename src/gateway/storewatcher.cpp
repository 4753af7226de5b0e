#include "storewatcher.h"

#include "errors.h"
#include "eventlog.h"

#include <algorithm>
#include <iterator>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds watchTimeout = 20s; ///< Long because each call to the store has a cost; the client's probes detect a dead connection.
constexpr std::chrono::milliseconds firstRetryDelay = 50ms;
constexpr std::chrono::milliseconds maxRetryDelay = 400ms; ///< Well below the time within which changes must apply.
constexpr std::chrono::milliseconds firstSlowRetryDelay = 1'600ms; ///< The slow rate keeps hundreds of nodes within the rates of a store that has just recovered.
constexpr std::chrono::milliseconds maxSlowRetryDelay = 3'200ms;
constexpr std::chrono::milliseconds relayDelay = 600ms; ///< Further time for an observer to deliver such a change to a node that follows it.
constexpr int checksPerStallTimeout = 8;
constexpr int restartWaitDivisor = 4; ///< Part of the stall timeout for which a restarted watch waits.
constexpr std::chrono::milliseconds catchUpDelay = 150ms; ///< Time for the watch to deliver a change that another node has seen, before everything is listed again.
constexpr int maxDoublings = 3;
constexpr std::chrono::milliseconds minOutage = 300ms; ///< Failures for a shorter time, such as a lost connection, are no outage of the store.
constexpr std::chrono::milliseconds minOutageByPeers = 1s; ///< The leader confirms its knowledge twice a second, so a shorter pause shows no outage.
constexpr int awayFactor = 2; ///< Stall timeouts without a confirmation after which a store that served only other nodes counts as away.

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
    , catchUpTimer(loop, [this] { this->catchUp(); })
    , isAlive(std::make_shared<bool>(true))
{
}

StoreWatcher::~StoreWatcher()
{
    *this->isAlive = false;
}

auto StoreWatcher::begin() -> void
{
    this->startStallTimer(BootClock::now());
    this->list();
}

auto StoreWatcher::beginWith(const StoreListing& listing, BootClock::time_point requestedAt) -> void
{
    this->startStallTimer(requestedAt);
    this->listRequestedAt = requestedAt;
    this->applyListing(listing);
}

auto StoreWatcher::startStallTimer(BootClock::time_point start) -> void
{
    this->lastConfirmation = start;
    if (this->timing.stallTimeout > 0ms)
        this->stallTimer.startRepeating(this->timing.stallTimeout / checksPerStallTimeout);
}

auto StoreWatcher::checkForStall() -> void
{
    const auto now = BootClock::now();
    if (this->consecutiveFailures > 0 || this->retryTimer.isRunning() || now - std::max(this->lastConfirmation, this->lastRestart) < this->stallTimeout())
        return;
    this->isRelayed = false;
    this->log.write(Event::WatchGivenUp, { { "prefix", this->prefix }, { "revision", std::to_string(this->revision) } });
    this->lastRestart = now;
    // A short wait, so that others who rely on this node's knowledge get a confirmation before they give it up.
    this->revision == 0 ? this->list() : this->watchFor(this->timing.stallTimeout / restartWaitDivisor);
}

auto StoreWatcher::confirmUpToDate(BootClock::time_point moment) -> void
{
    if (this->isStoreAway(moment))
        this->recoveredAt = std::max(this->recoveredAt, moment);
    this->lastConfirmation = std::max(this->lastConfirmation, moment);
    this->lastExternalConfirmation = std::max(this->lastExternalConfirmation, moment);
}

auto StoreWatcher::peerRevisionReceived(StoreRevision newest, BootClock::time_point moment) -> void
{
    if (newest <= this->changeLog.newestRevision())
        return this->confirmUpToDate(moment);
    if (this->catchUpTimer.isRunning())
        return;
    if (this->awaitedRevision <= this->changeLog.newestRevision())
        this->awaitedSince = BootClock::now();
    this->awaitedRevision = newest;
    this->catchUpTimer.start(this->timing.batchDelay + catchUpDelay + (this->isRelayed ? relayDelay : 0ms));
}

auto StoreWatcher::catchUp() -> void
{
    if (this->changeLog.newestRevision() >= this->awaitedRevision)
        return;
    // A watch delivers at once what an observer has not relayed; a watch of this node that did not deliver it may hang.
    if (std::exchange(this->isRelayed, false))
        this->watch();
    else
        this->list();
}

auto StoreWatcher::relayed(const Relayed& news) -> void
{
    if (this->changeLog.newestRevision() == 0)
        return;
    auto listing = this->newEntriesOf(news.changes.entries);
    listing.revision = news.changes.upTo;
    this->changeLog.changed(listing.entries);
    this->changeLog.completeUpTo(news.changes.upTo);
    this->revision = std::max(this->revision, this->changeLog.newestRevision());
    if (news.storeRecoveredAt)
        this->recoveredAt = std::max(this->recoveredAt, *news.storeRecoveredAt);
    this->priorConfirmation = this->lastConfirmation;
    if (!listing.entries.empty())
        this->handlers.changed(listing);
    this->lastConfirmation = std::max(this->lastConfirmation, news.confirmedAt);
    if (!this->follows || this->timing.stallTimeout == 0ms || BootClock::now() - news.confirmedAt >= this->stallTimeout() || std::exchange(this->isRelayed, true))
        return;
    // Answers to calls that are still pending are ignored from now on.
    ++this->currentCall;
    this->retryTimer.stop();
    this->consecutiveFailures = 0;
}

auto StoreWatcher::newEntriesOf(const std::vector<StoreEntry>& entries) const -> StoreListing
{
    StoreListing listing;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(listing.entries),
        [known = this->changeLog.newestRevision()](const auto& entry) { return entry.revision > known; });
    return listing;
}

auto StoreWatcher::isBehind(BootClock::time_point now) const -> bool
{
    return this->awaitedRevision > this->changeLog.newestRevision() && now - this->awaitedSince >= this->timing.batchDelay;
}

auto StoreWatcher::needsRelay(BootClock::time_point now) const -> bool
{
    // A watch that was given up gets the time to confirm that nothing was missed.
    return this->isFailing() || this->isBehind(now) || (this->timing.stallTimeout > 0ms && now - this->lastConfirmation >= this->timing.stallTimeout * 3 / 2);
}

auto StoreWatcher::isStoreAway(BootClock::time_point now) const -> bool
{
    return this->isUnansweredFor(std::max(minOutageByPeers, this->timing.stallTimeout), now);
}

auto StoreWatcher::isUnansweredFor(std::chrono::milliseconds time, BootClock::time_point now) const -> bool
{
    if (!this->isFailing())
        return false;
    if (this->lastConfirmation > this->failingSince)
        return now - this->lastConfirmation >= awayFactor * this->timing.stallTimeout;
    return now - this->failingSince >= time;
}

auto StoreWatcher::storeRestored(StoreEpoch epoch) -> void
{
    if (this->changeLog.newestRevision() == 0 || epochOf(this->changeLog.newestRevision()) >= epoch)
        return;
    // Registrations that the copy lacks are missed like those that expired in an outage.
    this->recoveredAt = BootClock::now();
    if (this->isRelayed)
        return;
    this->revision = 0;
    this->list();
}

auto StoreWatcher::stopRelay() -> void
{
    if (std::exchange(this->isRelayed, false))
        this->watch();
}

auto StoreWatcher::list() -> void
{
    this->isRelayed = false;
    this->retryTimer.stop();
    this->listRequestedAt = BootClock::now();
    this->store.list(this->prefix, [this, number = ++this->currentCall, alive = this->isAlive](std::error_code error, const StoreListing& listing) {
        if (!*alive || number != this->currentCall)
            return;
        if (error)
            return this->failed(error);
        this->succeeded(this->listRequestedAt);
        this->applyListing(listing);
    });
}

auto StoreWatcher::applyListing(const StoreListing& listing) -> void
{
    // An observer knows a later epoch of the store than the one that answered this node.
    if (epochOf(listing.revision) < epochOf(this->changeLog.newestRevision()))
        return this->failed(Error::Unavailable);
    // Changes that were relayed in the meantime would be undone.
    if (listing.revision < this->changeLog.newestRevision()) {
        this->revision = this->changeLog.newestRevision();
        return this->watch();
    }
    this->revision = listing.revision;
    this->changeLog.listed(listing);
    this->handlers.listed(listing);
    if (this->expectsRelay && this->timing.stallTimeout > 0ms && !listing.entries.empty())
        this->isRelayed = true;
    else
        this->watch();
}

auto StoreWatcher::watch() -> void
{
    // After a failure, a short wait shows soon whether the store answers again.
    if (this->isFailing() && this->timing.stallTimeout > 0ms)
        return this->watchFor(this->timing.stallTimeout / restartWaitDivisor);
    const auto isConfirmed = this->timing.stallTimeout == 0ms || BootClock::now() - this->lastExternalConfirmation < this->timing.stallTimeout;
    this->watchFor(isConfirmed ? watchTimeout : this->timing.stallTimeout / 2);
}

auto StoreWatcher::watchFor(std::chrono::milliseconds wait) -> void
{
    this->store.watch(this->prefix, this->revision, wait, [this, number = ++this->currentCall, alive = this->isAlive](std::error_code error, const StoreListing& listing) {
        if (!*alive || number != this->currentCall)
            return;
        if (error == Error::HistoryLost) {
            this->revision = 0;
            return this->list();
        }
        if (error)
            return this->failed(error);
        this->succeeded(BootClock::now());
        // An answer without changes does not prove that none was missed, so the revision only advances with changes.
        for (const auto& entry : listing.entries)
            this->revision = std::max(this->revision, entry.revision);
        if (listing.entries.empty())
            return this->watch();
        const auto isFirst = this->changeLog.isEmpty();
        auto news = this->newEntriesOf(listing.entries);
        news.revision = listing.revision;
        this->changeLog.changed(news.entries);
        if (!news.entries.empty())
            this->handlers.changed(news);
        if (isFirst && this->expectsRelay)
            this->isRelayed = true;
        else
            this->retryTimer.start(this->timing.batchDelay);
    });
}

auto StoreWatcher::succeeded(BootClock::time_point moment) -> void
{
    const auto now = BootClock::now();
    if (this->isUnansweredFor(minOutage, now))
        this->recoveredAt = now;
    this->priorConfirmation = this->lastConfirmation;
    this->lastConfirmation = std::max(this->lastConfirmation, moment);
    if (std::exchange(this->consecutiveFailures, 0) == 0)
        return;
    this->log.write(Event::StoreRecovered, { { "prefix", this->prefix } });
}

auto StoreWatcher::failed(std::error_code error) -> void
{
    if (this->consecutiveFailures == 0) {
        this->failingSince = BootClock::now();
        this->log.write(Event::StoreUnavailable, { { "prefix", this->prefix }, { "error", error.message() } });
    }
    const auto doublings = std::min(this->consecutiveFailures++, maxDoublings);
    const auto first = this->follows ? firstSlowRetryDelay : firstRetryDelay;
    this->retryTimer.start(std::min(first * (1 << doublings), this->follows ? maxSlowRetryDelay : maxRetryDelay));
}

} // namespace Primrosefork
