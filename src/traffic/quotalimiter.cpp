#include "quotalimiter.h"

#include <algorithm>
#include <utility>

namespace Primrosefork {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds maxWait { 60'000 }; ///< Longest wait that is returned, also for a request that can never be granted.
constexpr std::chrono::milliseconds minDowntime { 500 }; ///< Shortest time between the end of a process and the start of the next, in which the node grants nothing.
constexpr double ownBurstFraction = 0.3; ///< Part of the allowed burst that nodes grant on their own; the leader's account has 0.6, and the rest covers random grants and changes of shares.

} // namespace

QuotaLimiter::QuotaLimiter(const QuotaTolerance& tolerance, TimePoint start, std::uint64_t seed)
    : tolerance(tolerance)
    , start(start - minDowntime)
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto QuotaLimiter::bucketOf(const std::string& workspace) -> Bucket&
{
    const auto [entry, isNew] = this->buckets.try_emplace(workspace);
    if (isNew)
        entry->second.lastRefill = this->start;
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
    const auto perSecond = quota.perSecond;
    const auto rate = this->shareOf(bucket, now) * perSecond;
    // With the level limited to the capacity, no window has more grants than the capacity and the refill during the window.
    bucket.capacity = ownBurstFraction * this->shareOf(bucket, now) * allowedBurst(this->tolerance, quota);
    bucket.level += rate * Seconds(now - bucket.lastRefill).count();
    bucket.level = std::min(bucket.level, bucket.capacity);
    bucket.lastRefill = now;
    return rate;
}

auto QuotaLimiter::tryConsume(Bucket& bucket, double units) -> bool
{
    if (bucket.level < std::min(units, bucket.capacity))
        return false;
    if (units <= bucket.capacity) {
        bucket.level -= units;
        return true;
    }
    // The bucket is emptied even if the request is refused, so that large requests get the refill, and no more, on average.
    bucket.level = 0;
    return std::uniform_real_distribution<double>(0, units)(this->random) < bucket.capacity;
}

auto QuotaLimiter::request(const TrafficWorkspace& workspace, double units, TimePoint now) -> std::optional<std::chrono::milliseconds>
{
    if (workspace.quota.perSecond <= 0)
        return std::nullopt;
    auto& workspaceDemand = this->demand[workspace.name];
    workspaceDemand.requested += units;
    auto& bucket = this->bucketOf(workspace.name);
    const auto rate = this->refill(bucket, workspace.quota, now);

    if (this->tryConsume(bucket, units)) {
        workspaceDemand.granted += units;
        this->granted[workspace.name] += units;
        this->recordGranted(workspace.name, units, now);
        return std::nullopt;
    }
    if (rate <= 0)
        return maxWait;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(Seconds((std::min(units, bucket.capacity) - bucket.level) / rate)) + std::chrono::milliseconds(1);
    return std::min(wait, maxWait);
}

auto QuotaLimiter::recordGranted(const std::string& workspace, double units, TimePoint now) -> void
{
    auto& recent = this->recentGrants[workspace];
    recent.push_back({ now, units });
    while (recent.front().at < now - this->tolerance.window)
        recent.pop_front();
}

auto QuotaLimiter::recentUse(const std::string& workspace, TimePoint now) -> RecentUse
{
    RecentUse sum;
    const auto found = this->recentGrants.find(workspace);
    if (found == this->recentGrants.end())
        return sum;
    for (const auto& use : found->second) {
        const auto age = now - use.at;
        sum.inWindow += age <= this->tolerance.window ? use.units : 0;
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
