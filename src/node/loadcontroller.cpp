#include "loadcontroller.h"

#include "nodesettings.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

namespace {

constexpr auto controllerName = "LoadController";
constexpr unsigned maxWidening = 3;
constexpr int roundsBeforeNarrowing = 60; ///< Consecutive polls with enough usable engines before the subset is narrowed by one step.

} // namespace

LoadController::LoadController(EventLoop& loop, Engines& engines, Blackboard& blackboard, const NodeSettings& settings)
    : engines(engines)
    , blackboard(blackboard)
    , reports(blackboard.loadReports.acquireWriter(controllerName))
    , subset(blackboard.backendSubset.acquireWriter(controllerName))
    , settings(settings)
    , timer(loop, [this] { this->poll(); })
{
    blackboard.backendServers.changed.connect([this](const BackendServers&) { this->isSubsetOutdated = true; });
    blackboard.peers.changed.connect([this](const Peers&) { this->peersChanged(); });
}

auto LoadController::begin() -> void
{
    this->timer.startRepeating(this->settings.timeouts.loadPoll);
}

auto LoadController::poll() -> void
{
    this->adjustWidening();
    this->reports.write(std::exchange(this->collected, {}));
    if (this->isSubsetOutdated)
        this->updateSubset();
    for (const auto& id : this->subset.value()) {
        const auto& address = this->engineServers.at(id).address;
        this->engines.fetchLoad(address, [this, id](std::error_code error, const LoadReport& report) { this->received(id, error, report); });
    }
}

/** Widens a subset of which most engines are lost or overloaded by one step, and narrows it by one step after a long time without either. */
auto LoadController::adjustWidening() -> void
{
    const auto isUsable = [](const auto& entry) { return entry.second.waiting <= entry.second.running; };
    const auto usable = static_cast<std::size_t>(std::count_if(this->collected.begin(), this->collected.end(), isUsable));
    const auto hasEnoughUsable = usable * 2 >= this->subset.value().size();
    this->stableRounds = hasEnoughUsable ? this->stableRounds + 1 : 0;
    const auto hasAllEngines = this->subset.value().size() == this->engineServers.size();
    if (!hasEnoughUsable && !hasAllEngines && this->widening < maxWidening)
        ++this->widening;
    else if (this->stableRounds >= roundsBeforeNarrowing && this->widening > 0)
        --this->widening;
    else
        return;
    this->stableRounds = 0;
    this->isSubsetOutdated = true;
}

auto LoadController::updateSubset() -> void
{
    this->isSubsetOutdated = false;
    this->engineServers.clear();
    for (const auto& [id, server] : this->blackboard.backendServers.value()) {
        if (server.kind == BackendKind::Engine)
            this->engineServers[id] = server;
    }
    this->nodes = this->liveNodes();
    auto next = this->subsetSelector.select(this->settings.id, this->nodes, this->engineServers, this->widening);
    if (next != this->subset.value())
        this->subset.write(std::move(next));
}

auto LoadController::peersChanged() -> void
{
    if (this->liveNodes() != this->nodes)
        this->isSubsetOutdated = true;
}

auto LoadController::liveNodes() const -> std::vector<SubsetNode>
{
    std::vector<SubsetNode> live { { this->settings.id, this->settings.zone, this->settings.region } };
    for (const auto& [id, peer] : this->blackboard.peers.value()) {
        if (peer.state == PeerState::Alive || peer.state == PeerState::Suspect)
            live.push_back({ id, peer.zone, peer.region });
    }
    return live;
}

auto LoadController::received(const std::string& id, std::error_code error, LoadReport report) -> void
{
    if (error)
        return;
    report.received = EventLoop::now();
    this->collected[id] = report;
}

auto LoadController::dumpState() const -> nlohmann::json
{
    auto result = nlohmann::json::object();
    for (const auto& [id, report] : this->reports.value())
        result[id] = { { "running", report.running }, { "waiting", report.waiting }, { "waiting_tokens", report.waitingTokens } };
    return result;
}

} // namespace Primrosefork
