#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

namespace Primrosefork {

/** What all nodes together may spend on second attempts at one service. */
struct AttemptBudgetTerms {
    double ratio = 0.1; ///< Second attempts for each request.
    double slack = 0; ///< Second attempts beyond that, of all nodes, in one window.
    std::chrono::milliseconds window { 10'000 };
};

/**
 * Keeps this node's second attempts at one service within its part of a budget
 * that holds for all nodes over any window.
 *
 * The part follows from the node's own requests and the number of nodes alone,
 * so that the sum holds between nodes that do not hear each other.
 */
class AttemptBudget {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit AttemptBudget(const AttemptBudgetTerms&);

    auto setNodeCount(std::size_t nodes) -> void;

    /** A caller's request for the service came. */
    auto requestReceived(TimePoint now) -> void;

    /** Returns whether a second attempt is within the budget, and counts it then. */
    auto takeAttempt(TimePoint now) -> bool;

private:
    auto forgetOld(TimePoint now) -> void;

    AttemptBudgetTerms terms;
    std::size_t nodeCount = 1;
    std::deque<TimePoint> requests; ///< Of the last window.
    std::deque<TimePoint> attempts; ///< Second ones, of the last window.
};

} // namespace Primrosefork
