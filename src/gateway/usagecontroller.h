#pragma once

#include "coordinationcontroller.h"
#include "fleetapi.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "keyvaluestore.h"
#include "leadershipcontroller.h"
#include "usagerecord.h"
#include "wallclock.h"

#include <functional>
#include <memory>
#include <set>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Reports the usage of each accounting window to the fleet API, on the leader.
 *
 * The counts of a window are reported once the store has acknowledged them, so that
 * repeated reports, also those of a later leader, have the same counts.
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
    auto tick() -> void;
    auto leadershipChanged(const Leadership&) -> void;
    auto fetchRecord() -> void;
    auto readRecord(const std::optional<StoreEntry>&) -> void;
    auto storeWindow(UsageWindow window) -> void;
    auto renewRecord() -> void;
    auto write(UsageRecord::Proposal proposal, std::function<void()> onWritten) -> void;
    auto reportWindow(UsageWindow window) -> void;
    [[nodiscard]] auto sumCounts(UsageWindow window) const -> UsageCounts;
    [[nodiscard]] auto hasValidLease() const -> bool;

    /** Returns the last window that another node, whose clock may be ahead, can have stored by \a moment. */
    [[nodiscard]] auto lastStorable(BootClock::time_point moment) const -> UsageWindow;
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
    UsageRecord record;
    StoreRevision revision = 0; ///< Revision of the stored record; 0 when there is none.
    std::uint64_t fence = 0; ///< Fence of this node's last leadership.
    std::uint64_t coordinationFence = 0; ///< Fence of the first leadership since which no other node can have led.
    BootClock::time_point leadingSince; ///< Time at which that began.
    std::set<UsageWindow> reported; ///< Windows whose report was accepted.
    std::set<UsageWindow> inFlight; ///< Windows whose report has not been answered yet.
    bool isStoring = false; ///< A write of the record is in flight.
    bool isFetching = false; ///< A read of the record is in flight.
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
