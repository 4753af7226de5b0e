#pragma once

#include "routingpolicy.h"

namespace Primrosefork {

/**
 * Chooses the candidates in turn, whatever their load; the baseline for comparisons.
 */
class RoundRobinPolicy : public RoutingPolicy {
public:
    using RoutingPolicy::choose;

    auto choose(const RoutingRequest&, std::span<const BackendServer* const> candidates, TimePoint)
        -> const BackendServer* override;

private:
    std::size_t next = 0;
};

} // namespace Primrosefork
