#include "versioncomparison.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <numeric>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto spanLength = 1s; ///< Answers within it are compared; two reports of each node.
constexpr double recentFactor = 0.9; ///< Weight of a span relative to the one after it; a half-life of 7 s.
constexpr double minDeviations = 4; ///< Standard deviations above the expected number of bad answers; each of many routes and times is looked at each second.
constexpr double minSlowDifference = 0.02; ///< Smallest part of slow answers, above that of the other versions, that counts as worse.
constexpr double minFailureDifference = 0.01; ///< The same for failures, which are clearer than times.
constexpr double minReferenceDeviations = 5; ///< The same without answers of the other versions at the same time.
constexpr double minReferenceDifference = 0.1;
constexpr double minBadAnswers = 3;
constexpr double minAnswers = 30; ///< Answers of the new version on a route for a good verdict.
constexpr double minTraffic = 20; ///< Answers of the other versions from which a route has traffic.
constexpr std::size_t slowShift = 2; ///< Buckets between a time of the other versions and one of the new version that counts as slow: a factor of 2.
constexpr std::size_t slowReferenceShift = 4; ///< The same without answers of the other versions at the same time: a factor of 4.
constexpr std::size_t minAnswerBucket = 10; ///< Differences below 11 ms are due to places in the network.
constexpr std::size_t minPaceBucket = 7; ///< The same for the time between events, 4 ms.
constexpr std::uint32_t maxReferenceAnswers = 400; ///< Answers of the other versions that are kept as a reference; older ones are dropped.

auto countFrom(const TimeCounts& times, std::size_t bucket) -> double
{
    return bucket >= timeBuckets ? 0 : static_cast<double>(std::accumulate(times.begin() + static_cast<std::ptrdiff_t>(bucket), times.end(), std::uint64_t { 0 }));
}

auto minBucketOf(RolloutAspect aspect) -> std::size_t
{
    return aspect == RolloutAspect::Pace ? minPaceBucket : minAnswerBucket;
}

/** Adds the answers of \a next and \a earlier, whose slow times differ by \a shift buckets, to \a properties. */
template <typename Properties>
auto addSides(Properties& properties, const SideCounts& next, const SideCounts& earlier, std::size_t minBucket, std::size_t shift) -> void
{
    properties.failures.add(next.failures, next.answers, earlier.failures, earlier.answers);
    for (auto bucket = minBucket; bucket < timeBuckets; ++bucket)
        properties.slow[bucket].add(countFrom(next.times, bucket + shift), countFrom(next.times, 0), countFrom(earlier.times, bucket), countFrom(earlier.times, 0));
}

auto halve(SideCounts& counts) -> void
{
    counts.answers /= 2;
    counts.failures /= 2;
    for (auto& count : counts.times)
        count /= 2;
}

} // namespace

auto VersionComparison::Sums::add(double newBad, double newAnswers, double otherBad, double otherAnswers) -> void
{
    if (newAnswers <= 0 || otherAnswers <= 0)
        return;
    const auto total = newAnswers + otherAnswers;
    const auto totalBad = newBad + otherBad;
    this->bad += newBad;
    this->answers += newAnswers;
    this->expected += newAnswers * totalBad / total;
    this->variance += newAnswers * otherAnswers * totalBad * (total - totalBad) / (total * total * (total - 1));
    this->earlierBad += newAnswers * otherBad / otherAnswers;
}

auto VersionComparison::Sums::decay(double factor) -> void
{
    this->bad *= factor;
    this->expected *= factor;
    // A weighted sum has the squares of the weights in its variance.
    this->variance *= factor * factor;
    this->answers *= factor;
    this->earlierBad *= factor;
}

auto VersionComparison::Sums::isExcess(double deviations, double part) const -> bool
{
    constexpr double continuity = 0.5;
    if (this->bad < minBadAnswers * 0.9 || this->variance <= 0)
        return false;
    return this->bad - this->expected - continuity >= deviations * std::sqrt(this->variance) && this->bad - this->earlierBad >= part * this->answers;
}

auto VersionComparison::add(const std::vector<RouteCounts>& counts, TimePoint now) -> void
{
    for (const auto& entry : counts) {
        const RouteKey key { entry.route, entry.aspect };
        if (!this->routes.contains(key) && this->routes.size() >= maxReportedRoutes)
            continue;
        auto& route = this->routes[key];
        addTo(route.span.earlier, entry.earlier);
        addTo(route.span.next, entry.next);
    }
    if (now < this->spanEnd)
        return;
    this->spanEnd = now + spanLength;
    for (auto& [key, route] : this->routes)
        this->endSpan(key, route);
}

auto VersionComparison::endSpan(const RouteKey& key, Route& route) -> void
{
    const auto& next = route.span.next;
    const auto& earlier = route.span.earlier;
    // A span with answers of one side only goes on, so that they are compared with the next ones of the other side.
    if (next.answers == 0 && earlier.answers < maxReferenceAnswers)
        return;
    const auto minBucket = minBucketOf(key.second);
    route.recent.failures.decay(recentFactor);
    route.reference.failures.decay(recentFactor);
    for (std::size_t bucket = 0; bucket < timeBuckets; ++bucket) {
        route.recent.slow[bucket].decay(recentFactor);
        route.reference.slow[bucket].decay(recentFactor);
    }
    addSides(route.all, next, earlier, minBucket, slowShift);
    addSides(route.recent, next, earlier, minBucket, slowShift);
    if (earlier.answers == 0)
        addSides(route.reference, next, route.lastEarlier, minBucket, slowReferenceShift);
    route.answers += next.answers;
    route.earlierAnswers += earlier.answers;
    addTo(route.lastEarlier, earlier);
    while (route.lastEarlier.answers > maxReferenceAnswers)
        halve(route.lastEarlier);
    route.span = {};
    for (const auto* properties : { &route.all, &route.recent }) {
        route.fault = faultOf(*properties, minDeviations, minFailureDifference, minSlowDifference);
        if (route.fault != Fault::None)
            return;
    }
    route.fault = faultOf(route.reference, minReferenceDeviations, minReferenceDifference, minReferenceDifference);
}

auto VersionComparison::faultOf(const Properties& properties, double deviations, double failurePart, double slowPart) -> Fault
{
    if (properties.failures.isExcess(deviations, failurePart))
        return Fault::Failures;
    const auto isSlow = std::any_of(properties.slow.begin(), properties.slow.end(), [deviations, slowPart](const Sums& sums) { return sums.isExcess(deviations, slowPart); });
    return isSlow ? Fault::SlowAnswers : Fault::None;
}

auto VersionComparison::reason() const -> std::string
{
    constexpr std::array aspects { "", " to start", " between events" };
    for (const auto& [key, route] : this->routes) {
        if (route.fault != Fault::None)
            return std::string(route.fault == Fault::Failures ? "failures" : "slow answers") + aspects.at(static_cast<std::size_t>(key.second));
    }
    return "";
}

auto VersionComparison::isAboutFailures() const -> bool
{
    return std::none_of(this->routes.begin(), this->routes.end(), [](const auto& entry) { return entry.second.fault == Fault::SlowAnswers; });
}

auto VersionComparison::verdict() const -> VersionVerdict
{
    auto hasTraffic = false;
    auto isUndecided = false;
    for (const auto& [key, route] : this->routes) {
        if (route.fault != Fault::None)
            return VersionVerdict::Bad;
        if (key.second != RolloutAspect::Answer || route.earlierAnswers < minTraffic)
            continue;
        hasTraffic = true;
        isUndecided = isUndecided || route.answers < minAnswers;
    }
    return hasTraffic && !isUndecided ? VersionVerdict::Good : VersionVerdict::Undecided;
}

} // namespace Primrosefork
