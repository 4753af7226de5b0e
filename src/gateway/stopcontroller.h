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
 * Leads the node from its start to its end: ready when it knows enough to
 * serve, and a planned stop that ends no answer.
 */
class StopController : public StateSource {
public:
    /** \a canServe tells whether requests could be served now. */
    StopController(EventLoop&, const GatewaySettings&, GatewayBoard&, CallerListener&, const EventLog&, std::function<bool()> canServe);

    /** Begins the planned stop; asking again changes nothing. */
    auto requestStop(const char* reason) -> void;

    /** Returns whether the balancer is to send new connections. */
    [[nodiscard]] auto isReady() const -> bool;

    /** Emitted when the node begins to leave. */
    sigc::signal<void> stopBegan;

    /** Emitted when nothing is open any more, or the time for it is over. */
    sigc::signal<void> stopped;

    [[nodiscard]] auto stateName() const -> std::string override { return "lifecycle"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto knowledgeChanged() -> void;
    auto look() -> void;
    auto finish() -> void;

    const GatewaySettings& settings;
    GatewayBoard& board;
    CallerListener& listener;
    const EventLog& log;
    SectionWriter<Lifecycle> lifecycle;
    std::function<bool()> canServe;
    Timer timer;
    EventLoop::TimePoint stopBegin;
};

} // namespace Primrosefork
