#include "startestimate.h"

#include <algorithm>
#include <vector>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t minSamples = 8; ///< Answers needed before a time counts as measured.
constexpr std::size_t maxSamples = 64; ///< Latest answers that are kept.
constexpr std::size_t quickDivisor = 4; ///< The quick time is a quantile rather than the minimum, which one answer in an unusual case sets.
constexpr double smoothing = 0.1; ///< Weight of the newest answer in the mean.
constexpr auto sampleLifetime = 30s; ///< Time without an answer after which the times no longer describe the service.
constexpr double longestDelay = 86'400'000; ///< Limit of an estimate in milliseconds, so that it fits into its type.

auto toMilliseconds(double value) -> std::chrono::milliseconds
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::clamp(value, 0.0, longestDelay)));
}

} // namespace

auto StartEstimate::answered(std::chrono::milliseconds duration, TimePoint now) -> void
{
    const auto time = static_cast<double>(duration.count());
    this->mean = this->latest.empty() ? time : this->mean + smoothing * (time - this->mean);
    this->latest.push_back(duration);
    if (this->latest.size() > maxSamples)
        this->latest.pop_front();
    this->lastAnswer = now;
}

auto StartEstimate::isMeasured(TimePoint now) const -> bool
{
    return this->latest.size() >= minSamples && now - this->lastAnswer < sampleLifetime;
}

auto StartEstimate::quickTime() const -> std::chrono::milliseconds
{
    if (this->latest.empty())
        return 0ms;
    std::vector<std::chrono::milliseconds> sorted(this->latest.begin(), this->latest.end());
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>((sorted.size() - 1) / quickDivisor);
    std::nth_element(sorted.begin(), place, sorted.end());
    return *place;
}

auto StartEstimate::prefillTime(double tokens, double tokensPerSecond) -> std::optional<std::chrono::milliseconds>
{
    constexpr double millisecondsPerSecond = 1'000;
    if (tokensPerSecond <= 0)
        return std::nullopt;
    return toMilliseconds(millisecondsPerSecond * tokens / tokensPerSecond);
}

auto StartEstimate::slotDelay(double requests, double slots, TimePoint now) const -> std::optional<std::chrono::milliseconds>
{
    if (!this->isMeasured(now) || slots <= 0)
        return std::nullopt;
    return toMilliseconds(std::max(0.0, requests + 1 - slots) / slots * this->mean);
}

auto StartEstimate::queueDelay(double ahead, double openLimit, TimePoint now) const -> std::optional<std::chrono::milliseconds>
{
    if (!this->isMeasured(now) || openLimit <= 0)
        return std::nullopt;
    return toMilliseconds(ahead / openLimit * this->mean);
}

} // namespace Primrosefork
