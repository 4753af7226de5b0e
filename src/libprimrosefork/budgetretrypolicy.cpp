#include "budgetretrypolicy.h"

#include <algorithm>
#include <cmath>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double retriesPerRequest = 0.08; ///< Budget per accepted request; low enough to leave room for streams, which do not wait for the budget.
constexpr double minRetriesPerSecond = 0.5; ///< Budget per second at any traffic, so that a node with little traffic can retry at all.
constexpr double maxBudget = 20; ///< Maximum number of retries that the budget accumulates.
constexpr double initialBudget = 5;
constexpr double maxBudgetDebt = 500; ///< Maximum number of retries that wait for the budget; further ones are denied.
constexpr Seconds rateTimeConstant { 10 }; ///< Time constant of the smoothed rate of accepted requests.
constexpr auto initialBackoff = 10ms;
constexpr auto maxBackoff = 2'000ms;
constexpr int maxDoublings = 8;
constexpr int maxAttempts = 20; ///< Maximum number of attempts of one request.

} // namespace

BudgetRetryPolicy::BudgetRetryPolicy(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32)))
    , budget(initialBudget)
{
}

auto BudgetRetryPolicy::requestAccepted(TimePoint now) -> void
{
    this->refill(now);
    this->acceptedPerSecond += 1 / rateTimeConstant.count();
    this->budget = std::min(maxBudget, this->budget + retriesPerRequest);
}

auto BudgetRetryPolicy::retryDelay(const RetryRequest& request, TimePoint now) -> std::optional<std::chrono::milliseconds>
{
    this->refill(now);
    if (request.failedAttempts >= maxAttempts)
        return std::nullopt;
    auto delay = this->backoff(request.failedAttempts);
    if (!request.hasDelivered) {
        if (this->budget < -maxBudgetDebt)
            return std::nullopt;
        delay += this->budgetDelay();
    }
    if (now + delay >= request.deadline)
        return std::nullopt;
    this->budget -= 1;
    return delay;
}

auto BudgetRetryPolicy::refill(TimePoint now) -> void
{
    if (!this->hasStarted) {
        this->hasStarted = true;
        this->lastRefill = now;
    }
    const auto elapsed = std::chrono::duration_cast<Seconds>(now - this->lastRefill);
    this->lastRefill = now;
    this->budget = std::min(maxBudget, this->budget + minRetriesPerSecond * elapsed.count());
    this->acceptedPerSecond *= std::exp(-elapsed / rateTimeConstant);
}

auto BudgetRetryPolicy::backoff(int failedAttempts) -> std::chrono::milliseconds
{
    const auto doublings = std::clamp(failedAttempts - 1, 0, maxDoublings);
    const auto upperBound = std::min<std::chrono::milliseconds>(initialBackoff * (1 << doublings), maxBackoff);
    std::uniform_int_distribution<std::int64_t> jitter(upperBound.count() / 2, upperBound.count());
    return std::chrono::milliseconds(jitter(this->random));
}

auto BudgetRetryPolicy::budgetDelay() const -> std::chrono::milliseconds
{
    if (this->budget >= 1)
        return 0ms;
    const auto perSecond = minRetriesPerSecond + retriesPerRequest * this->acceptedPerSecond;
    return std::chrono::duration_cast<std::chrono::milliseconds>(Seconds((1 - this->budget) / perSecond));
}

} // namespace Primrosefork
