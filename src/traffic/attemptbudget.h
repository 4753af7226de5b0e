#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

namespace Primrosefork {

/** Limits on the second attempts at one service, for all nodes together. */
struct AttemptBudgetLimits {
    double ratio = 0.1; ///< Second attempts allowed per received request.
    double slack = 0; ///< Second attempts allowed in one window in addition to the ratio, shared by all nodes.
    std::chrono::milliseconds window { 10'000 }; ///< Length of the sliding window in which requests and second attempts are counted.
};

/**
 * Limits this node's second attempts at one service to its part of a budget
 * that holds for all nodes together over any window.
 *
 * The part is computed from the node's own requests and the number of nodes
 * alone, so that the total also holds while nodes cannot reach each other.
 */
class AttemptBudget {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit AttemptBudget(const AttemptBudgetLimits&);

    auto setNodeCount(std::size_t nodes) -> void;

    /** Counts a caller's request for the service, received at \a now. */
    auto requestReceived(TimePoint now) -> void;

    /** Returns whether a second attempt at \a now is within the budget; if so, counts it. */
    auto tryAcquire(TimePoint now) -> bool;

private:
    /** Removes the requests and attempts that are older than the window. */
    auto removeExpired(TimePoint now) -> void;

    AttemptBudgetLimits limits;
    std::size_t nodeCount = 1;
    std::deque<TimePoint> requests; ///< Times of the requests received within the last window, oldest first.
    std::deque<TimePoint> attempts; ///< Times of the second attempts granted within the last window, oldest first.
};

} // namespace Primrosefork
