#pragma once

#include "usageledger.h"

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>

namespace Primrosefork {

/** By what right a node gives an order. */
struct DutyMark {
    std::string holder; ///< Id of the node.
    std::uint64_t fence = 0; ///< Goes up with each change of the holder.
};

/** How many engines of one kind a service is to have in a zone. */
struct EngineOrder {
    std::string service;
    std::string zone;
    bool isReclaimable = false;
    std::int64_t count = 0;
};

/**
 * The platform's interface to accounting and to the fleet of engines.
 *
 * Errors: Error::StaleFence when a newer holder has acted, Error::Refused when
 * the order can't be met now, Error::ConnectionFailed when nothing was sent; any
 * other error leaves open whether the call takes effect.
 */
class FleetApi {
public:
    using Handler = std::function<void(std::error_code)>;

    virtual ~FleetApi() = default;

    /** Reports the requests that began in \a window. */
    virtual auto reportUsage(const DutyMark&, UsageWindow window, const UsageCounts&, Handler) -> void = 0;

    virtual auto orderEngines(const DutyMark&, const EngineOrder&, Handler) -> void = 0;
};

} // namespace Primrosefork
