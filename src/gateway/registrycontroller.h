#pragma once

#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "statesource.h"
#include "storewatcher.h"
#include "trafficdocuments.h"

#include <map>
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

    /** The leader has seen the changes up to \a newest. */
    auto leaderSaw(StoreRevision newest) -> void { this->watcher.seenElsewhere(newest); }

    [[nodiscard]] auto stateName() const -> std::string override { return "backendServers"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto listed(const StoreListing&) -> void;
    auto changed(const StoreListing&) -> void;
    auto take(BackendServers&, const StoreEntry&) -> void;
    auto removed(BackendServers&, const std::string& id) -> void;
    auto endLapses() -> void;
    auto publish(BackendServers) -> void;
    [[nodiscard]] auto idOf(const std::string& key) const -> std::string;
    [[nodiscard]] auto wasStoreAway() const -> bool;

    const TrafficDocuments& documents;
    const EventLog& log;
    SectionWriter<BackendServers> servers;
    SectionWriter<std::uint64_t> revision;
    std::chrono::milliseconds lapseTime; ///< That a registration which lapsed with the store away is given to come back.
    std::map<std::string, BootClock::time_point> lapsed; ///< Registrations that may come back, and until when they are waited for.
    Timer lapseTimer;
    StoreWatcher watcher;
};

} // namespace Primrosefork
