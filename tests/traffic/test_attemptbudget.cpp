#include "attemptbudget.h"

#include <doctest/doctest.h>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = AttemptBudget::TimePoint;

constexpr TimePoint start {};
constexpr AttemptBudgetLimits limits { 0.2, 56, 10s };

struct BudgetCase {
    const char* name;
    std::size_t nodes;
    int requestsPerNode; ///< Requests that each node receives within the window.
};

const BudgetCase budgetCases[] = {
    { "one node without requests", 1, 0 },
    { "one node", 1, 100 },
    { "eight nodes", 8, 100 },
    { "many nodes with few requests", 90, 10 },
};

TEST_CASE("second attempts of all nodes together stay within the budget of a window")
{
    for (const auto& row : budgetCases) {
        CAPTURE(row.name);
        int taken = 0;
        for (std::size_t node = 0; node < row.nodes; ++node) {
            AttemptBudget budget(limits);
            budget.setNodeCount(row.nodes);
            for (int request = 0; request < row.requestsPerNode; ++request)
                budget.requestReceived(start);
            while (budget.tryAcquire(start + 1s))
                ++taken;
        }
        const auto allowed = 0.2 * static_cast<double>(row.requestsPerNode) * static_cast<double>(row.nodes) + 56;
        CHECK(taken <= allowed);
    }
}

TEST_CASE("second attempts are granted again after the window has passed")
{
    AttemptBudget budget({ 0, 10, 10s });
    int taken = 0;
    while (budget.tryAcquire(start))
        ++taken;
    CHECK(taken == 8);
    CHECK_FALSE(budget.tryAcquire(start + 9s));
    CHECK(budget.tryAcquire(start + 11s));
}

} // namespace
