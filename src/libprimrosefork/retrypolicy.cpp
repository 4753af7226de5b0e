#include "retrypolicy.h"

namespace Primrosefork {

FixedRetryPolicy::FixedRetryPolicy(int maxAttempts)
    : maxAttempts(maxAttempts)
{
}

auto FixedRetryPolicy::retryDelay(const RetryRequest& request, TimePoint /*now*/) -> std::optional<std::chrono::milliseconds>
{
    if (request.failedAttempts >= this->maxAttempts)
        return std::nullopt;
    return std::chrono::milliseconds(0);
}

} // namespace Primrosefork
