#include "quotaledger.h"

#include <algorithm>

namespace Primrosefork {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double ledgerBurstFraction = 0.6; ///< Part of the allowed burst that the ledger grants; nodes on their own have 0.3, and the rest covers grants that nodes report late.
constexpr double minRefillRate = 1; ///< Units per second that the returned wait assumes while hardly any node requests units here.
constexpr std::chrono::milliseconds maxWait { 60'000 }; ///< Longest wait that is returned, also for a request that can never be granted.

} // namespace

auto RecentUse::add(const RecentUse& other) -> void
{
    this->inShortSpan += other.inShortSpan;
    this->inMiddleSpan += other.inMiddleSpan;
    this->inWindow += other.inWindow;
}

QuotaLedger::QuotaLedger(const QuotaTolerance& tolerance)
    : tolerance(tolerance)
{
}

auto QuotaLedger::open(const TrafficWorkspace& workspace, TimePoint now) -> void
{
    this->accounts[workspace.name] = { 0, workspace.quota.perSecond, now };
}

auto QuotaLedger::applyRecentUse(const TrafficWorkspace& workspace, const RecentUse& use, double reportedFraction, TimePoint now) -> void
{
    const auto perSecond = workspace.quota.perSecond;
    const auto capacity = ledgerBurstFraction * allowedBurst(this->tolerance, workspace.quota);
    auto& account = this->accounts[workspace.name];
    this->refill(account, now);
    // Lowest level that the bucket can have after that use, whenever within each span the units were granted.
    const auto shortSpan = capacity - use.inShortSpan / reportedFraction;
    const auto middleSpan = capacity + perSecond * Seconds(RecentUse::shortSpan).count() - use.inMiddleSpan / reportedFraction;
    const auto window = capacity + perSecond * Seconds(RecentUse::middleSpan).count() - use.inWindow / reportedFraction;
    account.level = std::max(account.level, std::min({ capacity, shortSpan, middleSpan, window }));
}

auto QuotaLedger::setServedFraction(double fraction, TimePoint now) -> void
{
    for (auto& [workspace, account] : this->accounts)
        this->refill(account, now);
    this->servedFraction = std::clamp(fraction, 0.0, 1.0);
}

auto QuotaLedger::debit(const std::string& workspace, double units) -> void
{
    const auto found = this->accounts.find(workspace);
    if (found != this->accounts.end())
        found->second.level -= units;
}

auto QuotaLedger::refill(Account& account, TimePoint now) const -> void
{
    account.level += this->servedFraction * account.perSecond * Seconds(now - account.lastRefill).count();
    account.lastRefill = now;
}

auto QuotaLedger::request(const TrafficWorkspace& workspace, double units, TimePoint now) -> std::optional<std::chrono::milliseconds>
{
    auto& account = this->accounts[workspace.name];
    this->refill(account, now);
    account.perSecond = workspace.quota.perSecond;
    const auto capacity = ledgerBurstFraction * allowedBurst(this->tolerance, workspace.quota);
    account.level = std::min(account.level, capacity);
    // A request that is larger than the bucket is granted when the bucket is full, and leaves its level negative.
    const auto needed = std::min(units, capacity);
    if (account.level >= needed) {
        account.level -= units;
        return std::nullopt;
    }
    const auto rate = std::max(minRefillRate, this->servedFraction * account.perSecond);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(Seconds((needed - account.level) / rate)) + std::chrono::milliseconds(1);
    return std::min(wait, maxWait);
}

} // namespace Primrosefork
