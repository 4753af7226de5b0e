#include "attemptbudget.h"

#include <algorithm>

namespace Primrosefork {

namespace {

constexpr double safetyFactor = 0.8; ///< Part of the budget that is used; the rest covers nodes that have just joined and windows that do not align between nodes.

} // namespace

AttemptBudget::AttemptBudget(const AttemptBudgetLimits& limits)
    : limits(limits)
{
}

auto AttemptBudget::setNodeCount(std::size_t nodes) -> void
{
    this->nodeCount = std::max<std::size_t>(1, nodes);
}

auto AttemptBudget::requestReceived(TimePoint now) -> void
{
    this->removeExpired(now);
    this->requests.push_back(now);
}

auto AttemptBudget::tryAcquire(TimePoint now) -> bool
{
    this->removeExpired(now);
    const auto ratioBudget = this->limits.ratio * static_cast<double>(this->requests.size());
    const auto slackBudget = this->limits.slack / static_cast<double>(this->nodeCount);
    if (static_cast<double>(this->attempts.size() + 1) > safetyFactor * (ratioBudget + slackBudget))
        return false;
    this->attempts.push_back(now);
    return true;
}

auto AttemptBudget::removeExpired(TimePoint now) -> void
{
    const auto start = now - this->limits.window;
    while (!this->requests.empty() && this->requests.front() < start)
        this->requests.pop_front();
    while (!this->attempts.empty() && this->attempts.front() < start)
        this->attempts.pop_front();
}

} // namespace Primrosefork
