#include "rolloutcounter.h"

#include "hash.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::uint64_t serverHashes = 32; ///< Values of a server's hash in RolloutReport::failedServers.
constexpr std::int64_t minPaceEvents = 4; ///< Events from which a stream has a mean time between them.

auto microseconds(std::chrono::steady_clock::duration time) -> std::chrono::microseconds
{
    return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

auto isAbout(const RolloutReport& report, const RolloutShare& share) -> bool
{
    return report.service == share.service && report.version == share.version && isOver(report.phase) <= isOver(share.phase);
}

} // namespace

auto rolloutRouteKey(const std::string& route) -> std::uint32_t
{
    return static_cast<std::uint32_t>(hash64(route));
}

auto RolloutCounter::isFailure(AttemptEnd end) -> bool
{
    return end == AttemptEnd::Failed || end == AttemptEnd::ServerError || end == AttemptEnd::Stalled;
}

auto RolloutCounter::setRollouts(const std::vector<RolloutShare>& shares, TimePoint asOf) -> void
{
    std::vector<Account> next;
    for (const auto& share : shares) {
        const auto known = std::find_if(this->accounts.begin(), this->accounts.end(), [&share](const Account& account) { return isAbout(account.report, share); });
        auto& account = next.emplace_back(known == this->accounts.end() ? Account {} : std::move(*known));
        auto& report = account.report;
        report.service = share.service;
        report.version = share.version;
        report.order = share.order;
        report.step = share.step;
        report.phase = share.phase;
        report.share = share.share;
        account.deadline = asOf + share.left;
    }
    this->accounts = std::move(next);
}

auto RolloutCounter::requestReceived(const std::string& service) -> void
{
    for (auto& account : this->accounts)
        account.report.received += account.report.service == service ? 1 : 0;
}

auto RolloutCounter::attemptSent(std::uint64_t id, Attempt attempt) -> void
{
    for (auto& account : this->accounts)
        account.report.sent += account.report.service == attempt.service && account.report.version == attempt.version ? 1 : 0;
    this->open.insert_or_assign(id, std::move(attempt));
}

auto RolloutCounter::eventReceived(std::uint64_t id, TimePoint now) -> void
{
    const auto found = this->open.find(id);
    if (found == this->open.end())
        return;
    if (found->second.events++ == 0)
        found->second.firstEvent = now;
    found->second.lastEvent = now;
}

auto RolloutCounter::sideOf(Account& account, const Attempt& attempt, RolloutAspect aspect) -> SideCounts*
{
    const RouteKey key { attempt.route, aspect };
    if (!account.routes.contains(key) && account.routes.size() >= maxReportedRoutes)
        return nullptr;
    auto& counts = account.routes.try_emplace(key, RouteCounts { attempt.route, aspect, {}, {} }).first->second;
    return attempt.version == account.report.version ? &counts.next : &counts.earlier;
}

auto RolloutCounter::countEnd(Account& account, const Attempt& attempt, AttemptEnd end, TimePoint now) -> void
{
    const auto time = now - attempt.sent;
    const auto isNext = attempt.version == account.report.version;
    if (!isNext)
        account.report.longestAnswer = std::max(account.report.longestAnswer, std::chrono::duration_cast<std::chrono::milliseconds>(time));
    if (end == AttemptEnd::Cancelled)
        return;
    if (auto* side = sideOf(account, attempt, RolloutAspect::Answer)) {
        ++side->answers;
        if (isFailure(end))
            ++side->failures;
        else if (!attempt.isStream)
            ++side->times[timeBucketOf(microseconds(time))];
    }
    if (isNext && isFailure(end))
        account.report.failedServers |= 1U << (attempt.serverHash % serverHashes);
    if (attempt.events > 0 && attempt.isCold) {
        if (auto* side = sideOf(account, attempt, RolloutAspect::Start)) {
            ++side->answers;
            ++side->times[timeBucketOf(microseconds(attempt.firstEvent - attempt.sent))];
        }
    }
    if (attempt.events >= minPaceEvents) {
        if (auto* side = sideOf(account, attempt, RolloutAspect::Pace)) {
            ++side->answers;
            ++side->times[timeBucketOf(microseconds((attempt.lastEvent - attempt.firstEvent) / (attempt.events - 1)))];
        }
    }
}

auto RolloutCounter::attemptEnded(std::uint64_t id, AttemptEnd end, TimePoint now) -> Attempt
{
    const auto found = this->open.find(id);
    if (found == this->open.end())
        return {};
    auto attempt = std::move(found->second);
    this->open.erase(found);
    for (auto& account : this->accounts) {
        if (account.report.service == attempt.service)
            countEnd(account, attempt, end, now);
    }
    return attempt;
}

auto RolloutCounter::reports(TimePoint now) const -> std::vector<RolloutReport>
{
    std::vector<RolloutReport> list;
    for (const auto& account : this->accounts) {
        auto& report = list.emplace_back(account.report);
        report.left = std::max(0ms, std::chrono::duration_cast<std::chrono::milliseconds>(account.deadline - now));
        report.openAtEarlier = static_cast<std::uint64_t>(std::count_if(this->open.begin(), this->open.end(),
            [&report](const auto& entry) { return entry.second.service == report.service && entry.second.version != report.version; }));
        if (isOver(report.phase))
            continue;
        for (const auto& [key, counts] : account.routes)
            report.routes.push_back(counts);
    }
    return list;
}

} // namespace Primrosefork
