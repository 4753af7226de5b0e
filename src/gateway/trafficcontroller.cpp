#include "trafficcontroller.h"

#include "eventlog.h"
#include "hash.h"
#include "metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr double confirmPart = 0.6; ///< Fraction of the time within which a change must apply, after which an observer reads the document; leaves time for one failed read.
constexpr double relayedConfirmPart = 0.8; ///< The fraction of that time on the other nodes, later than on the observers so that those can confirm it.
constexpr double leaderConfirmPart = 0.25; ///< The fraction of that time on the leader, so that its confirmations are recent enough for the other nodes until its next answer.
constexpr std::chrono::milliseconds ageCheckPeriod = 250ms; ///< Longest time between two checks of the confirmation's age; the node may become the leader in between, which shortens its period.
constexpr std::chrono::milliseconds minReadInterval = 200ms; ///< Shortest time between two reads.
constexpr int maxReadDoublings = 1; ///< Doublings of that time after failed reads on an observer.
constexpr int maxRelayedReadDoublings = 4; ///< Doublings on the other nodes, which need no reads of their own while an observer reaches the store.
constexpr std::chrono::milliseconds relayTime = 700ms; ///< Time for an observer to relay a change that the leader has seen, before the document is read.

} // namespace

TrafficController::TrafficController(EventLoop& loop, KeyValueStore& store, const TrafficDocuments& documents, const GatewayBounds& bounds,
    GatewayBoard& board, const StoreEpochMonitor& epochs, Metrics& metrics, const EventLog& log)
    : store(store)
    , bounds(bounds)
    , board(board)
    , documents(documents)
    , epochs(epochs)
    , metrics(metrics)
    , log(log)
    , traffic(board.traffic.acquireWriter("TrafficController"))
    , watcher(loop, store, log, documents.configurationKey(),
          { [this](const StoreListing& listing) { this->listed(listing); },
              [this](const StoreListing& listing) {
                  for (const auto& entry : listing.entries)
                      this->apply(entry, BootClock::time_point {});
              } },
          { 0ms, std::chrono::duration_cast<std::chrono::milliseconds>(confirmPart * bounds.configuration) })
    , confirmTimer(loop, [this] { this->confirmIfDue(); })
    , catchUpTimer(loop, [this] {
        if (this->revision < this->awaitedRevision)
            this->readConfiguration();
    })
    , isAlive(std::make_shared<bool>(true))
{
}

TrafficController::~TrafficController()
{
    *this->isAlive = false;
}

auto TrafficController::begin() -> void
{
    this->watcher.begin();
    this->confirmTimer.start(ageCheckPeriod);
}

auto TrafficController::listed(const StoreListing& listing) -> void
{
    if (epochOf(this->copyRevision) != epochOf(listing.revision))
        this->copyRevision = listing.revision;
    for (const auto& entry : listing.entries)
        this->apply(entry, this->watcher.listingTime());
}

auto TrafficController::confirmationTime(StoreRevision revision, BootClock::time_point requestedAt) const -> BootClock::time_point
{
    const auto isWrittenSince = epochOf(revision) == this->epochs.epoch() && epochOf(this->copyRevision) == this->epochs.epoch() && revision > this->copyRevision;
    return requestedAt >= this->epochs.certainFrom() || isWrittenSince ? requestedAt : BootClock::time_point {};
}

auto TrafficController::confirmPeriod() const -> std::chrono::milliseconds
{
    const auto ownPart = this->board.isObserver() ? confirmPart : relayedConfirmPart;
    const auto part = this->board.leadership.value().isOwn ? leaderConfirmPart : ownPart;
    return std::chrono::duration_cast<std::chrono::milliseconds>(part * std::min(this->bounds.configuration, this->bounds.revocation));
}

auto TrafficController::confirmIfDue() -> void
{
    const auto left = this->traffic.value().confirmed + this->confirmPeriod() - BootClock::now();
    if (left > 0ms)
        return this->confirmTimer.start(timerDelay(std::min<BootClock::duration>(left, ageCheckPeriod)));
    // Until then a read would confirm nothing that an observer does not confirm.
    const auto uncertainFor = this->epochs.certainFrom() + relayTime - BootClock::now();
    if (uncertainFor > 0ms && !this->board.isObserver())
        return this->confirmTimer.start(timerDelay(uncertainFor));
    this->readConfiguration();
}

auto TrafficController::peerConfirmed(StoreRevision newest, BootClock::time_point moment) -> void
{
    if (newest == this->revision) {
        return this->updateConfirmed(moment);
    }
    if (newest < this->revision || newest == this->rejectedRevision)
        return;
    if (newest == this->olderRevision)
        return this->olderVersionRead(newest, moment);
    // The watch or the observer has not delivered the change that the other node has seen.
    if (this->board.isObserver())
        return this->readConfiguration();
    if (this->catchUpTimer.isRunning())
        return;
    this->awaitedRevision = newest;
    this->catchUpTimer.start(relayTime);
}

auto TrafficController::readConfiguration() -> void
{
    if (std::exchange(this->isReading, true))
        return;
    const auto requestedAt = BootClock::now();
    this->store.get(this->documents.configurationKey(), [this, requestedAt, alive = this->isAlive](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (!*alive)
            return;
        this->isReading = false;
        if (error || !entry) {
            if (this->consecutiveFailures == 0)
                this->log.write(Event::ConfigurationUnconfirmed, { { "error", error ? error.message() : "no configuration" } });
            const auto doublings = std::min(this->consecutiveFailures++, this->board.isObserver() ? maxReadDoublings : maxRelayedReadDoublings);
            return this->confirmTimer.start(minReadInterval * (1 << doublings));
        }
        this->consecutiveFailures = 0;
        this->apply(*entry, requestedAt);
        this->confirmTimer.start(minReadInterval);
    });
}

auto TrafficController::apply(const StoreEntry& entry, BootClock::time_point requestedAt) -> void
{
    if (entry.isDeleted || entry.key != this->documents.configurationKey())
        return;
    if (entry.revision > this->revision)
        return this->putInForce(entry, requestedAt);
    if (entry.revision == this->revision)
        this->updateConfirmed(this->confirmationTime(entry.revision, requestedAt));
}

auto TrafficController::olderVersionRead(StoreRevision olderThanInForce, BootClock::time_point requestedAt) -> void
{
    this->olderRevision = olderThanInForce;
    if (requestedAt < this->epochs.certainFrom() || requestedAt == BootClock::time_point {})
        return;
    // The version in force was lost with a restoration and is not written again. It stays, as no newer one exists.
    this->revision = olderThanInForce;
    auto current = this->traffic.value();
    current.revision = olderThanInForce;
    this->traffic.write(std::move(current));
    this->updateConfirmed(requestedAt);
}

auto TrafficController::putInForce(const StoreEntry& entry, BootClock::time_point requestedAt) -> void
{
    const auto confirmed = std::max(this->confirmationTime(entry.revision, requestedAt), this->traffic.value().confirmed);
    if (entry.revision == this->olderRevision)
        return this->olderVersionRead(entry.revision, requestedAt);
    const auto hash = hash64(entry.value);
    if (this->traffic.value().table && hash == this->textHash) {
        this->revision = entry.revision;
        return this->traffic.write({ this->traffic.value().table, entry.revision, confirmed });
    }
    Findings findings;
    auto configuration = this->documents.decodeConfiguration(entry.value, findings);
    if (!configuration) {
        if (std::exchange(this->rejectedRevision, entry.revision) != entry.revision)
            this->log.write(Event::ConfigurationRecordRejected,
                { { "key", entry.key }, { "revision", std::to_string(entry.revision) }, { "findings", formatFindings(findings) } });
        return;
    }
    const auto& before = this->traffic.value();
    if (before.table && configuration->version < before.table->configuration().version) {
        this->log.write(Event::ConfigurationOlderIgnored,
            { { "key", entry.key }, { "version", std::to_string(configuration->version) }, { "revision", std::to_string(entry.revision) } });
        return this->olderVersionRead(entry.revision, requestedAt);
    }
    this->revision = entry.revision;
    this->textHash = hash;
    this->log.write(Event::ConfigurationApplied,
        { { "version", std::to_string(configuration->version) }, { "revision", std::to_string(entry.revision) },
            { "routes", std::to_string(configuration->routes.size()) }, { "workspaces", std::to_string(configuration->workspaces.size()) } });
    this->metrics.setGauge("configuration_version", static_cast<double>(configuration->version));
    this->traffic.write({ std::make_shared<const RouteTable>(std::move(*configuration)), entry.revision, confirmed });
}

auto TrafficController::updateConfirmed(BootClock::time_point requestedAt) -> void
{
    this->watcher.confirmUpToDate(requestedAt);
    auto current = this->traffic.value();
    if (requestedAt <= current.confirmed)
        return;
    current.confirmed = requestedAt;
    this->traffic.write(std::move(current));
}

auto TrafficController::dumpState() const -> nlohmann::json
{
    const auto& current = this->traffic.value();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - current.confirmed);
    return { { "version", current.table ? current.table->configuration().version : 0 }, { "revision", this->revision }, { "confirmed_ms_ago", age.count() } };
}

} // namespace Primrosefork
