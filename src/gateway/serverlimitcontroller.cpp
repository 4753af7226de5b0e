#include "serverlimitcontroller.h"

#include "eventlog.h"
#include "hash.h"
#include "metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds grantPeriod = 500ms; ///< Period of the nodes' reports, with whose answers permits are granted.
constexpr std::chrono::milliseconds minGrantDelay = 100ms;
constexpr auto gatherTime = 1'200ms; ///< Time in which each node has reported all limits that it knows to a new coordinator.
constexpr auto fullReportTime = 4s; ///< Time after a change of the leader in which reports include all limits.
constexpr auto listPeriod = 1s; ///< Shortest time between two lists of all limits to one node.
constexpr auto nodeTimeout = 3s; ///< Time after its last report at which a node has no share.
constexpr double minEqualPart = 0.2; ///< Part of the permits that is divided equally, for nodes whose demand is new.

} // namespace

ServerLimitController::ServerLimitController(const std::string& nodeId, GatewayBoard& board, Metrics& metrics, const EventLog& log)
    : board(board)
    , metrics(metrics)
    , log(log)
    , limits(hash64(nodeId + randomHex(8)))
    , ledger(hash64(nodeId + randomHex(8)))
{
    board.fleetShare.changed.connect([this](const FleetShare& share) { this->limits.setNodeCount(share.nodes); });
    board.leadership.changed.connect([this](const Leadership& leadership) { this->leadershipChanged(leadership); });
    board.backendServers.changed.connect([this](const BackendServers& servers) { this->limits.retain(servers, BootClock::now()); });
}

auto ServerLimitController::leadershipChanged(const Leadership& leadership) -> void
{
    const auto now = BootClock::now();
    const auto isContinued = this->isCoordinator && leadership.coordinationFence == this->coordinationFence;
    if (leadership.isCoordinator && !isContinued) {
        this->ledger.clear();
        this->nodes.clear();
        this->coordinatorSince = now;
    }
    this->isCoordinator = leadership.isCoordinator;
    this->coordinationFence = leadership.coordinationFence;
    if (leadership.term == 0 || leadership.term == this->term)
        return;
    this->term = leadership.term;
    this->leaderSince = now;
}

auto ServerLimitController::replyReceived(const BackendServer& server, const ReplyFields& reply) -> void
{
    if (reply.hasUnreadableRateLimit && !reply.rateLimit)
        return;
    if (!this->limits.stated(server, reply.rateLimit, BootClock::now()))
        return;
    this->metrics.count(reply.rateLimit ? "server_limits_named_total" : "server_limits_withdrawn_total");
    this->log.write(Event::BackendLimited, { { "backend", server.id }, { "per_second", reply.rateLimit ? std::to_string(*reply.rateLimit) : "" } });
}

auto ServerLimitController::nextGrantDelay() const -> std::chrono::milliseconds
{
    return std::max(minGrantDelay, std::chrono::ceil<std::chrono::milliseconds>(this->lastAnswer + grantPeriod - BootClock::now()));
}

auto ServerLimitController::requestSent(const BackendServer& server) -> void
{
    if (!this->limits.requestSent(server, BootClock::now()))
        this->metrics.count("server_permits_owed_total");
}

auto ServerLimitController::addToReport(NodeReport& report) const -> void
{
    const auto now = BootClock::now();
    report.limits = this->limits.statements(now - this->leaderSince < fullReportTime, now);
    report.limitsDigest = this->limits.digest();
}

auto ServerLimitController::reportReceived(const std::string& nodeId, const NodeReport& report) -> void
{
    const auto now = BootClock::now();
    this->ledger.reported(report.limits, now);
    auto& node = this->nodes[nodeId];
    node.reportedAt = now;
    node.digest = report.limitsDigest;
    node.requestsPerSecond.clear();
    for (const auto& entry : report.services)
        node.requestsPerSecond[entry.service] = entry.requestsPerSecond;
}

auto ServerLimitController::updateDemand(std::size_t nodeCount) -> void
{
    const auto now = BootClock::now();
    std::erase_if(this->nodes, [now](const auto& entry) { return now - entry.second.reportedAt >= nodeTimeout; });
    this->liveNodes = std::max({ nodeCount, this->nodes.size(), std::size_t { 1 } });
    this->totalPerSecond.clear();
    for (const auto& [id, node] : this->nodes) {
        for (const auto& [service, rate] : node.requestsPerSecond)
            this->totalPerSecond[service] += rate;
    }
    this->ledger.setServers(this->board.backendServers.value(), now);
}

auto ServerLimitController::shareOf(const Node& node, const std::string& service) const -> double
{
    const auto equalShare = 1 / static_cast<double>(this->liveNodes);
    const auto total = this->totalPerSecond.find(service);
    const auto own = node.requestsPerSecond.find(service);
    if (total == this->totalPerSecond.end() || total->second <= 0)
        return equalShare;
    const auto demandShare = own == node.requestsPerSecond.end() ? 0 : std::min(1.0, own->second / total->second);
    return minEqualPart * equalShare + (1 - minEqualPart) * demandShare;
}

auto ServerLimitController::addToAnswer(FleetAnswer& answer, const std::string& nodeId) -> void
{
    const auto now = BootClock::now();
    const auto found = this->nodes.find(nodeId);
    if (found == this->nodes.end())
        return;
    auto& node = found->second;
    answer.permits = this->ledger.grant([this, &node](const std::string& service) { return this->shareOf(node, service); }, now - node.grantedAt, now);
    node.grantedAt = now;
    answer.hasAllLimits = now - this->coordinatorSince >= gatherTime;
    if (node.digest == this->ledger.digest() || now - node.listedAt < listPeriod)
        return;
    node.listedAt = now;
    answer.hasLimits = true;
    answer.limits = this->ledger.statements(now);
}

auto ServerLimitController::applyAnswer(const FleetAnswer& answer, BootClock::time_point reportSent) -> void
{
    this->lastAnswer = BootClock::now();
    if (answer.hasLimits)
        this->limits.learned(answer.limits, answer.hasAllLimits, reportSent);
    this->limits.granted(answer.permits, reportSent);
}

auto ServerLimitController::dumpState() const -> nlohmann::json
{
    const auto now = BootClock::now();
    auto list = nlohmann::json::array();
    for (const auto& [id, server] : this->board.backendServers.value()) {
        if (const auto limit = this->limits.limitOf(server))
            list.push_back({ { "backend", id }, { "per_second", *limit }, { "permits", this->limits.permitsFor(server, now) } });
    }
    nlohmann::json state { { "limited", std::move(list) }, { "is_coordinator", this->isCoordinator } };
    if (this->isCoordinator)
        state["accounts"] = this->ledger.limitedServers();
    return state;
}

} // namespace Primrosefork
