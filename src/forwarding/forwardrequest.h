#pragma once

#include "callerconnection.h"
#include "headercodec.h"
#include "routetable.h"
#include "routingpolicy.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Primrosefork {

/** An admitted request of a caller, with the parts of the configuration that apply to it. */
struct ForwardRequest {
    std::uint64_t id = 0; ///< Unique on this node while the request runs.
    CallerFields fields;
    std::shared_ptr<const RouteTable> table; ///< Configuration at the arrival of the request; used until it ends.
    const TrafficRoute* route = nullptr;
    const TrafficService* service = nullptr;
    const TrafficWorkspace* workspace = nullptr; ///< Null on a public route.
    EventLoop::TimePoint received;
    EventLoop::TimePoint deadline; ///< Earlier one of the caller's deadline and the route's timeout.
    std::size_t bodyBytes = 0;
    bool mayBeHeld = true; ///< Whether the request may wait for room; false once a server may have run it.
    double quotaUnits = 0; ///< Units charged to the quota of the workspace: tokens, or 1 per request.

    /** Returns whether the request may be sent to another server after a server may have run it. */
    [[nodiscard]] auto isRepeatable() const -> bool
    {
        return this->route->type == RouteType::Idempotent || (this->route->type == RouteType::Stream && this->route->isResumable);
    }

    /** Returns the priority at an engine, from 0 (first) to 9: that of the workspace, then that of the route. */
    [[nodiscard]] auto priority() const -> std::int64_t;

    /** Returns what the choice of a server depends on. */
    [[nodiscard]] auto routingRequest() const -> RoutingRequest;

    [[nodiscard]] auto isStream() const -> bool { return this->route->type == RouteType::Stream; }
};

} // namespace Primrosefork
