#pragma once

#include "routingpolicy.h"

#include <string>

namespace Primrosefork {

/** Decides which requests of a node leave its zone. */
class ZoneSelector {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~ZoneSelector() = default;

    /** Sets the zone that \a request to \a service is sent to instead of its own, and its cost of other zones. */
    virtual auto selectZone(const std::string& service, RoutingRequest& request, TimePoint now) -> void = 0;

    /** Notes that \a server was chosen for \a request. */
    virtual auto serverChosen(const RoutingRequest& request, const BackendServer& server) -> void = 0;
};

} // namespace Primrosefork
