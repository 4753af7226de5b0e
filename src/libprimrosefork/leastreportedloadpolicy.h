#pragma once

#include "routingpolicy.h"

namespace Primrosefork {

/**
 * Chooses the candidate that last reported the least load, late as the reports
 * are.
 */
class LeastReportedLoadPolicy : public RoutingPolicy {
public:
    using RoutingPolicy::choose;

    auto choose(const RoutingRequest&, std::span<const BackendServer* const> candidates, TimePoint)
        -> const BackendServer* override;
    auto loadReported(const LoadReports&, TimePoint) -> void override;

private:
    LoadReports reports;
    std::size_t start = 0; ///< Where the search begins, so that equals share.
};

} // namespace Primrosefork
