#include "overflowcontroller.h"

#include "cacheawarepolicy.h"
#include "eventlog.h"
#include "metrics.h"
#include "roomestimate.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <numeric>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds tickPeriod = 500ms; ///< Period of the nodes' reports.
constexpr auto gatherTime = 1'200ms; ///< Time in which each node reports to a new leader twice, with the shares in force.
constexpr auto reportTimeout = 3s; ///< Age of a node's last report at which its load is no longer counted.
constexpr double rateSmoothing = 0.12; ///< Weight of the newest report, as in the rate of tokens that engines have to read.
constexpr double defaultTokensPerMillisecond = 20; ///< Relates the default round trip of 3 ms to the cost of another zone without these settings, 60 prompt tokens.
constexpr double millisecondsPerSecond = 1e3;

auto milliText(std::chrono::duration<double> time) -> std::string
{
    return std::to_string(std::chrono::round<std::chrono::milliseconds>(time).count());
}

auto percentText(double part) -> std::string
{
    constexpr double whole = 100;
    return std::to_string(static_cast<std::int64_t>(part * whole));
}

auto gaugeOf(const OverflowShare& share) -> std::string
{
    return "overflow_eighths{service=\"" + share.service + "\",from=\"" + share.fromZone + "\"}";
}

auto sharesJson(const std::vector<OverflowShare>& shares) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto& share : shares)
        list.push_back({ { "service", share.service }, { "from", share.fromZone }, { "to", share.toZone }, { "eighths", share.eighths } });
    return list;
}

} // namespace

OverflowController::OverflowController(EventLoop& loop, const GatewaySettings& settings, GatewayBoard& board, CoordinationController& coordination, Metrics& metrics, const EventLog& log)
    : settings(settings)
    , board(board)
    , coordination(coordination)
    , metrics(metrics)
    , log(log)
    , timer(loop, [this] { this->tick(); })
    , policy(settings.zones.value_or(ZoneCosts {}))
    , selection(settings.zone, settings.region)
    , lastReport(EventLoop::now())
{
    if (!this->isEnabled())
        return;
    board.backendServers.changed.connect([this](const BackendServers& servers) { this->selection.serversChanged(servers); });
    coordination.answering.connect([this](const NodeReport& report, FleetAnswer& answer) { this->addToAnswer(report.zone, answer); });
    coordination.answered.connect([this](const FleetAnswer& answer) { this->applyAnswer(answer); });
}

auto OverflowController::begin() -> void
{
    if (this->isEnabled())
        this->timer.startRepeating(tickPeriod);
}

auto OverflowController::isCoordinating() const -> bool
{
    const auto& leadership = this->board.leadership.value();
    return leadership.isCoordinator && leadership.hasCoordinator(BootClock::now());
}

auto OverflowController::beginCoordinating(EventLoop::TimePoint now) -> void
{
    this->term = this->board.leadership.value().term;
    this->coordinatingSince = now;
    this->policy.clear();
}

auto OverflowController::endCoordinating() -> void
{
    for (const auto& share : this->policy.shares())
        this->metrics.setGauge(gaugeOf(share), 0);
    this->policy.clear();
    this->term = 0;
}

auto OverflowController::tick() -> void
{
    const auto& table = this->board.traffic.value().table;
    if (!this->isCoordinating() || !table)
        return this->endCoordinating();
    const auto now = EventLoop::now();
    if (this->term == 0 || this->term != this->board.leadership.value().term)
        this->beginCoordinating(now);
    if (now - this->coordinatingSince < gatherTime) {
        this->adoptShares(now);
        return;
    }
    std::vector<std::string> services;
    for (const auto& [name, service] : table->configuration().services) {
        services.push_back(name);
        const auto rooms = this->roomsOf(name, now);
        for (const auto& step : this->policy.update(rooms, serviceRatesOf(name, rooms, this->coordination.nodes(), now), now))
            this->stepMade(step);
    }
    this->policy.retain(services);
}

auto OverflowController::adoptShares(EventLoop::TimePoint now) -> void
{
    for (const auto& [id, node] : this->coordination.nodes()) {
        if (now - node.receivedAt >= reportTimeout || !node.report.overflow)
            continue;
        for (const auto& share : *node.report.overflow)
            this->policy.adopt(share, now);
    }
    for (const auto& share : this->policy.shares())
        this->metrics.setGauge(gaugeOf(share), share.eighths);
}

auto OverflowController::stepMade(const OverflowStep& step) -> void
{
    const auto& share = step.share;
    this->metrics.count("overflow_steps_total");
    this->metrics.setGauge(gaugeOf(share), share.eighths);
    this->log.write(Event::OverflowChanged,
        { { "service", share.service }, { "from", share.fromZone }, { "to", share.toZone }, { "eighths", std::to_string(share.eighths) }, { "earlier", std::to_string(step.earlierEighths) },
            { "wait_ms", milliText(step.waitHere) }, { "target_wait_ms", milliText(step.waitThere) }, { "cost_ms", milliText(step.cost) },
            { "utilization_percent", percentText(step.utilizationHere) }, { "target_utilization_percent", percentText(step.utilizationThere) } });
}

auto OverflowController::addToAnswer(const std::string& zone, FleetAnswer& answer) -> void
{
    // Until it has gathered the shares in force a new leader states none, and the nodes keep theirs.
    if (this->term == 0 || EventLoop::now() - this->coordinatingSince < gatherTime)
        return;
    auto shares = this->policy.shares();
    std::erase_if(shares, [&zone](const auto& share) { return share.fromZone != zone; });
    answer.overflow = std::move(shares);
}

auto OverflowController::applyAnswer(const FleetAnswer& answer) -> void
{
    this->isLeaderInformed = answer.overflow.has_value();
    if (answer.overflow)
        this->selection.answerReceived(*answer.overflow, EventLoop::now());
}

auto OverflowController::addToReport(NodeReport& report, EventLoop::TimePoint now) -> void
{
    if (!this->isEnabled())
        return;
    const auto seconds = std::max(0.001, std::chrono::duration<double>(now - this->lastReport).count());
    this->lastReport = now;
    for (auto& entry : report.services) {
        const auto tokens = std::exchange(this->promptTokens[entry.service], 0);
        auto& rate = this->promptTokensPerSecond[entry.service];
        rate += rateSmoothing * (static_cast<double>(tokens) / seconds - rate);
        entry.promptTokensPerSecond = rate;
    }
    auto shares = this->selection.shares(now);
    if (!this->isLeaderInformed && !shares.empty())
        report.overflow = std::move(shares);
}

auto OverflowController::selectZone(const std::string& service, RoutingRequest& request, TimePoint now) -> void
{
    if (!this->isEnabled())
        return;
    request.overflowZone = this->selection.targetFor(service, homePrefixOf(request), request.id, now);
    const auto bytes = estimatedBytes(static_cast<double>(request.promptTokens), static_cast<double>(request.expectedTokens));
    request.otherZoneTokens = transferCost(*this->settings.zones, bytes).count() * millisecondsPerSecond * defaultTokensPerMillisecond;
}

auto OverflowController::serverChosen(const RoutingRequest& request, const BackendServer& server) -> void
{
    if (!this->isEnabled())
        return;
    if (server.kind == BackendKind::Engine)
        this->promptTokens[server.pool] += request.promptTokens;
    if (server.zone != this->settings.zone)
        this->metrics.count(request.overflowZone == server.zone ? "zone_crossings_total{reason=\"overflow\"}" : "zone_crossings_total{reason=\"load\"}");
}

auto OverflowController::roomsOf(const std::string& service, EventLoop::TimePoint now) const -> std::vector<ZoneRoom>
{
    if (!this->isEnabled())
        return {};
    auto rooms = this->roomsSource ? this->roomsSource(now) : std::vector<ZoneRoom>();
    std::erase_if(rooms, [&service](const auto& room) { return room.service != service; });
    const auto& table = this->board.traffic.value().table;
    const auto* entry = table ? table->service(service) : nullptr;
    if (rooms.empty() && entry)
        rooms = estimateRooms(*entry, this->board.backendServers.value(), this->coordination.nodes(), this->policy.shares(), now);
    const auto servers = std::accumulate(rooms.begin(), rooms.end(), std::int64_t { 0 }, [](std::int64_t sum, const auto& room) { return sum + room.servers; });
    // The load of larger services is not shared, and an estimate of it would move their prompts for nothing.
    return servers > maxSharedServers ? std::vector<ZoneRoom>() : rooms;
}

auto OverflowController::dumpState() const -> nlohmann::json
{
    nlohmann::json state { { "enabled", this->isEnabled() }, { "in_force", sharesJson(this->selection.shares(EventLoop::now())) } };
    if (this->isCoordinating())
        state["decided"] = sharesJson(this->policy.shares());
    return state;
}

} // namespace Primrosefork
