#include "quotalimiter.h"

#include <algorithm>
#include <utility>

namespace Primrosefork {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::chrono::milliseconds longestWait { 60'000 }; ///< Told to a caller whose request can never be granted.

} // namespace

auto QuotaLimiter::setNodeCount(std::size_t nodes) -> void
{
    this->nodeCount = std::max<std::size_t>(1, nodes);
}

auto QuotaLimiter::setShare(const std::string& workspace, double share, TimePoint validUntil) -> void
{
    auto& bucket = this->buckets[workspace];
    bucket.share = std::clamp(share, 0.0, 1.0);
    bucket.shareUntil = validUntil;
}

auto QuotaLimiter::shareOf(const Bucket& bucket, TimePoint now) const -> double
{
    return now < bucket.shareUntil ? bucket.share : 1.0 / static_cast<double>(this->nodeCount);
}

auto QuotaLimiter::refill(Bucket& bucket, const WorkspaceQuota& quota, TimePoint now) -> double
{
    const auto rate = this->shareOf(bucket, now) * static_cast<double>(quota.perSecond);
    bucket.capacity = this->shareOf(bucket, now) * static_cast<double>(std::max(quota.burst, quota.perSecond));
    if (!bucket.isFilled) {
        bucket.isFilled = true;
        bucket.level = bucket.capacity;
        bucket.filled = now;
    }
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
    auto& bucket = this->buckets[workspace.name];
    const auto rate = this->refill(bucket, workspace.quota, now);

    // A request is let through while the bucket is not in debt, so that one larger than a small share is not refused for ever.
    if (bucket.level > 0) {
        bucket.level -= units;
        asked.granted += units;
        return std::nullopt;
    }
    if (rate <= 0)
        return longestWait;
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(Seconds(-bucket.level / rate)) + std::chrono::milliseconds(1);
    return std::min(wait, longestWait);
}

auto QuotaLimiter::giveBack(const std::string& workspace, double units) -> void
{
    const auto found = this->buckets.find(workspace);
    if (found != this->buckets.end())
        found->second.level = std::min(found->second.level + units, found->second.capacity);
}

auto QuotaLimiter::takeDemand() -> std::map<std::string, WorkspaceDemand>
{
    return std::exchange(this->demand, {});
}

} // namespace Primrosefork
