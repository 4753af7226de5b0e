#include "registrycontroller.h"

#include "eventlog.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr double retentionPart = 0.85; ///< Retention time as a fraction of the drain time, after which a server that has left must get no more requests.
constexpr auto storeRecoveryTime = 4s; ///< Time after the store recovered in which registrations may still expire before their servers renew them.
constexpr int batchDelayDivisor = 8; ///< Changes are batched for the drain time divided by this.
constexpr int stallTimeoutDivisor = 2; ///< The watch is restarted when it is not confirmed as up to date within the drain time divided by this.
constexpr auto retentionCheckPeriod = 100ms;
constexpr int heartbeatsToExpiry = 3; ///< Heartbeats of a server that are missing before the store removes its entry.
constexpr auto expiryMargin = 1s;
constexpr auto relayTime = 1s; ///< Time in which an observer has relayed all entries of the copy to a node that follows it.
constexpr auto departureMemory = 60s; ///< Longest age of a copy for which servers that left since are remembered.
constexpr std::size_t maxDepartures = 4'000; ///< Several replacements of all servers of a large deployment.
constexpr std::chrono::milliseconds minKnowledgeGap = 1s; ///< A registration does not expire in a shorter time without the store.

} // namespace

RegistryController::RegistryController(
    EventLoop& loop, KeyValueStore& store, const TrafficDocuments& documents, const GatewayBounds& bounds, GatewayBoard& board, const EventLog& log)
    : documents(documents)
    , log(log)
    , servers(board.backendServers.acquireWriter("RegistryController"))
    , retentionTime(std::chrono::duration_cast<std::chrono::milliseconds>(retentionPart * bounds.drain))
    , board(board)
    , expiryTime(heartbeatsToExpiry * bounds.heartbeat + expiryMargin)
    , retentionTimer(loop, [this] { this->removeExpired(); })
    , watcher(loop, store, log, documents.backendPrefix(),
          { [this](const StoreListing& listing) { this->listed(listing); }, [this](const StoreListing& listing) { this->changed(listing); } },
          { bounds.drain / batchDelayDivisor, bounds.drain / stallTimeoutDivisor })
{
}

auto RegistryController::idOf(const std::string& key) const -> std::string
{
    return key.substr(std::min(key.size(), this->documents.backendPrefix().size()));
}

auto RegistryController::wasStoreUnavailable() const -> bool
{
    const auto now = BootClock::now();
    return this->watcher.isStoreAway(now) || now - this->watcher.recoveryTime() < storeRecoveryTime;
}

auto RegistryController::retentionEnd() const -> BootClock::time_point
{
    // Counted from the earliest time at which the registration can have been removed while the store answered, since
    // the change may have reached this node late.
    const auto known = this->watcher.earlierConfirmation();
    const auto recovered = this->watcher.recoveryTime();
    return (recovered - known >= minKnowledgeGap ? recovered : known) + this->retentionTime;
}

auto RegistryController::noteEpoch(StoreRevision newest) -> void
{
    if (this->hasSeenEpoch && epochOf(newest) <= epochOf(this->copyRevision))
        return;
    // The first epoch that a node sees tells nothing about a restoration.
    if (std::exchange(this->hasSeenEpoch, true))
        this->epochSeen = BootClock::now();
    this->copyRevision = newest;
}

auto RegistryController::isOutdated(const BackendServer& server, StoreRevision revision) const -> bool
{
    const auto now = BootClock::now();
    if (this->epochSeen == BootClock::time_point {} || now - this->epochSeen >= this->expiryTime || server.state != InstanceState::Live)
        return false;
    if (revision > this->copyRevision && (this->board.isObserver() || now - this->epochSeen >= relayTime))
        return false;
    const auto known = this->servers.value().find(server.id);
    if (known != this->servers.value().end())
        return known->second.state == InstanceState::Leaving && known->second.startedAt == server.startedAt;
    const auto departed = this->departures.find(server.id);
    return departed != this->departures.end() && departed->second.startedAt == server.startedAt;
}

auto RegistryController::listed(const StoreListing& listing) -> void
{
    this->noteEpoch(listing.revision);
    Changes changes;
    std::set<std::string> seen;
    for (const auto& entry : listing.entries) {
        seen.insert(this->idOf(entry.key));
        this->applyEntry(changes, entry);
    }
    for (const auto& [id, server] : this->servers.value()) {
        if (!seen.contains(id))
            this->registrationRemoved(changes, id);
    }
    this->publish(std::move(changes));
}

auto RegistryController::changed(const StoreListing& listing) -> void
{
    this->noteEpoch(listing.revision);
    Changes changes;
    for (const auto& entry : listing.entries) {
        if (entry.isDeleted)
            this->registrationRemoved(changes, this->idOf(entry.key));
        else
            this->applyEntry(changes, entry);
    }
    this->publish(std::move(changes));
}

auto RegistryController::applyEntry(Changes& changes, const StoreEntry& entry) -> void
{
    Findings findings;
    const auto id = this->idOf(entry.key);
    auto server = this->documents.decodeBackend(entry.key, entry.value, findings);
    if (!server) {
        // An unreadable registration gives no address to connect to, so the server is removed.
        this->log.write(Event::RegistrationUnreadable, { { "backend", id }, { "findings", formatFindings(findings) } });
        changes[id] = std::nullopt;
        return;
    }
    this->retainedUntil.erase(id);
    this->outdated.erase(id);
    if (this->isOutdated(*server, entry.revision)) {
        this->log.write(Event::RegistrationOutdated, { { "backend", id }, { "revision", std::to_string(entry.revision) } });
        this->outdated[id] = std::move(*server);
        return this->retentionTimer.start(retentionCheckPeriod);
    }
    changes[id] = std::move(server);
}

auto RegistryController::registrationRemoved(Changes& changes, const std::string& id) -> void
{
    this->outdated.erase(id);
    const auto changed = changes.find(id);
    const auto found = this->servers.value().find(id);
    const auto isListed = changed == changes.end() ? found != this->servers.value().end() : changed->second.has_value();
    if (!isListed)
        return;
    const auto& server = changed == changes.end() ? found->second : *changed->second;
    const auto keptUntil = this->retentionEnd();
    const auto mayReturn = this->wasStoreUnavailable() && server.state == InstanceState::Live && keptUntil > BootClock::now();
    if (!mayReturn) {
        changes[id] = std::nullopt;
        return;
    }
    if (this->retainedUntil.emplace(id, keptUntil).second)
        this->log.write(Event::RegistrationLapsed, { { "backend", id } });
    this->retentionTimer.start(retentionCheckPeriod);
}

auto RegistryController::removeExpired() -> void
{
    const auto now = BootClock::now();
    Changes changes;
    std::erase_if(this->retainedUntil, [&changes, now](const auto& entry) {
        if (entry.second > now)
            return false;
        changes[entry.first] = std::nullopt;
        return true;
    });
    if (now - this->epochSeen >= this->expiryTime) {
        for (auto& [id, server] : std::exchange(this->outdated, {}))
            changes[id] = std::move(server);
    }
    if (!this->retainedUntil.empty() || !this->outdated.empty())
        this->retentionTimer.start(retentionCheckPeriod);
    this->publish(std::move(changes));
}

auto RegistryController::publish(Changes changes) -> void
{
    const auto& present = this->servers.value();
    std::erase_if(changes, [&present](const auto& change) {
        const auto found = present.find(change.first);
        return found == present.end() ? !change.second.has_value() : change.second == found->second;
    });
    if (changes.empty())
        return;
    const auto now = BootClock::now();
    for (const auto& [id, next] : changes) {
        this->logChange(id, next);
        if (!next)
            this->departures[id] = { present.at(id).startedAt, now };
    }
    std::erase_if(this->departures, [now](const auto& entry) { return now - entry.second.at >= departureMemory; });
    while (this->departures.size() > maxDepartures)
        this->departures.erase(this->departures.begin());
    // Changed in place, because a copy of thousands of servers for a few changes would cost most of a small node's processor.
    this->servers.update([&changes](BackendServers& current) {
        for (auto& [id, next] : changes) {
            if (next)
                current[id] = std::move(*next);
            else
                current.erase(id);
        }
    });
}

auto RegistryController::logChange(const std::string& id, const std::optional<BackendServer>& next) -> void
{
    const auto before = this->servers.value().find(id);
    if (!next)
        this->log.write(Event::BackendRemoved, { { "backend", id } });
    else if (before == this->servers.value().end())
        this->log.write(Event::BackendAdded, { { "backend", id }, { "service", next->pool }, { "address", next->address.toString() }, { "zone", next->zone } });
    else if (before->second.state == InstanceState::Live && next->state == InstanceState::Leaving)
        this->log.write(Event::BackendLeaving, { { "backend", id } });
}

auto RegistryController::dumpState() const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto& [id, server] : this->servers.value())
        list.push_back({ { "id", id }, { "service", server.pool }, { "zone", server.zone }, { "address", server.address.toString() },
            { "state", server.state == InstanceState::Live ? "live" : "leaving" }, { "reclaimable", server.isReclaimable } });
    return { { "servers", list }, { "lapsed", this->retainedUntil.size() }, { "outdated", this->outdated.size() } };
}

} // namespace Primrosefork
