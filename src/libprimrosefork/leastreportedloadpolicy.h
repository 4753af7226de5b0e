#pragma once

#include "routingpolicy.h"

namespace Primrosefork {

/**
 * Chooses the candidate with the lowest load in its last report, although reports
 * arrive late.
 */
class LeastReportedLoadPolicy : public RoutingPolicy {
public:
    using RoutingPolicy::choose;

    auto choose(const RoutingRequest&, std::span<const BackendServer* const> candidates, TimePoint)
        -> const BackendServer* override;
    auto loadReported(const LoadReports&, TimePoint) -> void override;

private:
    LoadReports reports;
    std::size_t searchOffset = 0; ///< Index of the first candidate to compare; advances so that candidates with equal load take turns.
};

} // namespace Primrosefork
