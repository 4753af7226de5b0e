#pragma once

#include "coordinationcontroller.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "overflowpolicy.h"
#include "overflowselection.h"
#include "statesource.h"
#include "zoneselector.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Sends a part of this node's requests to other zones, and decides on the leader
 * how large that part is for each zone. Does nothing without the section /zones
 * of the settings.
 */
class OverflowController : public StateSource, public ZoneSelector {
public:
    /** Returns the rooms of all services in all zones at a time, as known to the leader. */
    using RoomsSource = std::function<std::vector<ZoneRoom>(EventLoop::TimePoint now)>;

    OverflowController(EventLoop&, const GatewaySettings&, GatewayBoard&, CoordinationController&, Metrics&, const EventLog&);

    auto begin() -> void;

    /** Sets where the leader reads the rooms; without it, or when it returns none, they are estimated from the nodes' reports and the registry. */
    auto setRoomsSource(RoomsSource source) -> void { this->roomsSource = std::move(source); }

    [[nodiscard]] auto isEnabled() const -> bool { return this->settings.zones.has_value(); }

    /** Returns the rooms of \a service in all zones; empty when they are not known. */
    [[nodiscard]] auto roomsOf(const std::string& service, EventLoop::TimePoint now) const -> std::vector<ZoneRoom>;

    /** Adds the rates of prompt tokens to this node's \a report, and the shares in force while the leader states none; rates cover the time since the last call. */
    auto addToReport(NodeReport& report, EventLoop::TimePoint now) -> void;

    auto selectZone(const std::string& service, RoutingRequest&, TimePoint now) -> void override;
    auto serverChosen(const RoutingRequest&, const BackendServer&) -> void override;

    [[nodiscard]] auto stateName() const -> std::string override { return "overflow"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto tick() -> void;
    auto endCoordinating() -> void;
    auto beginCoordinating(EventLoop::TimePoint now) -> void;
    auto addToAnswer(const std::string& zone, FleetAnswer&) -> void;
    auto applyAnswer(const FleetAnswer&) -> void;
    auto stepMade(const OverflowStep&) -> void;
    [[nodiscard]] auto isCoordinating() const -> bool;
    auto adoptShares(EventLoop::TimePoint now) -> void;

    const GatewaySettings& settings;
    GatewayBoard& board;
    CoordinationController& coordination;
    Metrics& metrics;
    const EventLog& log;
    Timer timer;
    RoomsSource roomsSource;
    OverflowPolicy policy;
    OverflowSelection selection;
    std::uint64_t term = 0; ///< Term of the leadership that the policy's shares belong to; 0 while this node does not coordinate.
    EventLoop::TimePoint coordinatingSince;
    std::map<std::string, std::int64_t> promptTokens; ///< Prompt tokens that were sent to engines since the last report, by service.
    std::map<std::string, double> promptTokensPerSecond; ///< Smoothed rate of these tokens, by service.
    EventLoop::TimePoint lastReport;
    bool isLeaderInformed = true; ///< Whether the last answer stated shares.
};

} // namespace Primrosefork
