#include "fleetcontroller.h"

#include "errors.h"
#include "eventlog.h"
#include "metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds tickPeriod = 500ms;
constexpr auto neededKey = "primrosefork/fleet";
constexpr auto firstRegistrationTime = 4s; ///< Time for servers to register after the first start of the system.
constexpr auto reportGatherTime = 1'200ms; ///< Time in which each node reports to a new leader twice.
constexpr auto orderSettleTime = 5s; ///< Time, beyond the boot time of an engine, in which the registry must match an order before it is repeated.
constexpr auto planRetention = 10s; ///< Time without the leadership after which another node may have planned.
constexpr auto reportTimeout = 3s; ///< Age of a node's last report at which its load is no longer counted.

/** Returns by zone how many requests exceed the slots, as a part of these. */
auto shortagesOf(const std::vector<ZoneRoom>& rooms) -> std::map<std::string, double>
{
    std::map<std::string, double> shortages;
    for (const auto& room : rooms) {
        const auto excess = std::max<std::int64_t>(0, room.openRequests + room.waitingRequests - room.slots);
        shortages[room.zone] = static_cast<double>(excess) / static_cast<double>(std::max<std::int64_t>(1, room.slots));
    }
    return shortages;
}

} // namespace

FleetController::FleetController(EventLoop& loop, KeyValueStore& store, FleetApi& fleet, const GatewaySettings& settings, GatewayBoard& board,
    const CoordinationController& coordination, const ServerLimitController& limits, const RolloutController& rollouts, LeadershipController& leadership, Metrics& metrics, const EventLog& log)
    : store(store)
    , fleet(fleet)
    , settings(settings)
    , board(board)
    , coordination(coordination)
    , limits(limits)
    , rollouts(rollouts)
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
    if (this->fence != current.fence)
        this->beginLeading(current.fence, now);
    this->lastTick = now;
    if (!this->isRecordLoaded)
        this->fetchRecord();
    // The first leader of a system has no record and waits until servers have registered; a later one has the record.
    if (now - this->leadingSince < (this->recordedNeeds.empty() ? firstRegistrationTime : reportGatherTime))
        return;
    for (const auto& [name, service] : table->configuration().services) {
        if (service.scaling)
            this->planService(service, now);
    }
    this->writeRecord();
}

auto FleetController::beginLeading(std::uint64_t newFence, EventLoop::TimePoint now) -> void
{
    this->fence = newFence;
    this->leadingSince = now;
    this->orders.clear();
    // A node that leads again soon goes on with its own needs, which are newer than a record from a copy of the store.
    if (now - this->lastTick >= planRetention)
        this->planners.clear();
    this->recordedNeeds.clear();
    this->recordRevision = 0;
    this->isRecordLoaded = false;
    this->isStoreCallInFlight = false;
}

auto FleetController::fetchRecord() -> void
{
    if (std::exchange(this->isStoreCallInFlight, true))
        return;
    this->store.get(neededKey, [this, usedFence = this->fence, alive = this->isAlive](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (!*alive || usedFence != this->fence)
            return;
        this->isStoreCallInFlight = false;
        if (error)
            return;
        this->isRecordLoaded = true;
        if (!entry)
            return;
        this->recordRevision = entry->revision;
        const auto json = nlohmann::json::parse(entry->value, nullptr, false);
        if (!json.is_object())
            return;
        for (const auto& [service, needed] : json.items()) {
            if (needed.is_number_integer())
                this->recordedNeeds[service] = needed.template get<std::int64_t>();
        }
    });
}

auto FleetController::writeRecord() -> void
{
    std::map<std::string, std::int64_t> current;
    for (const auto& [service, planner] : this->planners)
        current[service] = planner.lastNeededEngines();
    if (!this->isRecordLoaded || current == this->recordedNeeds || std::exchange(this->isStoreCallInFlight, true))
        return;
    const nlohmann::json json(current);
    this->store.compareAndSwap({ neededKey, this->recordRevision, json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace), 0 },
        [this, current, usedFence = this->fence, alive = this->isAlive](std::error_code error, const StoreSwapResult& result) {
            if (!*alive || usedFence != this->fence)
                return;
            this->isStoreCallInFlight = false;
            // The write failed or its outcome is unknown: the record is read again.
            if (error || !result.isSwapped) {
                this->isRecordLoaded = false;
                return;
            }
            this->recordedNeeds = current;
            this->recordRevision = result.current.revision;
        });
}

auto FleetController::demandFor(const std::string& service) const -> ServiceDemand
{
    ServiceDemand demand;
    const auto now = EventLoop::now();
    for (const auto& [id, node] : this->coordination.nodes()) {
        if (now - node.receivedAt > reportTimeout)
            continue;
        for (const auto& entry : node.report.services) {
            if (entry.service != service)
                continue;
            demand.prefillTokensPerSecond += entry.readTokensPerSecond;
            demand.requestsPerSecond += entry.requestsPerSecond;
            demand.openRequests += entry.openRequests + entry.waitingRequests;
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
        // Of the servers of two versions, only those that carry the load count as engines that are there.
        if (server.pool != service.name || !this->rollouts.carriesLoad(server))
            continue;
        servers.push_back(&server);
        if (server.state == InstanceState::Live)
            ++present[{ server.zone, server.isReclaimable }];
    }
    // An empty registry is more likely to have lost its entries than all engines are to be gone: nothing is ordered then.
    if (servers.empty())
        return;
    const auto [plannerEntry, isNew] = this->planners.try_emplace(service.name, *service.scaling);
    auto& planner = plannerEntry->second;
    const auto recordedNeed = this->recordedNeeds.find(service.name);
    if (isNew && recordedNeed != this->recordedNeeds.end())
        planner.restoreNeeded(recordedNeed->second, now);
    const auto slots = service.engine ? service.engine->slots : servers.front()->slots;
    auto demand = this->demandFor(service.name);
    for (const auto* server : servers) {
        if (const auto limit = server->state == InstanceState::Live ? this->limits.limitOf(*server) : std::nullopt)
            demand.engineLimits.push_back(*limit);
    }
    this->metrics.setGauge("read_tokens_per_second", demand.prefillTokensPerSecond);
    this->metrics.setGauge("engine_tokens_per_second", demand.engineTokensPerSecond);
    if (this->roomsSource)
        planner.setShortages(shortagesOf(this->roomsSource(service.name, now)));
    for (const auto& target : planner.plan(demand, slots, servers, now))
        this->order(service, target, present[{ target.zone, target.isReclaimable }], now);
}

auto FleetController::order(const TrafficService& service, const FleetTarget& target, std::int64_t present, EventLoop::TimePoint now) -> void
{
    const OrderKey key { service.name, target.zone, target.isReclaimable };
    auto& last = this->orders[key];
    if (last.isInFlight)
        return;
    // The platform starts and stops the engines of a roll-out itself; fewer would take some of them away in its middle.
    if (this->rollouts.isReplacing(service.name) && target.count <= std::max(last.count, present))
        return;
    const auto isOverdue = present != target.count && now - last.sent > service.scaling->bootTime + orderSettleTime;
    if (last.count == target.count && !isOverdue)
        return;
    last = { target.count, now, true };
    this->log.write(Event::EnginesOrdered,
        { { "service", service.name }, { "zone", target.zone }, { "kind", target.isReclaimable ? "reclaimable" : "on_demand" },
            { "count", std::to_string(target.count) }, { "present", std::to_string(present) }, { "fence", std::to_string(this->fence) } });
    this->metrics.count("engine_orders_total");
    this->fleet.setEngineTarget({ this->settings.id, this->fence }, { service.name, target.zone, target.isReclaimable, target.count },
        [this, key, usedFence = this->fence, alive = this->isAlive](std::error_code error) {
            if (*alive)
                this->orderFinished(key, error, usedFence);
        });
}

auto FleetController::orderFinished(const OrderKey& key, std::error_code error, std::uint64_t usedFence) -> void
{
    if (usedFence != this->fence)
        return;
    auto& last = this->orders[key];
    last.isInFlight = false;
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
