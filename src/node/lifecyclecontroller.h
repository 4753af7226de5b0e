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
 * Controls the life cycle of the node from its start to its stop. A planned stop
 * makes the node report that it is not ready, gives the load balancer time to
 * notice, and waits for the open requests to end.
 */
class LifecycleController : public StateSource {
public:
    /** \a drainTime limits a planned stop; \a openCount returns how many callers' requests and claims are still open. */
    LifecycleController(EventLoop&, Blackboard&, const EventLog&, std::chrono::milliseconds drainTime, std::function<std::size_t()> openCount);

    /** Begins the planned stop, which is logged with \a reason; a repeated call is only logged. */
    auto requestStop(const char* reason) -> void;

    /** Begins the planned stop, or shortens the one under way, so that the node has stopped before \a deadline. */
    auto requestStopBefore(EventLoop::TimePoint deadline, const char* reason, EventLoop::TimePoint now) -> void;

    /** Stops the node when it no longer accepts connections and nothing is open; to be called whenever a request or claim may have been the last one. */
    auto finishWhenIdle() -> void;

    [[nodiscard]] auto isReady() const -> bool { return this->lifecycle.value() == Lifecycle::Serving; }

    /** Emitted when the load balancer has had time to notice, and when the drain time has expired: new connections must no longer be accepted. */
    sigc::signal<void> acceptingEnded;

    /** Emitted when the drain time has expired: requests that are still open must be handed back to their callers. */
    sigc::signal<void> drainExpired;

    /** Emitted when no request or claim is open any more, or when the drain time has expired and the last responses have been sent. */
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
    Timer graceTimer; ///< Runs until the load balancer has had time to notice.
    Timer drainTimer; ///< Runs until open requests are handed back.
    Timer flushTimer; ///< Runs while the last responses are being sent.
    EventLoop::TimePoint drainEnd; ///< Latest end of the planned stop under way.
    bool hasEndedAccepting = false;
};

} // namespace Primrosefork
