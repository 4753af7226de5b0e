#include "lifecyclecontroller.h"

#include "eventlog.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds balancerGrace = 2s; ///< For the balancer to see that the node is not ready.

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
    this->log.write(Event::NodeDraining, { { "reason", reason }, { "open_requests", std::to_string(this->openCount()) } });
    this->lifecycle.write(Lifecycle::Draining);
    if (current == Lifecycle::Starting)
        return this->endAccepting();
    this->graceTimer.start(std::min(balancerGrace, this->drainTime / 2));
    this->drainTimer.start(this->drainTime);
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
    this->finish();
}

auto LifecycleController::finish() -> void
{
    if (this->lifecycle.value() == Lifecycle::Stopped)
        return;
    this->graceTimer.stop();
    this->drainTimer.stop();
    this->lifecycle.write(Lifecycle::Stopped);
    this->stopped.emit();
}

auto LifecycleController::dumpState() const -> nlohmann::json
{
    return { { "phase", nameOf(this->lifecycle.value()) } };
}

} // namespace Primrosefork
