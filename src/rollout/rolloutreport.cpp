#include "rolloutreport.h"

#include <algorithm>
#include <cmath>

namespace Primrosefork {

namespace {

constexpr double firstBucketMicroseconds = 500;
constexpr double bucketsPerOctave = 2;
constexpr std::array phaseNames { "waiting", "canary", "observing", "shifting", "raising", "full", "completed", "rolled back" };

auto reduced(std::uint32_t count, std::uint32_t earlier) -> std::uint32_t
{
    return count - std::min(count, earlier);
}

} // namespace

auto nameOf(RolloutPhase phase) -> std::string
{
    return phaseNames.at(static_cast<std::size_t>(phase));
}

auto timeBucketOf(std::chrono::microseconds time) -> std::size_t
{
    const auto ratio = static_cast<double>(time.count()) / firstBucketMicroseconds;
    if (ratio < 1)
        return 0;
    return std::min(timeBuckets - 1, static_cast<std::size_t>(bucketsPerOctave * std::log2(ratio)) + 1);
}

auto addTo(SideCounts& sum, const SideCounts& counts) -> void
{
    sum.answers += counts.answers;
    sum.failures += counts.failures;
    for (std::size_t bucket = 0; bucket < timeBuckets; ++bucket)
        sum.times[bucket] += counts.times[bucket];
}

auto difference(const SideCounts& counts, const SideCounts& earlier) -> SideCounts
{
    SideCounts result { reduced(counts.answers, earlier.answers), reduced(counts.failures, earlier.failures), {} };
    for (std::size_t bucket = 0; bucket < timeBuckets; ++bucket)
        result.times[bucket] = reduced(counts.times[bucket], earlier.times[bucket]);
    return result;
}

} // namespace Primrosefork
