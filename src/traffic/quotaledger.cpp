#include "quotaledger.h"

#include <algorithm>

namespace Primrosefork {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double ledgerPart = 0.6; ///< Of the burst that the terms allow; nodes on their own have 0.3, the rest covers what nodes tell late.
constexpr double leastRate = 1; ///< Units a second, for the wait that is told while hardly any node asks here.
constexpr std::chrono::milliseconds longestWait { 60'000 }; ///< Told to a caller whose request can never be granted.

} // namespace

auto RecentUse::add(const RecentUse& other) -> void
{
    this->inShortSpan += other.inShortSpan;
    this->inMiddleSpan += other.inMiddleSpan;
    this->inWindow += other.inWindow;
}

QuotaLedger::QuotaLedger(const QuotaTerms& terms)
    : terms(terms)
{
}

auto QuotaLedger::open(const TrafficWorkspace& workspace, TimePoint now) -> void
{
    this->accounts[workspace.name] = { 0, static_cast<double>(workspace.quota.perSecond), now };
}

auto QuotaLedger::takeHistory(const TrafficWorkspace& workspace, const RecentUse& use, double knownPart, TimePoint now) -> void
{
    const auto perSecond = static_cast<double>(workspace.quota.perSecond);
    const auto capacity = ledgerPart * burstWithin(this->terms, workspace.quota);
    auto& account = this->accounts[workspace.name];
    this->fill(account, now);
    // The lowest that the bucket can have come to with that use, wherever in each span it was.
    const auto shortSpan = capacity - use.inShortSpan / knownPart;
    const auto middleSpan = capacity + perSecond * Seconds(RecentUse::shortSpan).count() - use.inMiddleSpan / knownPart;
    const auto window = capacity + perSecond * Seconds(RecentUse::middleSpan).count() - use.inWindow / knownPart;
    account.level = std::max(account.level, std::min({ capacity, shortSpan, middleSpan, window }));
}

auto QuotaLedger::setAskingPart(double part, TimePoint now) -> void
{
    for (auto& [workspace, account] : this->accounts)
        this->fill(account, now);
    this->askingPart = std::clamp(part, 0.0, 1.0);
}

auto QuotaLedger::debit(const std::string& workspace, double units) -> void
{
    const auto found = this->accounts.find(workspace);
    if (found != this->accounts.end())
        found->second.level -= units;
}

auto QuotaLedger::fill(Account& account, TimePoint now) const -> void
{
    account.level += this->askingPart * account.perSecond * Seconds(now - account.filled).count();
    account.filled = now;
}

auto QuotaLedger::request(const TrafficWorkspace& workspace, double units, TimePoint now) -> std::optional<std::chrono::milliseconds>
{
    auto& account = this->accounts[workspace.name];
    this->fill(account, now);
    account.perSecond = static_cast<double>(workspace.quota.perSecond);
    const auto capacity = ledgerPart * burstWithin(this->terms, workspace.quota);
    account.level = std::min(account.level, capacity);
    // A request that is larger than the bucket passes when that is full, and leaves it in debt.
    const auto needed = std::min(units, capacity);
    if (account.level >= needed) {
        account.level -= units;
        return std::nullopt;
    }
    const auto rate = std::max(leastRate, this->askingPart * account.perSecond);
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(Seconds((needed - account.level) / rate)) + std::chrono::milliseconds(1);
    return std::min(wait, longestWait);
}

} // namespace Primrosefork
