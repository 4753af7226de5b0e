#include "rolloutcontroller.h"

#include "metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto tickPeriod = 200ms; ///< Adds to the time after which a bad version gets no more requests.
constexpr auto nodeRetention = 30s; ///< Time for which a node's last report is kept.

} // namespace

RolloutController::RolloutController(EventLoop& loop, KeyValueStore& store, const TrafficDocuments& documents, const GatewaySettings& settings, GatewayBoard& board, Metrics& metrics, const EventLog& log)
    : loop(loop)
    , store(store)
    , documents(documents)
    , settings(settings)
    , board(board)
    , metrics(metrics)
    , log(log)
    , inForce(board.rollouts.acquireWriter("RolloutController"))
    , timer(loop, [this] { this->tick(); })
{
}

auto RolloutController::begin() -> void
{
    this->timer.startRepeating(tickPeriod);
}

auto RolloutController::tick() -> void
{
    const auto& leadership = this->board.leadership.value();
    if (!this->isEnabled() || !leadership.isCoordinator)
        return this->leading.reset();
    const auto now = EventLoop::now();
    const auto isLeader = leadership.isOwn && BootClock::now() < leadership.validUntil;
    if (isLeader && (!this->leading || this->fence != leadership.fence || this->leading->isOutdated())) {
        this->fence = leadership.fence;
        this->leading = std::make_unique<RolloutLeading>(this->loop, this->store, this->documents, this->settings, this->board, this->metrics, this->log, now);
    }
    if (this->leading)
        this->leading->advance(this->nodes, isLeader, now);
}

auto RolloutController::reportReceived(const std::string& nodeId, std::uint64_t session, const NodeReport& report) -> void
{
    if (!this->isEnabled())
        return;
    const auto now = EventLoop::now();
    auto& node = this->nodes[nodeId];
    node = { session, now, report.rollouts, {} };
    for (const auto& service : report.services)
        node.requestsPerSecond[service.service] = service.requestsPerSecond;
    std::erase_if(this->nodes, [now](const auto& entry) { return now - entry.second.receivedAt > nodeRetention; });
    if (this->leading)
        this->leading->reportReceived(nodeId, node);
}

auto RolloutController::addToAnswer(FleetAnswer& answer) const -> void
{
    if (!this->isEnabled() || !this->leading || !this->leading->isReady())
        return;
    answer.hasAllRollouts = true;
    answer.rollouts = this->leading->shares(EventLoop::now());
}

auto RolloutController::applyAnswer(const FleetAnswer& answer, BootClock::time_point reportSent) -> void
{
    // An answer that was overtaken by a later one may have a share that no longer holds.
    if (!this->isEnabled() || !answer.hasAllRollouts || reportSent < this->lastReportSent)
        return;
    this->lastReportSent = reportSent;
    this->inForce.write({ answer.rollouts, true, EventLoop::now() - (BootClock::now() - reportSent) });
}

auto RolloutController::isReplacing(const std::string& service) const -> bool
{
    return this->leading && this->leading->isReplacing(service);
}

auto RolloutController::carriesLoad(const BackendServer& server) const -> bool
{
    return !this->leading || this->leading->carriesLoad(server);
}

auto RolloutController::dumpState() const -> nlohmann::json
{
    nlohmann::json state { { "enabled", this->isEnabled() } };
    if (this->leading)
        state["leading"] = this->leading->dumpState(EventLoop::now());
    return state;
}

} // namespace Primrosefork
