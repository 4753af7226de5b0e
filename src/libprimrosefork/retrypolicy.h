#pragma once

#include <chrono>
#include <optional>

namespace Primrosefork {

/**
 * What a retry policy is told of a request whose attempt failed.
 */
struct RetryRequest {
    int failedAttempts = 0;
    std::chrono::steady_clock::time_point deadline;
    bool hasDelivered = false; ///< Whether the caller has a part of the answer.
};

/**
 * Decides whether a failed attempt is followed by another one, and when.
 */
class RetryPolicy {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~RetryPolicy() = default;

    /** A caller's request was accepted; budgets grow with it. */
    virtual auto requestAccepted(TimePoint now) -> void = 0;

    /**
     * Returns the delay before the next attempt of \a request, or nothing when
     * there is to be none. A returned delay is counted as
     * a retry made.
     */
    virtual auto retryDelay(const RetryRequest& request, TimePoint now) -> std::optional<std::chrono::milliseconds> = 0;
};

/**
 * Allows a fixed number of attempts, each at once after the last; the baseline.
 */
class FixedRetryPolicy : public RetryPolicy {
public:
    explicit FixedRetryPolicy(int maxAttempts);

    auto requestAccepted(TimePoint) -> void override { }
    auto retryDelay(const RetryRequest&, TimePoint) -> std::optional<std::chrono::milliseconds> override;

private:
    int maxAttempts;
};

} // namespace Primrosefork
