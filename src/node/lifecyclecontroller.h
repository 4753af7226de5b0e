#pragma once

#include "blackboard.h"
#include "eventloop.h"
#include "statesource.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <sigc++/signal.h>

namespace Primrosefork {

class EventLog;

/**
 * Leads the node from its start to its end. A planned stop turns the node
 * unready, lets the balancer notice, and waits for the open requests.
 */
class LifecycleController : public StateSource {
public:
    /** \a openCount gives how many callers' requests are not over yet. */
    LifecycleController(EventLoop&, Blackboard&, const EventLog&, std::chrono::milliseconds drainTime, std::function<std::size_t()> openCount);

    /** Begins the planned stop; asking again changes nothing. */
    auto requestStop(const char* reason) -> void;

    /** Begins the planned stop, or hastens it: the node is gone at \a deadline. */
    auto requestStopBefore(EventLoop::TimePoint deadline, const char* reason, EventLoop::TimePoint now) -> void;

    /** To be called when the last open request is over. */
    auto finishWhenIdle() -> void;

    [[nodiscard]] auto isReady() const -> bool { return this->lifecycle.value() == Lifecycle::Serving; }

    /** Emitted when the balancer had time to notice: no new connections are to be taken. */
    sigc::signal<void> acceptingEnded;

    /** Emitted when the time is over for what is still open: it is to be handed back. */
    sigc::signal<void> drainEnding;

    /** Emitted when nothing is open any more, or the time for it is over. */
    sigc::signal<void> stopped;

    [[nodiscard]] auto stateName() const -> std::string override { return "lifecycle"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto configurationChanged() -> void;
    auto beginDrain(std::chrono::milliseconds time, const char* reason) -> void;
    auto endAccepting() -> void;
    auto finish() -> void;
    auto drainTimedOut() -> void;

    Blackboard& blackboard;
    const EventLog& log;
    SectionWriter<Lifecycle> lifecycle;
    std::chrono::milliseconds drainTime;
    std::function<std::size_t()> openCount;
    Timer graceTimer;
    Timer drainTimer;
    Timer lastTimer;
    EventLoop::TimePoint drainEnd; ///< Of the planned stop under way.
    bool hasEndedAccepting = false;
};

} // namespace Primrosefork
