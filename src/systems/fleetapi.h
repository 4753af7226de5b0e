#pragma once

#include "usageledger.h"

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

namespace Primrosefork {

/** Proves that a node holds a cluster-wide duty, so that calls of a former holder are rejected. */
struct FencingToken {
    std::string holder; ///< Id of the node that holds the duty.
    std::uint64_t fence = 0; ///< Fencing number; increases with each change of the holder.
};

/** The number of reclaimable or on-demand engines that a service is to have in a zone. */
struct EngineTarget {
    std::string service;
    std::string zone;
    bool isReclaimable = false;
    std::int64_t count = 0; ///< Total number of engines, not a change of it.
};

/**
 * The interface to the platform's accounting and fleet management.
 *
 * Handlers get Error::StaleFence when the platform has seen a call of a newer
 * holder, Error::Refused when the engines are not available at present and
 * Error::ConnectionFailed when nothing was sent. After any other error, it is
 * unknown whether the call took effect.
 */
class FleetApi {
public:
    using Handler = std::function<void(std::error_code)>;

    virtual ~FleetApi() = default;

    /** Reports the number of requests of each workspace that began in \a window. */
    virtual auto reportUsage(const FencingToken&, UsageWindow window, const UsageCounts&, Handler) -> void = 0;

    /** Sets the number of engines that a service is to have in a zone. */
    virtual auto setEngineTarget(const FencingToken&, const EngineTarget&, Handler) -> void = 0;
};

} // namespace Primrosefork
