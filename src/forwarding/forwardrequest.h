#pragma once

#include "callerconnection.h"
#include "headerdialect.h"
#include "routetable.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace Primrosefork {

/** A caller's request that was let through, with what was looked up for it. */
struct ForwardRequest {
    std::uint64_t id = 0; ///< Unique on this node while the request runs.
    CallerFields fields;
    std::shared_ptr<const RouteTable> table; ///< The configuration that the request began with.
    const TrafficRoute* route = nullptr;
    const TrafficService* service = nullptr;
    const TrafficWorkspace* workspace = nullptr; ///< Null on a public route.
    EventLoop::TimePoint received;
    EventLoop::TimePoint deadline; ///< The caller's or the route's, whichever is first.
    double quotaUnits = 0;

    /** Returns whether another server may run the request after one that may have run it. */
    [[nodiscard]] auto isRepeatable() const -> bool
    {
        return this->route->repeat == RouteRepeat::Idempotent || (this->route->repeat == RouteRepeat::Stream && this->route->isResumable);
    }

    [[nodiscard]] auto isStream() const -> bool { return this->route->repeat == RouteRepeat::Stream; }
};

} // namespace Primrosefork
