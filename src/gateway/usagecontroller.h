#pragma once

#include "coordinationcontroller.h"
#include "fleetapi.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "keyvaluestore.h"
#include "leadershipcontroller.h"
#include "wallclock.h"

#include <map>
#include <memory>
#include <set>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Reports the usage of each accounting window to the fleet API, on the leader.
 *
 * The counts of a window are written to the store before they are reported, so
 * that repeated reports, also those of a later leader, have the same counts.
 */
class UsageController : public StateSource {
public:
    UsageController(EventLoop&, KeyValueStore&, FleetApi&, const GatewaySettings&, GatewayBoard&, const CoordinationController&, LeadershipController&,
        const WallClock&, Metrics&, const EventLog&);
    ~UsageController() override;

    auto begin() -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "duties"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** The counts of the last windows as the store has them. */
    struct Record {
        std::map<UsageWindow, UsageCounts> windows;
        StoreRevision revision = 0; ///< Revision of the stored entry; 0 when there is none.
        bool isLoaded = false;
        UsageWindow closed = 0; ///< Windows up to this one that are missing may have been reported by a record that was lost; they are not reported.
    };

    auto tick() -> void;
    auto fetchRecord() -> void;
    auto readRecord(const std::optional<StoreEntry>&) -> void;
    auto storeWindow(UsageWindow window) -> void;
    auto reportWindow(UsageWindow window) -> void;
    [[nodiscard]] auto sumCounts(UsageWindow window) const -> UsageCounts;
    [[nodiscard]] auto hasValidLease() const -> bool;
    [[nodiscard]] auto isLost(UsageWindow window) const -> bool;
    auto keepCounts(UsageWindow window, const UsageCounts&) -> void;
    [[nodiscard]] auto windowAt(WallClock::Wall at) const -> UsageWindow;
    [[nodiscard]] auto isDue(UsageWindow window, WallClock::Wall at) const -> bool;

    KeyValueStore& store;
    FleetApi& fleet;
    const GatewaySettings& settings;
    GatewayBoard& board;
    const CoordinationController& coordination;
    LeadershipController& leadership;
    const WallClock& clock;
    Metrics& metrics;
    const EventLog& log;
    Timer timer;
    Record record;
    std::uint64_t fence = 0; ///< Fence of this node's leadership when the record was read.
    std::set<UsageWindow> reported; ///< Windows whose report was accepted.
    std::map<UsageWindow, UsageCounts> ownCounts; ///< Counts of the last windows that this node has stored or tried to; a window keeps its counts.
    std::set<UsageWindow> inFlight; ///< Windows whose report has not been answered yet.
    bool isStoring = false; ///< A write of the record is in flight.
    bool isFetching = false; ///< A read of the record is in flight.
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
