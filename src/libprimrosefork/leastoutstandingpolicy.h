#pragma once

#include "routingpolicy.h"

#include <unordered_map>

namespace Primrosefork {

/**
 * Chooses the candidate with the fewest open requests of this node.
 */
class LeastOutstandingPolicy : public RoutingPolicy {
public:
    using RoutingPolicy::choose;

    auto choose(const RoutingRequest&, std::span<const BackendServer* const> candidates, TimePoint)
        -> const BackendServer* override;
    auto requestSent(const RoutingRequest&, const BackendServer&, TimePoint) -> void override;
    auto requestEnded(const RoutingRequest&, const BackendServer&, AttemptEnd, TimePoint) -> void override;

private:
    std::unordered_map<std::string, std::int64_t> outstanding; ///< Number of open requests by server id.
    std::size_t searchOffset = 0; ///< Index of the first candidate to compare; advances so that candidates with equal load take turns.
};

} // namespace Primrosefork
