#pragma once

#include "retrypolicy.h"

#include <cstdint>
#include <random>

namespace Primrosefork {

/**
 * Keeps retries to a share of the accepted requests.
 *
 * Each accepted request adds a part of a retry to a budget, and each retry takes
 * one. A retry that the budget does not cover is not dropped: it waits its turn
 * until the budget has grown that far, or there is none when that is after the
 * request's deadline. A stream that has delivered a part of its answer goes on
 * after the backoff alone, and is charged all the same. Delays grow by the
 * failed attempts and are spread at random.
 */
class BudgetRetryPolicy : public RetryPolicy {
public:
    explicit BudgetRetryPolicy(std::uint64_t seed);

    auto requestAccepted(TimePoint now) -> void override;
    auto retryDelay(const RetryRequest&, TimePoint now) -> std::optional<std::chrono::milliseconds> override;

    /** Returns how many retries the budget covers; negative when some wait for it. */
    [[nodiscard]] auto balance() const -> double { return this->budget; }

private:
    auto refill(TimePoint now) -> void;
    auto backoff(int failedAttempts) -> std::chrono::milliseconds;
    [[nodiscard]] auto wait() const -> std::chrono::milliseconds;

    std::minstd_rand random;
    double budget;
    double acceptedPerSecond = 0; ///< Smoothed.
    TimePoint lastRefill;
    bool hasStarted = false;
};

} // namespace Primrosefork
