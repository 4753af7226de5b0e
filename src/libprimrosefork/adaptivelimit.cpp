#include "adaptivelimit.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Primrosefork {

namespace {

constexpr double recentWeight = 0.1;
constexpr std::size_t roundLength = 2000; ///< Requests, at least.
constexpr std::size_t roundsOfLimit = 8; ///< A round has so many times the limit of requests, at least.
constexpr double limitWeight = 0.05;
constexpr double tolerance = 1.5; ///< Times the usual time that does not shrink the limit.
constexpr double steepest = 0.5; ///< Least part of the limit that one step leaves.
constexpr std::size_t busyDivisor = 2; ///< Below this part of the limit a time says nothing of it.

} // namespace

AdaptiveLimit::AdaptiveLimit(std::size_t least, std::size_t most)
    : least(static_cast<double>(least))
    , most(static_cast<double>(std::max(least, most)))
    , limit(std::min(this->most, 4 * this->least))
    , observed(static_cast<std::size_t>(this->limit))
{
}

auto AdaptiveLimit::observe(std::chrono::microseconds duration, std::size_t running) -> void
{
    const auto time = static_cast<double>(duration.count());
    this->recent = this->recent == 0 ? time : this->recent + recentWeight * (time - this->recent);
    this->leastNow = this->leastNow == 0 ? this->recent : std::min(this->leastNow, this->recent);
    ++this->observed;
    if (this->observed >= roundLength && this->observed >= roundsOfLimit * this->value()) {
        this->observed = 0;
        this->leastBefore = std::exchange(this->leastNow, 0);
        return;
    }
    if (this->isProbing() || running < this->value() / busyDivisor)
        return;
    const auto usual = this->leastBefore == 0 ? this->leastNow : std::min(this->leastBefore, this->leastNow);
    const auto gradient = std::clamp(tolerance * usual / std::max(1.0, this->recent), steepest, 1.0);
    const auto target = this->limit * gradient + std::sqrt(this->limit);
    this->limit = std::clamp(this->limit + limitWeight * (target - this->limit), this->least, this->most);
}

auto AdaptiveLimit::value() const -> std::size_t
{
    return static_cast<std::size_t>(this->isProbing() ? std::max(this->least, this->limit / 2) : this->limit);
}

} // namespace Primrosefork
