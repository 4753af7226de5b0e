#include "answertimes.h"

#include <algorithm>
#include <cmath>

namespace Primrosefork {

namespace {

constexpr std::size_t maxRoutes = 10'000; ///< Routes come and go with the configuration; above this all are estimated anew.
constexpr double meanWeight = 0.125; ///< Weight of the newest answer, as in the retransmission timer of TCP (RFC 6298), like the two below.
constexpr double deviationWeight = 0.25;
constexpr double deviations = 4;

} // namespace

auto AnswerTimes::answered(const std::string& route, double size, std::chrono::milliseconds time) -> void
{
    const auto sample = static_cast<double>(time.count()) / std::max(1.0, size);
    const auto found = this->estimates.find(route);
    if (found != this->estimates.end()) {
        auto& estimate = found->second;
        estimate.deviation += deviationWeight * (std::abs(sample - estimate.mean) - estimate.deviation);
        estimate.mean += meanWeight * (sample - estimate.mean);
        return;
    }
    if (this->estimates.size() >= maxRoutes)
        this->estimates.clear();
    this->estimates.emplace(route, Estimate { sample, sample / 2 });
}

auto AnswerTimes::expected(const std::string& route, double size) const -> std::optional<std::chrono::milliseconds>
{
    const auto found = this->estimates.find(route);
    if (found == this->estimates.end())
        return std::nullopt;
    const auto milliseconds = (found->second.mean + deviations * found->second.deviation) * std::max(1.0, size);
    constexpr double longest = 1e9;
    return std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(std::min(milliseconds, longest))));
}

} // namespace Primrosefork
