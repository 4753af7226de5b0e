#pragma once

#include "routingpolicy.h"

#include <unordered_map>

namespace Primrosefork {

/**
 * Chooses the candidate with the fewest of this node's own requests open.
 */
class LeastOutstandingPolicy : public RoutingPolicy {
public:
    using RoutingPolicy::choose;

    auto choose(const RoutingRequest&, std::span<const BackendServer* const> candidates, TimePoint)
        -> const BackendServer* override;
    auto requestSent(const RoutingRequest&, const BackendServer&, TimePoint) -> void override;
    auto requestEnded(const RoutingRequest&, const BackendServer&, AttemptEnd, TimePoint) -> void override;

private:
    std::unordered_map<std::string, std::int64_t> outstanding; ///< Open requests by server id.
    std::size_t start = 0; ///< Where the search begins, so that equals share.
};

} // namespace Primrosefork
