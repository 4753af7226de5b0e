#include "limitledger.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Primrosefork {

namespace {

constexpr double overdraft = 1.25; ///< Factor on the nodes' shares, since an account that is full because of the rounding gains nothing.

} // namespace

LimitLedger::LimitLedger(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto LimitLedger::reported(std::span<const LimitStatement> statements, TimePoint now) -> void
{
    for (const auto& statement : statements) {
        const auto statedAt = now - statement.age;
        const auto found = this->accounts.find(statement.server);
        if (found == this->accounts.end()) {
            if (statement.perSecond > 0 && this->accounts.size() < maxAccounts)
                this->accounts.emplace(statement.server, Account { statement.perSecond, statedAt, 0, now, {} });
            continue;
        }
        auto& account = found->second;
        if (account.statedAt >= statedAt)
            continue;
        // What was gained under a higher limit is void.
        if (statement.perSecond < account.perSecond)
            account.permits = 0;
        account.perSecond = statement.perSecond;
        account.statedAt = statedAt;
    }
}

auto LimitLedger::setServers(const BackendServers& servers, TimePoint now) -> void
{
    if (this->accounts.empty())
        return;
    for (auto& [key, account] : this->accounts)
        account.service.clear();
    for (const auto& [id, server] : servers) {
        const auto found = this->accounts.find(serverKey(server));
        if (found != this->accounts.end())
            found->second.service = server.pool;
    }
    std::erase_if(this->accounts, [now](const auto& entry) {
        const auto& account = entry.second;
        return now - account.statedAt >= ServerLimits::retentionTime && (account.perSecond == 0 || account.service.empty());
    });
}

auto LimitLedger::grant(const ShareOf& shareOf, std::chrono::nanoseconds span, TimePoint now) -> std::vector<ServerPermits>
{
    constexpr double maxCount = std::numeric_limits<std::uint16_t>::max();
    const auto seconds = std::chrono::duration<double>(std::clamp<std::chrono::nanoseconds>(span, std::chrono::nanoseconds(0), maxSpan)).count();
    std::vector<ServerPermits> list;
    for (auto& [key, account] : this->accounts) {
        if (account.perSecond == 0 || account.service.empty())
            continue;
        const auto gained = account.perSecond * std::chrono::duration<double>(now - account.refilledAt).count();
        account.permits = std::min(account.permits + gained, capacitySeconds * account.perSecond + capacityPermits);
        account.refilledAt = now;
        const auto chance = static_cast<double>(this->random() - std::minstd_rand::min()) / static_cast<double>(std::minstd_rand::max());
        const auto due = std::floor(overdraft * account.perSecond * seconds * shareOf(account.service) + chance);
        const auto count = std::min({ due, std::floor(account.permits), maxCount });
        if (count < 1)
            continue;
        account.permits -= count;
        list.push_back({ key, static_cast<std::uint16_t>(count) });
    }
    return list;
}

auto LimitLedger::statements(TimePoint now) const -> std::vector<LimitStatement>
{
    std::vector<LimitStatement> list;
    for (const auto& [key, account] : this->accounts) {
        const auto age = std::max(std::chrono::milliseconds(0), std::chrono::ceil<std::chrono::milliseconds>(now - account.statedAt));
        list.push_back({ key, account.perSecond, age });
    }
    return list;
}

auto LimitLedger::digest() const -> std::uint64_t
{
    std::uint64_t digest = 0;
    for (const auto& [key, account] : this->accounts)
        digest ^= account.perSecond > 0 ? limitDigest(key, account.perSecond) : 0;
    return digest;
}

auto LimitLedger::limitedServers() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(this->accounts.begin(), this->accounts.end(), [](const auto& entry) { return entry.second.perSecond > 0; }));
}

} // namespace Primrosefork
