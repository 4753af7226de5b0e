#pragma once

#include <chrono>
#include <optional>

namespace Primrosefork {

/**
 * The properties of a request with a failed attempt on which a retry policy decides.
 */
struct RetryRequest {
    int failedAttempts = 0;
    std::chrono::steady_clock::time_point deadline;
    bool hasDelivered = false; ///< Whether the caller has received a part of the answer.
};

/**
 * Decides whether and when a failed attempt is retried.
 */
class RetryPolicy {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~RetryPolicy() = default;

    /** Records that a request of a caller was accepted; retry budgets grow with the accepted requests. */
    virtual auto requestAccepted(TimePoint now) -> void = 0;

    /**
     * Returns the delay before the next attempt of \a request, or no value when the
     * request is not to be retried. Each returned delay is counted as a retry.
     */
    virtual auto retryDelay(const RetryRequest& request, TimePoint now) -> std::optional<std::chrono::milliseconds> = 0;
};

/**
 * Allows a fixed number of attempts without a delay between them; the baseline for
 * comparisons.
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
