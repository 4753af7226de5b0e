#include "quotalimiter.h"

#include <algorithm>
#include <utility>

namespace Primrosefork {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds longestWait { 60'000 }; ///< Told to a caller whose request can never be granted.
constexpr std::chrono::milliseconds leastAbsence { 500 }; ///< Between the end of a process and the start of the next, in which it granted nothing.
constexpr double ownPart = 0.3; ///< Of the burst that the terms allow; the leader's account has 0.6, the rest covers chance and shares that move.

} // namespace

QuotaLimiter::QuotaLimiter(const QuotaTerms& terms, TimePoint start, std::uint64_t seed)
    : terms(terms)
    , start(start - leastAbsence)
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto QuotaLimiter::bucketOf(const std::string& workspace) -> Bucket&
{
    const auto [entry, isNew] = this->buckets.try_emplace(workspace);
    if (isNew)
        entry->second.filled = this->start;
    return entry->second;
}

auto QuotaLimiter::setNodeCount(std::size_t nodes) -> void
{
    this->nodeCount = std::max<std::size_t>(1, nodes);
}

auto QuotaLimiter::setShare(const std::string& workspace, double share, TimePoint validUntil) -> void
{
    auto& bucket = this->bucketOf(workspace);
    bucket.share = std::clamp(share, 0.0, 1.0);
    bucket.shareUntil = validUntil;
}

auto QuotaLimiter::shareOf(const Bucket& bucket, TimePoint now) const -> double
{
    return now < bucket.shareUntil ? bucket.share : 1.0 / static_cast<double>(this->nodeCount);
}

auto QuotaLimiter::refill(Bucket& bucket, const WorkspaceQuota& quota, TimePoint now) -> double
{
    const auto perSecond = static_cast<double>(quota.perSecond);
    const auto rate = this->shareOf(bucket, now) * perSecond;
    // Over any window no more than the capacity and what flows in meanwhile is granted.
    bucket.capacity = ownPart * this->shareOf(bucket, now) * burstWithin(this->terms, quota);
    bucket.level += rate * Seconds(now - bucket.filled).count();
    bucket.level = std::min(bucket.level, bucket.capacity);
    bucket.filled = now;
    return rate;
}

auto QuotaLimiter::take(Bucket& bucket, double units) -> bool
{
    if (bucket.level < std::min(units, bucket.capacity))
        return false;
    if (units <= bucket.capacity) {
        bucket.level -= units;
        return true;
    }
    // The bucket is spent either way, so that large requests take what flows in, and no more, in the mean.
    bucket.level = 0;
    return std::uniform_real_distribution<double>(0, units)(this->random) < bucket.capacity;
}

auto QuotaLimiter::request(const TrafficWorkspace& workspace, double units, TimePoint now) -> std::optional<std::chrono::milliseconds>
{
    if (workspace.quota.perSecond <= 0)
        return std::nullopt;
    auto& asked = this->demand[workspace.name];
    asked.asked += units;
    auto& bucket = this->bucketOf(workspace.name);
    const auto rate = this->refill(bucket, workspace.quota, now);

    if (this->take(bucket, units)) {
        asked.granted += units;
        this->granted[workspace.name] += units;
        this->noteGranted(workspace.name, units, now);
        return std::nullopt;
    }
    if (rate <= 0)
        return longestWait;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(Seconds((std::min(units, bucket.capacity) - bucket.level) / rate)) + std::chrono::milliseconds(1);
    return std::min(wait, longestWait);
}

auto QuotaLimiter::noteGranted(const std::string& workspace, double units, TimePoint now) -> void
{
    auto& recent = this->uses[workspace];
    recent.push_back({ now, units });
    while (recent.front().at < now - this->terms.window)
        recent.pop_front();
}

auto QuotaLimiter::recentUse(const std::string& workspace, TimePoint now) -> RecentUse
{
    RecentUse sum;
    const auto found = this->uses.find(workspace);
    if (found == this->uses.end())
        return sum;
    for (const auto& use : found->second) {
        const auto age = now - use.at;
        sum.inWindow += age <= this->terms.window ? use.units : 0;
        sum.inMiddleSpan += age <= RecentUse::middleSpan ? use.units : 0;
        sum.inShortSpan += age <= RecentUse::shortSpan ? use.units : 0;
    }
    return sum;
}

auto QuotaLimiter::takeDemand() -> std::map<std::string, WorkspaceDemand>
{
    return std::exchange(this->demand, {});
}

} // namespace Primrosefork
