#include "adaptivelimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Primrosefork {

namespace {

constexpr double timeWeight = 0.1; ///< Weight of the newest request time in the smoothed time.
constexpr std::size_t minRoundLength = 2000; ///< Minimum number of requests in a round.
constexpr std::size_t roundLimitFactor = 8; ///< Minimum number of requests in a round, as a multiple of the limit.
constexpr double limitWeight = 0.05; ///< Fraction of the distance to its target that the limit moves at each request.
constexpr double timeTolerance = 1.5; ///< Multiple of the minimum time up to which the limit does not shrink.
constexpr double minGradient = 0.5; ///< Lower bound of the factor that shrinks the limit in one step.
constexpr std::size_t minLoadDivisor = 2; ///< While less than one in this many of the allowed requests run, their times say nothing about the limit.

} // namespace

AdaptiveLimit::AdaptiveLimit(std::size_t minLimit, std::size_t maxLimit)
    : minimum(static_cast<double>(minLimit))
    , maximum(static_cast<double>(std::max(minLimit, maxLimit)))
    , limit(std::min(this->maximum, 4 * this->minimum))
    , requestsInRound(static_cast<std::size_t>(this->limit))
{
}

auto AdaptiveLimit::observe(std::chrono::microseconds duration, std::size_t running) -> void
{
    const auto time = static_cast<double>(duration.count());
    this->smoothedTime = this->smoothedTime == 0 ? time : this->smoothedTime + timeWeight * (time - this->smoothedTime);
    this->currentMinTime = this->currentMinTime == 0 ? this->smoothedTime : std::min(this->currentMinTime, this->smoothedTime);
    ++this->requestsInRound;
    if (this->requestsInRound >= minRoundLength && this->requestsInRound >= roundLimitFactor * this->value()) {
        this->requestsInRound = 0;
        this->previousMinTime = std::exchange(this->currentMinTime, 0);
        return;
    }
    if (this->isProbing() || running < this->value() / minLoadDivisor)
        return;
    const auto minTime = this->previousMinTime == 0 ? this->currentMinTime : std::min(this->previousMinTime, this->currentMinTime);
    const auto gradient = std::clamp(timeTolerance * minTime / std::max(1.0, this->smoothedTime), minGradient, 1.0);
    const auto target = this->limit * gradient + std::sqrt(this->limit);
    this->limit = std::clamp(this->limit + limitWeight * (target - this->limit), this->minimum, this->maximum);
}

auto AdaptiveLimit::value() const -> std::size_t
{
    return static_cast<std::size_t>(this->isProbing() ? std::max(this->minimum, this->limit / 2) : this->limit);
}

} // namespace Primrosefork
