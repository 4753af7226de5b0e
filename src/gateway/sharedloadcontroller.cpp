#include "sharedloadcontroller.h"

#include "eventlog.h"
#include "metrics.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

namespace {

auto demandOf(const NodeReport& report) -> std::vector<CallerDemand>
{
    std::vector<CallerDemand> demand;
    for (const auto& entry : report.services)
        demand.push_back({ entry.service, entry.waitingRequests, entry.requestsPerSecond });
    return demand;
}

auto dumpRooms(const std::vector<ZoneRoom>& rooms) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto& room : rooms) {
        list.push_back({ { "service", room.service }, { "zone", room.zone }, { "servers", room.servers }, { "slots", room.slots }, { "open", room.openRequests },
            { "pending_tokens", room.pendingPrefillTokens }, { "waiting", room.waitingRequests }, { "per_second", room.requestsPerSecond } });
    }
    return list;
}

} // namespace

SharedLoadController::SharedLoadController(const GatewaySettings& settings, GatewayBoard& board, Metrics& metrics, const EventLog& log)
    : settings(settings)
    , board(board)
    , metrics(metrics)
    , log(log)
    , loadView(settings.zone)
{
    board.backendServers.changed.connect([this](const BackendServers&) { this->hasChangedServers = true; });
    board.leadership.changed.connect([this](const Leadership& leadership) { this->leadershipChanged(leadership); });
}

auto SharedLoadController::leadershipChanged(const Leadership& leadership) -> void
{
    const auto isContinued = this->isCoordinator && leadership.coordinationFence == this->coordinationFence;
    if (leadership.isCoordinator && !isContinued)
        this->loadAccount.begin(EventLoop::now());
    this->isCoordinator = leadership.isCoordinator;
    this->coordinationFence = leadership.coordinationFence;
}

auto SharedLoadController::addToReport(NodeReport& report, std::vector<BackendLoad> loads) -> void
{
    if (!this->isShared())
        return;
    keepLargest(loads, LoadAccount::maxReportedServers);
    report.loads = std::move(loads);
    this->demand = demandOf(report);
    this->checkView(EventLoop::now());
}

auto SharedLoadController::reportReceived(const std::string& nodeId, const NodeReport& report) -> void
{
    if (this->isShared() && report.loads)
        this->loadAccount.reportReceived(nodeId, { report.zone, *report.loads, demandOf(report) }, EventLoop::now());
}

auto SharedLoadController::updateAccount(std::size_t recordedNodes) -> void
{
    if (!this->isShared())
        return;
    if (std::exchange(this->hasChangedServers, false))
        this->loadAccount.setServers(this->board.backendServers.value());
    const auto wasComplete = this->loadAccount.isComplete();
    this->loadAccount.update(recordedNodes, EventLoop::now());
    this->metrics.setGauge("shared_load_listed_servers", static_cast<double>(this->loadAccount.listedCount()));
    this->metrics.setGauge("shared_load_reporting_nodes", static_cast<double>(this->loadAccount.nodeCount()));
    if (!wasComplete && this->loadAccount.isComplete())
        this->log.write(Event::SharedLoadOpened, { { "nodes", std::to_string(this->loadAccount.nodeCount()) }, { "recorded", std::to_string(recordedNodes) } });
}

auto SharedLoadController::addToAnswer(FleetAnswer& answer, const std::string& nodeId) const -> void
{
    if (this->isShared())
        answer.load = this->loadAccount.answerFor(nodeId);
}

auto SharedLoadController::applyAnswer(const FleetAnswer& answer, std::chrono::nanoseconds age) -> void
{
    if (!this->isShared() || !answer.load)
        return;
    const auto now = EventLoop::now();
    const auto isNew = this->loadView.answerReceived(*answer.load, this->demand, now - std::chrono::duration_cast<EventLoop::TimePoint::duration>(age));
    this->metrics.count(isNew ? "shared_load_answers_total" : "shared_load_late_answers_total");
    this->checkView(now);
}

auto SharedLoadController::checkView(EventLoop::TimePoint now) -> void
{
    const auto isKnown = this->loadView.weight(now) > 0;
    if (isKnown == std::exchange(this->hasView, isKnown))
        return;
    this->metrics.setGauge("shared_load_known", isKnown ? 1 : 0);
    this->log.write(isKnown ? Event::SharedLoadReceived : Event::SharedLoadExpired, { { "node", this->settings.id } });
}

auto SharedLoadController::dumpState() const -> nlohmann::json
{
    const auto now = EventLoop::now();
    nlohmann::json state { { "shared", this->isShared() }, { "weight", this->loadView.weight(now) }, { "age_ms", nullptr } };
    if (const auto reportedAt = this->loadView.reportedAt())
        state["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - *reportedAt).count();
    const auto& answer = this->loadView.lastAnswer();
    state["listed"] = answer.busiest.size();
    state["rooms"] = dumpRooms(answer.rooms);
    auto means = nlohmann::json::object();
    for (const auto& mean : answer.means)
        means[mean.service] = { { "open", mean.openRequests }, { "pending_tokens", mean.pendingPrefillTokens } };
    state["means"] = std::move(means);
    if (this->isCoordinator) {
        state["account"] = { { "nodes", this->loadAccount.nodeCount() }, { "listed", this->loadAccount.listedCount() }, { "complete", this->loadAccount.isComplete() },
            { "rooms", dumpRooms(this->loadAccount.rooms()) } };
    }
    return state;
}

} // namespace Primrosefork
