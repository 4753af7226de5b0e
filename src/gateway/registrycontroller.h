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
    Timer retentionTimer;
    StoreWatcher watcher;
};

} // namespace Primrosefork
