#include "stopcontroller.h"

#include "eventlog.h"

#include <algorithm>
#include <nlohmann/json.hpp>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds balancerNoticeTime = 2'500ms; ///< Time in which the load balancer, which checks readiness once a second, checks twice and stops sending connections.
constexpr std::chrono::milliseconds drainCheckPeriod = 50ms;
constexpr double drainGracePart = 0.95; ///< Fraction of the grace time after which the node stops even if requests are open.
constexpr std::chrono::milliseconds finalAnswerTime = 200ms; ///< Time before the end in which callers that still wait are answered.

} // namespace

StopController::StopController(
    EventLoop& loop, const GatewaySettings& settings, GatewayBoard& board, CallerListener& listener, const EventLog& log, std::function<bool()> canServe)
    : settings(settings)
    , board(board)
    , listener(listener)
    , log(log)
    , lifecycle(board.lifecycle.acquireWriter("StopController"))
    , canServe(std::move(canServe))
    , timer(loop, [this] { this->checkDrain(); })
{
    board.traffic.changed.connect([this](const TrafficInForce&) { this->updateLifecycle(); });
    board.backendServers.changed.connect([this](const BackendServers&) { this->updateLifecycle(); });
}

auto StopController::updateLifecycle() -> void
{
    if (this->lifecycle.value() == Lifecycle::Starting && this->board.traffic.value().table && !this->board.backendServers.value().empty())
        this->lifecycle.write(Lifecycle::Serving);
}

auto StopController::isReady() const -> bool
{
    return this->lifecycle.value() == Lifecycle::Serving && this->canServe();
}

auto StopController::requestStop(const char* reason) -> void
{
    if (this->lifecycle.value() == Lifecycle::Draining || this->lifecycle.value() == Lifecycle::Stopped)
        return this->log.write(Event::StopRepeated, { { "reason", reason } });
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(drainGracePart * this->settings.bounds.stopGrace);
    this->drainStart = EventLoop::now();
    this->drainEnd = this->drainStart + time;
    this->lastAnswers = this->drainStart + std::max(0ms, time - finalAnswerTime);
    this->log.write(Event::NodeDraining, { { "reason", reason }, { "busy", std::to_string(this->listener.busyCount()) } });
    this->lifecycle.write(Lifecycle::Draining);
    this->listener.beginDrain();
    this->stopBegan.emit();
    this->timer.startRepeating(drainCheckPeriod);
}

auto StopController::checkDrain() -> void
{
    const auto now = EventLoop::now();
    if (now >= this->drainEnd) {
        if (this->listener.busyCount() > 0)
            this->log.write(Event::DrainTimedOut, { { "open", std::to_string(this->listener.busyCount()) } });
        return this->finish();
    }
    if (now < this->drainStart + balancerNoticeTime && now < this->lastAnswers)
        return;
    this->listener.closeIdle();
    if (now >= this->lastAnswers)
        this->listener.refuseIncomplete();
    if (this->listener.busyCount() == 0)
        this->finish();
}

auto StopController::finish() -> void
{
    this->timer.stop();
    this->lifecycle.write(Lifecycle::Stopped);
    this->stopped.emit();
}

auto StopController::dumpState() const -> nlohmann::json
{
    return { { "state", nameOf(this->lifecycle.value()) }, { "is_ready", this->isReady() }, { "connections", this->listener.connectionCount() } };
}

} // namespace Primrosefork
