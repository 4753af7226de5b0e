#include "serverlimits.h"

#include "hash.h"

#include <algorithm>
#include <bit>
#include <set>
#include <string>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::seconds retainPeriod { 10 }; ///< Shortest time between two passes over all servers.

auto sinceMoment(ServerLimits::TimePoint now, ServerLimits::TimePoint moment) -> std::chrono::milliseconds
{
    return std::max(std::chrono::milliseconds(0), std::chrono::floor<std::chrono::milliseconds>(now - moment));
}

} // namespace

auto serverKey(const BackendServer& server) -> std::uint64_t
{
    return hash64(server.id + "/" + std::to_string(server.startedAt));
}

auto limitDigest(std::uint64_t server, float perSecond) -> std::uint64_t
{
    return hash64(std::to_string(server) + "/" + std::to_string(std::bit_cast<std::uint32_t>(perSecond)));
}

ServerLimits::ServerLimits(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto ServerLimits::stated(const BackendServer& server, std::optional<double> perSecond, TimePoint now) -> bool
{
    if (!perSecond && this->states.empty())
        return false;
    const auto key = serverKey(server);
    if (!perSecond && !this->states.contains(key))
        return false;
    const auto limit = perSecond ? std::clamp(static_cast<float>(std::min<double>(*perSecond, maxPerSecond)), minPerSecond, maxPerSecond) : 0;
    return this->setLimit(this->states[key], limit, now);
}

auto ServerLimits::setLimit(State& state, float perSecond, TimePoint statedAt) -> bool
{
    state.statedAt = statedAt;
    if (state.perSecond == perSecond)
        return false;
    // Permits of a higher limit are void.
    if (perSecond < state.perSecond)
        state.grants.clear();
    if (perSecond == 0)
        state.owed = 0;
    state.perSecond = perSecond;
    state.nextLocal = {};
    return true;
}

auto ServerLimits::learned(std::span<const LimitStatement> statements, bool complete, TimePoint moment) -> void
{
    std::set<std::uint64_t> listed;
    for (const auto& statement : statements) {
        listed.insert(statement.server);
        const auto statedAt = moment - statement.age;
        const auto found = this->states.find(statement.server);
        if (found != this->states.end() ? found->second.statedAt < statedAt : statement.perSecond > 0)
            this->setLimit(this->states[statement.server], std::clamp(statement.perSecond, 0.0F, maxPerSecond), statedAt);
    }
    if (!complete)
        return;
    for (auto& [key, state] : this->states) {
        if (state.statedAt < moment && !listed.contains(key))
            this->setLimit(state, 0, state.statedAt);
    }
}

auto ServerLimits::granted(std::span<const ServerPermits> permits, TimePoint reportSent) -> void
{
    if (reportSent <= this->lastAnswer)
        return;
    this->lastAnswer = reportSent;
    for (const auto& entry : permits) {
        const auto found = this->states.find(entry.server);
        if (found != this->states.end() && found->second.perSecond > 0)
            this->addGrant(found->second, { reportSent + permitValidity, entry.count });
    }
}

auto ServerLimits::addGrant(State& state, const Grant& grant) -> void
{
    const auto repaid = std::min(state.owed, grant.count);
    state.owed -= repaid;
    if (grant.count > repaid)
        state.grants.push_back({ grant.validUntil, grant.count - repaid });
}

auto ServerLimits::issueLocally(State& state, TimePoint now) -> void
{
    if (now - this->lastAnswer < permitValidity)
        return;
    const auto rate = localPart * state.perSecond / static_cast<double>(std::max<std::size_t>(1, this->nodeCount));
    const auto period = std::chrono::duration_cast<BootClock::duration>(std::chrono::duration<double>(1 / rate));
    // The nodes begin at random times, so that they don't all send at one moment.
    if (state.nextLocal < now - permitValidity) {
        const auto part = static_cast<double>(this->random() - std::minstd_rand::min()) / static_cast<double>(std::minstd_rand::max());
        state.nextLocal = now + std::chrono::duration_cast<BootClock::duration>(part * period);
    }
    for (; state.nextLocal <= now; state.nextLocal += period)
        this->addGrant(state, { state.nextLocal + permitValidity, 1 });
}

auto ServerLimits::limited(const BackendServer& server, TimePoint now) -> State*
{
    if (this->states.empty())
        return nullptr;
    const auto found = this->states.find(serverKey(server));
    if (found == this->states.end() || found->second.perSecond == 0)
        return nullptr;
    auto& state = found->second;
    std::erase_if(state.grants, [now](const auto& grant) { return grant.validUntil <= now; });
    this->issueLocally(state, now);
    return &state;
}

auto ServerLimits::hasPermit(const BackendServer& server, TimePoint now) -> bool
{
    const auto* state = this->limited(server, now);
    return !state || !state->grants.empty();
}

auto ServerLimits::requestSent(const BackendServer& server, TimePoint now) -> bool
{
    auto* state = this->limited(server, now);
    if (!state)
        return true;
    if (state->grants.empty()) {
        ++state->owed;
        return false;
    }
    if (--state->grants.front().count == 0)
        state->grants.pop_front();
    return true;
}

auto ServerLimits::limitOf(const BackendServer& server) const -> std::optional<double>
{
    const auto found = this->states.find(serverKey(server));
    return found == this->states.end() || found->second.perSecond == 0 ? std::nullopt : std::optional<double>(found->second.perSecond);
}

auto ServerLimits::permitsFor(const BackendServer& server, TimePoint now) const -> int
{
    const auto found = this->states.find(serverKey(server));
    int count = 0;
    if (found != this->states.end()) {
        for (const auto& grant : found->second.grants)
            count += grant.validUntil > now ? grant.count : 0;
    }
    return count;
}

auto ServerLimits::statements(bool all, TimePoint now) const -> std::vector<LimitStatement>
{
    std::vector<LimitStatement> list;
    for (const auto& [key, state] : this->states) {
        if (now - state.statedAt < statementRepeatTime || (all && state.perSecond > 0))
            list.push_back({ key, state.perSecond, sinceMoment(now, state.statedAt) });
    }
    return list;
}

auto ServerLimits::digest() const -> std::uint64_t
{
    std::uint64_t digest = 0;
    for (const auto& [key, state] : this->states)
        digest ^= state.perSecond > 0 ? limitDigest(key, state.perSecond) : 0;
    return digest;
}

auto ServerLimits::retain(const BackendServers& servers, TimePoint now) -> void
{
    if (this->states.empty() || now - this->lastRetain < retainPeriod)
        return;
    this->lastRetain = now;
    std::set<std::uint64_t> registered;
    for (const auto& [id, server] : servers)
        registered.insert(serverKey(server));
    std::erase_if(this->states, [&registered, now](const auto& entry) {
        const auto& [key, state] = entry;
        return now - state.statedAt >= retentionTime && (state.perSecond == 0 || !registered.contains(key));
    });
}

} // namespace Primrosefork
