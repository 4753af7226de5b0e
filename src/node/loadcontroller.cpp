#include "loadcontroller.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace Primrosefork {

LoadController::LoadController(EventLoop& loop, Engines& engines, Blackboard& blackboard, std::chrono::milliseconds period)
    : engines(engines)
    , blackboard(blackboard)
    , reports(blackboard.loadReports.acquireWriter("LoadController"))
    , period(period)
    , timer(loop, [this] { this->poll(); })
{
}

auto LoadController::begin() -> void
{
    this->timer.startRepeating(this->period);
}

auto LoadController::poll() -> void
{
    this->reports.write(std::exchange(this->collected, {}));
    for (const auto& [id, server] : this->blackboard.backendServers.value()) {
        if (server.kind != BackendKind::Engine)
            continue;
        this->engines.fetchLoad(server.address, [this, id = id](std::error_code error, const LoadReport& report) { this->received(id, error, report); });
    }
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
