#pragma once

#include "backendload.h"
#include "coordinationcontroller.h"
#include "fleetapi.h"
#include "fleetplanner.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "keyvaluestore.h"
#include "leadershipcontroller.h"
#include "rolloutcontroller.h"
#include "serverlimitcontroller.h"
#include "statesource.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Orders engines for the services with autoscaling, on the leader.
 *
 * An order names the total number of engines, so it is safe to repeat; it is
 * repeated when the registered engines do not match it in time. The number of
 * engines needed is kept in the store for the next leader.
 */
class FleetController : public StateSource {
public:
    FleetController(EventLoop&, KeyValueStore&, FleetApi&, const GatewaySettings&, GatewayBoard&, const CoordinationController&, const ServerLimitController&, const RolloutController&, LeadershipController&, Metrics&, const EventLog&);
    ~FleetController() override;

    /** Returns the rooms of a service in all zones; empty when they are not known. */
    using RoomsSource = std::function<std::vector<ZoneRoom>(const std::string& service, EventLoop::TimePoint now)>;

    auto begin() -> void;

    /** Sets where the rooms are read that decide in which of equally priced zones engines are ordered. */
    auto setRoomsSource(RoomsSource source) -> void { this->roomsSource = std::move(source); }

    [[nodiscard]] auto stateName() const -> std::string override { return "fleet"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** Service, zone and whether the engines are reclaimable. */
    using OrderKey = std::tuple<std::string, std::string, bool>;

    struct Order {
        std::int64_t count = -1; ///< Number of engines in the last order; -1 before the first order and after one that failed.
        EventLoop::TimePoint sent; ///< Time at which the last order was sent.
        bool isInFlight = false;
    };

    auto tick() -> void;
    auto beginLeading(std::uint64_t newFence, EventLoop::TimePoint now) -> void;
    auto fetchRecord() -> void;
    auto writeRecord() -> void;
    auto planService(const TrafficService&, EventLoop::TimePoint now) -> void;
    [[nodiscard]] auto demandFor(const std::string& service) const -> ServiceDemand;
    auto order(const TrafficService&, const FleetTarget&, std::int64_t present, EventLoop::TimePoint now) -> void;
    auto orderFinished(const OrderKey&, std::error_code, std::uint64_t fence) -> void;

    KeyValueStore& store;
    FleetApi& fleet;
    const GatewaySettings& settings;
    GatewayBoard& board;
    const CoordinationController& coordination;
    const ServerLimitController& limits;
    const RolloutController& rollouts;
    LeadershipController& leadership;
    Metrics& metrics;
    const EventLog& log;
    RoomsSource roomsSource;
    Timer timer;
    std::uint64_t fence = 0; ///< Fence of the leadership that the state below belongs to.
    EventLoop::TimePoint lastTick; ///< Time of the last check while this node led.
    EventLoop::TimePoint leadingSince;
    std::map<std::string, std::int64_t> recordedNeeds; ///< Number of engines needed by each service, as the store has it.
    StoreRevision recordRevision = 0; ///< Revision of that record; 0 when there is none.
    bool isRecordLoaded = false;
    bool isStoreCallInFlight = false;
    std::map<std::string, FleetPlanner> planners; ///< Planner of each service, by name.
    std::map<OrderKey, Order> orders;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
