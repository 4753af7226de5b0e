#include "fleetcontroller.h"

#include "errors.h"
#include "eventlog.h"
#include "metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds tickPeriod = 500ms;
constexpr auto gatherTime = 4s; ///< For nodes to report to a new leader and for servers to register, before it orders by what they say.
constexpr auto followTime = 5s; ///< Beyond the start of an engine, for the registry to show what was ordered.
constexpr auto reportMemory = 3s; ///< After which a node's load counts for nothing.

} // namespace

FleetController::FleetController(EventLoop& loop, FleetApi& fleet, const GatewaySettings& settings, GatewayBoard& board,
    const CoordinationController& coordination, LeadershipController& leadership, Metrics& metrics, const EventLog& log)
    : loop(loop)
    , fleet(fleet)
    , settings(settings)
    , board(board)
    , coordination(coordination)
    , leadership(leadership)
    , metrics(metrics)
    , log(log)
    , timer(loop, [this] { this->tick(); })
    , isAlive(std::make_shared<bool>(true))
{
}

FleetController::~FleetController()
{
    *this->isAlive = false;
}

auto FleetController::begin() -> void
{
    this->timer.startRepeating(tickPeriod);
}

auto FleetController::tick() -> void
{
    const auto& current = this->board.leadership.value();
    const auto& table = this->board.traffic.value().table;
    if (!current.isOwn || BootClock::now() >= current.validUntil || !table)
        return;
    const auto now = EventLoop::now();
    if (this->fence != current.fence) {
        this->fence = current.fence;
        this->leadingSince = now;
        this->orders.clear();
        this->planners.clear();
    }
    if (now - this->leadingSince < gatherTime)
        return;
    for (const auto& [name, service] : table->configuration().services) {
        if (service.scaling)
            this->planService(service, now);
    }
}

auto FleetController::demandFor(const std::string& service) const -> ServiceDemand
{
    ServiceDemand demand;
    const auto now = EventLoop::now();
    for (const auto& [id, node] : this->coordination.nodes()) {
        if (now - node.heard > reportMemory)
            continue;
        for (const auto& entry : node.report.services) {
            if (entry.service != service)
                continue;
            demand.readTokensPerSecond += entry.readTokensPerSecond;
            demand.openRequests += entry.open + entry.waiting;
            demand.engineTokensPerSecond = std::max(demand.engineTokensPerSecond, entry.engineTokensPerSecond);
        }
    }
    return demand;
}

auto FleetController::planService(const TrafficService& service, EventLoop::TimePoint now) -> void
{
    std::vector<const BackendServer*> servers;
    std::map<std::pair<std::string, bool>, std::int64_t> present;
    for (const auto& [id, server] : this->board.backendServers.value()) {
        if (server.pool != service.name)
            continue;
        servers.push_back(&server);
        if (server.state == InstanceState::Live)
            ++present[{ server.zone, server.isReclaimable }];
    }
    // A registry that shows nothing at all is not to be believed more than the engines.
    if (servers.empty())
        return;
    auto& planner = this->planners.try_emplace(service.name, *service.scaling).first->second;
    const auto slots = service.engine ? service.engine->slots : servers.front()->slots;
    const auto demand = this->demandFor(service.name);
    this->metrics.setGauge("read_tokens_per_second", demand.readTokensPerSecond);
    this->metrics.setGauge("engine_tokens_per_second", demand.engineTokensPerSecond);
    for (const auto& target : planner.plan(demand, slots, servers, now))
        this->order(service, target, present[{ target.zone, target.isReclaimable }], now);
}

auto FleetController::order(const TrafficService& service, const FleetTarget& target, std::int64_t present, EventLoop::TimePoint now) -> void
{
    const OrderKey key { service.name, target.zone, target.isReclaimable };
    auto& last = this->orders[key];
    if (last.isUnderWay)
        return;
    const auto isOverdue = present != target.count && now - last.sent > service.scaling->bootTime + followTime;
    if (last.count == target.count && !isOverdue)
        return;
    last = { target.count, now, true };
    this->log.write(Event::EnginesOrdered,
        { { "service", service.name }, { "zone", target.zone }, { "kind", target.isReclaimable ? "reclaimable" : "on_demand" },
            { "count", std::to_string(target.count) }, { "present", std::to_string(present) }, { "fence", std::to_string(this->fence) } });
    this->metrics.count("engine_orders_total");
    this->fleet.orderEngines({ this->settings.id, this->fence }, { service.name, target.zone, target.isReclaimable, target.count },
        [this, key, used = this->fence, alive = this->isAlive](std::error_code error) {
            if (*alive)
                this->orderEnded(key, error, used);
        });
}

auto FleetController::orderEnded(const OrderKey& key, std::error_code error, std::uint64_t used) -> void
{
    if (used != this->fence)
        return;
    auto& last = this->orders[key];
    last.isUnderWay = false;
    const auto& [service, zone, isReclaimable] = key;
    const auto planner = this->planners.find(service);
    if (!error) {
        if (isReclaimable && planner != this->planners.end())
            planner->second.reclaimableAccepted(zone, last.count, EventLoop::now());
        return;
    }
    this->log.write(Event::EngineOrderFailed, { { "service", service }, { "zone", zone }, { "error", error.message() } });
    last.count = -1;
    if (error == Error::Refused && planner != this->planners.end())
        planner->second.reclaimableRefused(zone, EventLoop::now());
    if (error == Error::StaleFence)
        this->leadership.superseded();
}

auto FleetController::dumpState() const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto& [key, order] : this->orders)
        list.push_back({ { "service", std::get<0>(key) }, { "zone", std::get<1>(key) }, { "reclaimable", std::get<2>(key) }, { "count", order.count } });
    return { { "orders", list } };
}

} // namespace Primrosefork
