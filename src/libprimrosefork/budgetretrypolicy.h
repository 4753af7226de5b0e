#pragma once

#include "retrypolicy.h"

#include <cstdint>
#include <random>

namespace Primrosefork {

/**
 * Limits retries to a share of the accepted requests.
 *
 * Each accepted request adds a fraction of a retry to a budget, and each retry
 * consumes one. A retry that the budget does not cover is not dropped: it is
 * delayed until the budget has grown far enough, or denied when that is after the
 * request's deadline. A stream that has delivered part of its answer waits for
 * the backoff alone, but its retries are charged to the budget too. The backoff
 * grows with the failed attempts and has random jitter.
 */
class BudgetRetryPolicy : public RetryPolicy {
public:
    explicit BudgetRetryPolicy(std::uint64_t seed);

    auto requestAccepted(TimePoint now) -> void override;
    auto retryDelay(const RetryRequest&, TimePoint now) -> std::optional<std::chrono::milliseconds> override;

    /** Returns how many retries the budget covers; negative while more were granted than it covered. */
    [[nodiscard]] auto balance() const -> double { return this->budget; }

private:
    auto refill(TimePoint now) -> void;
    auto backoff(int failedAttempts) -> std::chrono::milliseconds;
    [[nodiscard]] auto budgetDelay() const -> std::chrono::milliseconds;

    std::minstd_rand random;
    double budget;
    double acceptedPerSecond = 0; ///< Smoothed rate of accepted requests.
    TimePoint lastRefill;
    bool hasStarted = false;
};

} // namespace Primrosefork
