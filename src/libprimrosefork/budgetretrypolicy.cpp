#include "budgetretrypolicy.h"

#include <algorithm>
#include <cmath>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double retriesPerRequest = 0.08; ///< Leaves room for streams that go on without waiting.
constexpr double leastRetriesPerSecond = 0.5; ///< So that little traffic can retry at all.
constexpr double mostSaved = 20; ///< Retries that the budget holds at most.
constexpr double initialBudget = 5;
constexpr double mostOwed = 500; ///< Retries that may wait for the budget.
constexpr Seconds rateMemory { 10 };
constexpr auto firstBackoff = 10ms;
constexpr auto longestBackoff = 2'000ms;
constexpr int maxDoublings = 8;
constexpr int maxAttempts = 20; ///< Of one request.

} // namespace

BudgetRetryPolicy::BudgetRetryPolicy(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32)))
    , budget(initialBudget)
{
}

auto BudgetRetryPolicy::requestAccepted(TimePoint now) -> void
{
    this->refill(now);
    this->acceptedPerSecond += 1 / rateMemory.count();
    this->budget = std::min(mostSaved, this->budget + retriesPerRequest);
}

auto BudgetRetryPolicy::retryDelay(const RetryRequest& request, TimePoint now) -> std::optional<std::chrono::milliseconds>
{
    this->refill(now);
    if (request.failedAttempts >= maxAttempts)
        return std::nullopt;
    auto delay = this->backoff(request.failedAttempts);
    if (!request.hasDelivered) {
        if (this->budget < -mostOwed)
            return std::nullopt;
        delay += this->wait();
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
    this->budget = std::min(mostSaved, this->budget + leastRetriesPerSecond * elapsed.count());
    this->acceptedPerSecond *= std::exp(-elapsed / rateMemory);
}

auto BudgetRetryPolicy::backoff(int failedAttempts) -> std::chrono::milliseconds
{
    const auto doublings = std::clamp(failedAttempts - 1, 0, maxDoublings);
    const auto most = std::min<std::chrono::milliseconds>(firstBackoff * (1 << doublings), longestBackoff);
    std::uniform_int_distribution<std::int64_t> spread(most.count() / 2, most.count());
    return std::chrono::milliseconds(spread(this->random));
}

auto BudgetRetryPolicy::wait() const -> std::chrono::milliseconds
{
    if (this->budget >= 1)
        return 0ms;
    const auto perSecond = leastRetriesPerSecond + retriesPerRequest * this->acceptedPerSecond;
    return std::chrono::duration_cast<std::chrono::milliseconds>(Seconds((1 - this->budget) / perSecond));
}

} // namespace Primrosefork
