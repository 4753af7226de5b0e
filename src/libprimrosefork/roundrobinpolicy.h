#pragma once

#include "routingpolicy.h"

namespace Primrosefork {

/**
 * Gives each candidate its turn; the baseline that looks at nothing.
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
