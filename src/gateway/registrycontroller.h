#pragma once

#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "statesource.h"
#include "storewatcher.h"
#include "trafficdocuments.h"

#include <map>
#include <optional>
#include <string>

namespace Primrosefork {

class EventLog;

/**
 * Follows the registrations of backend servers in the store.
 *
 * After the store came back from a copy, it shows servers that have left as registered until their entries expire, and lacks
 * newer ones until they register again. What this node knew of a server before goes first for that time.
 */
class RegistryController : public StateSource {
public:
    RegistryController(EventLoop&, KeyValueStore&, const TrafficDocuments&, const GatewayBounds&, GatewayBoard&, const EventLog&);

    auto begin() -> void { this->watcher.begin(); }

    /** Notes that the leader has seen the changes up to the revision \a newest, and no later one at \a moment. */
    auto leaderRevisionReceived(StoreRevision newest, BootClock::time_point moment) -> void { this->watcher.peerRevisionReceived(newest, moment); }

    /** Returns the watcher of the registrations, whose changes observers relay. */
    [[nodiscard]] auto storeWatcher() -> StoreWatcher& { return this->watcher; }

    [[nodiscard]] auto stateName() const -> std::string override { return "backendServers"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** New states of servers by id; nothing for a server that is removed. */
    using Changes = std::map<std::string, std::optional<BackendServer>>;

    auto listed(const StoreListing&) -> void;
    auto changed(const StoreListing&) -> void;
    auto applyEntry(Changes&, const StoreEntry&) -> void;
    auto registrationRemoved(Changes&, const std::string& id) -> void;
    auto noteEpoch(StoreRevision newest) -> void;
    /** Returns whether \a server, as registered with \a revision, may be in the copy only, since this node knew it as leaving or gone. */
    [[nodiscard]] auto isOutdated(const BackendServer& server, StoreRevision revision) const -> bool;
    auto removeExpired() -> void;
    auto publish(Changes) -> void;
    auto logChange(const std::string& id, const std::optional<BackendServer>& next) -> void;
    [[nodiscard]] auto idOf(const std::string& key) const -> std::string;
    [[nodiscard]] auto wasStoreUnavailable() const -> bool;
    [[nodiscard]] auto retentionEnd() const -> BootClock::time_point;

    const TrafficDocuments& documents;
    const EventLog& log;
    SectionWriter<BackendServers> servers;
    std::chrono::milliseconds retentionTime; ///< Time for which a server stays listed after its registration may have expired during an outage of the store.
    std::map<std::string, BootClock::time_point> retainedUntil; ///< Servers that stay listed although their registration expired, by id, with the time until which they stay.
    /** A server that left: its registration was removed. */
    struct Departure {
        std::int64_t startedAt = 0;
        BootClock::time_point at;
    };

    const GatewayBoard& board;
    std::map<std::string, Departure> departures; ///< Servers that left lately, by id.
    std::map<std::string, BackendServer> outdated; ///< Servers as registered in the copy, which count as leaving or gone until outdatedUntil, by id.
    std::chrono::milliseconds expiryTime; ///< Time after the store's return in which the entries of servers that are gone expire.
    StoreRevision copyRevision = 0; ///< Revision of the store when this node first saw the present epoch; later entries were written in it.
    bool hasSeenEpoch = false;
    BootClock::time_point epochSeen; ///< Time at which this node saw that the present epoch had begun; the clock's epoch if it began before the node.
    Timer retentionTimer;
    StoreWatcher watcher;
};

} // namespace Primrosefork
