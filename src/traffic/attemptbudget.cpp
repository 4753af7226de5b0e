#include "attemptbudget.h"

#include <algorithm>

namespace Primrosefork {

namespace {

constexpr double safeShare = 0.8; ///< Of the budget; the rest covers nodes that just came and windows that do not align.

} // namespace

AttemptBudget::AttemptBudget(const AttemptBudgetTerms& terms)
    : terms(terms)
{
}

auto AttemptBudget::setNodeCount(std::size_t nodes) -> void
{
    this->nodeCount = std::max<std::size_t>(1, nodes);
}

auto AttemptBudget::requestReceived(TimePoint now) -> void
{
    this->forgetOld(now);
    this->requests.push_back(now);
}

auto AttemptBudget::takeAttempt(TimePoint now) -> bool
{
    this->forgetOld(now);
    const auto own = this->terms.ratio * static_cast<double>(this->requests.size());
    const auto slack = this->terms.slack / static_cast<double>(this->nodeCount);
    if (static_cast<double>(this->attempts.size() + 1) > safeShare * (own + slack))
        return false;
    this->attempts.push_back(now);
    return true;
}

auto AttemptBudget::forgetOld(TimePoint now) -> void
{
    const auto start = now - this->terms.window;
    while (!this->requests.empty() && this->requests.front() < start)
        this->requests.pop_front();
    while (!this->attempts.empty() && this->attempts.front() < start)
        this->attempts.pop_front();
}

} // namespace Primrosefork
