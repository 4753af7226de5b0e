#include "lifecyclecontroller.h"

#include "eventlog.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds balancerGrace = 2s; ///< Time for the load balancer to see that the node is not ready.
constexpr std::chrono::milliseconds responseFlushTime = 300ms; ///< Time for the last responses to reach the network.
constexpr std::chrono::milliseconds reclaimMargin = 500ms; ///< How long before the reclaim deadline the node stops, because notices arrive late.

} // namespace

LifecycleController::LifecycleController(EventLoop& loop, Blackboard& blackboard, const EventLog& log, std::chrono::milliseconds drainTime,
    std::function<std::size_t()> openCount)
    : blackboard(blackboard)
    , log(log)
    , lifecycle(blackboard.lifecycle.acquireWriter("LifecycleController"))
    , drainTime(drainTime)
    , openCount(std::move(openCount))
    , graceTimer(loop, [this] { this->endAccepting(); })
    , drainTimer(loop, [this] { this->drainTimedOut(); })
    , flushTimer(loop, [this] { this->finish(); })
{
    blackboard.configuration.changed.connect([this](const Configuration&) { this->configurationChanged(); });
}

auto LifecycleController::configurationChanged() -> void
{
    if (this->lifecycle.value() == Lifecycle::Starting)
        this->lifecycle.write(Lifecycle::Serving);
}

auto LifecycleController::requestStop(const char* reason) -> void
{
    const auto current = this->lifecycle.value();
    if (current == Lifecycle::Draining || current == Lifecycle::Stopped) {
        this->log.write(Event::StopRepeated, { { "reason", reason } });
        return;
    }
    this->beginDrain(this->drainTime, reason);
}

auto LifecycleController::requestStopBefore(EventLoop::TimePoint deadline, const char* reason, EventLoop::TimePoint now) -> void
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now) - reclaimMargin;
    const auto time = std::clamp(remaining, 0ms, this->drainTime);
    const auto current = this->lifecycle.value();
    if (current != Lifecycle::Draining && current != Lifecycle::Stopped)
        return this->beginDrain(time, reason);
    if (current == Lifecycle::Draining && now + time < this->drainEnd) {
        this->drainEnd = now + time;
        this->drainTimer.start(std::max(time - responseFlushTime, 0ms));
    }
}

auto LifecycleController::beginDrain(std::chrono::milliseconds time, const char* reason) -> void
{
    const auto current = this->lifecycle.value();
    this->log.write(Event::NodeDraining, { { "reason", reason }, { "open_requests", std::to_string(this->openCount()) } });
    this->lifecycle.write(Lifecycle::Draining);
    if (current == Lifecycle::Starting)
        return this->endAccepting();
    this->drainEnd = EventLoop::now() + time;
    this->graceTimer.start(std::min(balancerGrace, time / 2));
    this->drainTimer.start(std::max(time - responseFlushTime, 0ms));
}

auto LifecycleController::endAccepting() -> void
{
    this->hasEndedAccepting = true;
    this->acceptingEnded.emit();
    this->finishWhenIdle();
}

auto LifecycleController::finishWhenIdle() -> void
{
    if (this->hasEndedAccepting && this->openCount() == 0)
        this->finish();
}

auto LifecycleController::drainTimedOut() -> void
{
    this->log.write(Event::DrainTimedOut, { { "open_requests", std::to_string(this->openCount()) } });
    this->hasEndedAccepting = true;
    this->acceptingEnded.emit();
    this->drainExpired.emit();
    this->flushTimer.start(responseFlushTime);
}

auto LifecycleController::finish() -> void
{
    if (this->lifecycle.value() == Lifecycle::Stopped)
        return;
    this->graceTimer.stop();
    this->drainTimer.stop();
    this->flushTimer.stop();
    this->lifecycle.write(Lifecycle::Stopped);
    this->stopped.emit();
}

auto LifecycleController::dumpState() const -> nlohmann::json
{
    return { { "phase", nameOf(this->lifecycle.value()) } };
}

} // namespace Primrosefork
