#pragma once

#include "coordinationcontroller.h"
#include "fleetapi.h"
#include "fleetplanner.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "keyvaluestore.h"
#include "leadershipcontroller.h"
#include "statesource.h"

#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Orders engines for the services that may be scaled, on the leader.
 *
 * An order names the whole number of engines, so that it can be given again;
 * it is, when the engines that registered do not follow it. How many are needed
 * is kept in the store, for the next leader.
 */
class FleetController : public StateSource {
public:
    FleetController(EventLoop&, KeyValueStore&, FleetApi&, const GatewaySettings&, GatewayBoard&, const CoordinationController&, LeadershipController&, Metrics&, const EventLog&);
    ~FleetController() override;

    auto begin() -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "fleet"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** Service, zone and whether reclaimable engines are meant. */
    using OrderKey = std::tuple<std::string, std::string, bool>;

    struct Order {
        std::int64_t count = -1; ///< Ordered last; -1 before the first order.
        EventLoop::TimePoint sent;
        bool isUnderWay = false;
    };

    auto tick() -> void;
    auto beginLeading(std::uint64_t newFence, EventLoop::TimePoint now) -> void;
    auto fetchRecord() -> void;
    auto writeRecord() -> void;
    auto planService(const TrafficService&, EventLoop::TimePoint now) -> void;
    [[nodiscard]] auto demandFor(const std::string& service) const -> ServiceDemand;
    auto order(const TrafficService&, const FleetTarget&, std::int64_t present, EventLoop::TimePoint now) -> void;
    auto orderEnded(const OrderKey&, std::error_code, std::uint64_t fence) -> void;

    KeyValueStore& store;
    FleetApi& fleet;
    const GatewaySettings& settings;
    GatewayBoard& board;
    const CoordinationController& coordination;
    LeadershipController& leadership;
    Metrics& metrics;
    const EventLog& log;
    Timer timer;
    std::uint64_t fence = 0;
    EventLoop::TimePoint leadingSince;
    std::map<std::string, std::int64_t> recorded; ///< Engines needed of each service, as the store has them.
    StoreRevision recordRevision = 0;
    bool isRecordKnown = false;
    bool isCallingStore = false;
    std::map<std::string, FleetPlanner> planners; ///< By service.
    std::map<OrderKey, Order> orders;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
