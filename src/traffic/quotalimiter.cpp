#include "quotalimiter.h"

#include <algorithm>
#include <utility>

namespace Primrosefork {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds longestWait { 60'000 }; ///< Told to a caller whose request can never be granted.
constexpr std::chrono::milliseconds leastAbsence { 500 }; ///< Between the end of a process and the start of the next, in which it granted nothing.
constexpr double safePart = 0.8; ///< Of the burst that the terms allow; the rest covers requests larger than a node's share and shares that move.

} // namespace

QuotaLimiter::QuotaLimiter(const QuotaTerms& terms, TimePoint start)
    : terms(terms)
    , start(start - leastAbsence)
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
    const auto excess = this->terms.excess * perSecond * Seconds(this->terms.window).count();
    const auto burst = static_cast<double>(quota.burst) * (1 + this->terms.excess) + excess + (quota.countsTokens ? this->terms.slack : 0);
    bucket.capacity = safePart * this->shareOf(bucket, now) * burst;
    bucket.level += rate * Seconds(now - bucket.filled).count();
    bucket.level = std::min(bucket.level, bucket.capacity);
    bucket.filled = now;
    return rate;
}

auto QuotaLimiter::request(const TrafficWorkspace& workspace, double units, TimePoint now) -> std::optional<std::chrono::milliseconds>
{
    if (workspace.quota.perSecond <= 0)
        return std::nullopt;
    auto& asked = this->demand[workspace.name];
    asked.asked += units;
    auto& bucket = this->bucketOf(workspace.name);
    const auto rate = this->refill(bucket, workspace.quota, now);

    // A request that is larger than the bucket passes when that is full, and leaves it in debt.
    const auto needed = std::min(units, bucket.capacity);
    if (bucket.level >= needed) {
        bucket.level -= units;
        asked.granted += units;
        return std::nullopt;
    }
    if (rate <= 0)
        return longestWait;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(Seconds((needed - bucket.level) / rate)) + std::chrono::milliseconds(1);
    return std::min(wait, longestWait);
}

auto QuotaLimiter::takeDemand() -> std::map<std::string, WorkspaceDemand>
{
    return std::exchange(this->demand, {});
}

} // namespace Primrosefork
