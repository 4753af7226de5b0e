#pragma once

#include "callerlistener.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "statesource.h"

#include <functional>
#include <sigc++/signal.h>

namespace Primrosefork {

class EventLog;

/**
 * Keeps the lifecycle of the node: it reports readiness once the node can serve
 * requests, and stops the node gracefully, without breaking off answers within
 * the grace time.
 */
class StopController : public StateSource {
public:
    /** \a canServe returns whether requests could be served now. */
    StopController(EventLoop&, const GatewaySettings&, GatewayBoard&, CallerListener&, const EventLog&, std::function<bool()> canServe);

    /** Begins a graceful stop for \a reason; further calls are only logged. */
    auto requestStop(const char* reason) -> void;

    /** Returns when the last answers of a stop that has begun are due, so that they are written before its end. */
    [[nodiscard]] auto answersDue() const -> EventLoop::TimePoint { return this->lastAnswers; }

    /** Returns whether the load balancer should send new connections. */
    [[nodiscard]] auto isReady() const -> bool;

    /** Emitted when a graceful stop begins. */
    sigc::signal<void> stopBegan;

    /** Emitted when no request is open any more, or the grace time is nearly over. */
    sigc::signal<void> stopped;

    [[nodiscard]] auto stateName() const -> std::string override { return "lifecycle"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto updateLifecycle() -> void;
    auto checkDrain() -> void;
    auto finish() -> void;

    const GatewaySettings& settings;
    GatewayBoard& board;
    CallerListener& listener;
    const EventLog& log;
    SectionWriter<Lifecycle> lifecycle;
    std::function<bool()> canServe;
    Timer timer;
    EventLoop::TimePoint drainStart;
    EventLoop::TimePoint lastAnswers; ///< Time at which callers that are still waiting are answered.
    EventLoop::TimePoint drainEnd; ///< Time at which the node stops even if answers are not written yet.
};

} // namespace Primrosefork
