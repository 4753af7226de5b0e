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
 * Reports the usage of each accounting window, on the leader.
 *
 * A window's counts are written to the store before they are reported, so that
 * whoever reports the window, and however often, reports the same.
 */
class DutyController : public StateSource {
public:
    DutyController(EventLoop&, KeyValueStore&, FleetApi&, const GatewaySettings&, GatewayBoard&, const CoordinationController&, LeadershipController&,
        const WallClock&, Metrics&, const EventLog&);
    ~DutyController() override;

    auto begin() -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "duties"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** What the store keeps of the last windows. */
    struct Record {
        std::map<UsageWindow, UsageCounts> windows;
        StoreRevision revision = 0;
        bool isKnown = false;
    };

    auto tick() -> void;
    auto fetchRecord() -> void;
    auto readRecord(const std::optional<StoreEntry>&) -> void;
    auto settle(UsageWindow window) -> void;
    auto send(UsageWindow window) -> void;
    [[nodiscard]] auto sumOf(UsageWindow window) const -> UsageCounts;
    [[nodiscard]] auto isActing() const -> bool;
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
    std::uint64_t fence = 0; ///< Under which the record was read.
    std::set<UsageWindow> reported;
    std::set<UsageWindow> sending;
    bool isStoring = false;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
