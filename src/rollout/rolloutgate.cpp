#include "rolloutgate.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr int maxFailuresInRow = 3; ///< Failures after which a node stops by itself, so that a version that fails everything is not waited for.
constexpr std::chrono::milliseconds shiftMargin = 1'500ms; ///< Time before the deadline by which requests at earlier versions have to end: a report and two writes.

} // namespace

RolloutGate::RolloutGate(std::chrono::milliseconds maxHold, std::uint64_t seed)
    : maxHold(maxHold)
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto RolloutGate::serversChanged(const BackendServers& servers, TimePoint now) -> void
{
    struct Versions {
        std::set<std::string> all;
        std::set<std::string> live;
        std::string oldest;
        std::int64_t oldestStart = 0;
    };
    std::map<std::string, Versions> present;
    for (const auto& [id, server] : servers) {
        auto& versions = present[server.pool];
        if (versions.all.empty() || server.startedAt < versions.oldestStart) {
            versions.oldest = server.version;
            versions.oldestStart = server.startedAt;
        }
        versions.all.insert(server.version);
        if (server.state == InstanceState::Live)
            versions.live.insert(server.version);
    }
    for (auto& [name, service] : this->services) {
        if (!present.contains(name))
            present[name] = {};
    }
    for (auto& [name, versions] : present) {
        auto& service = this->services[name];
        if (service.versions.empty()) {
            service.credit = static_cast<double>(this->random()) / static_cast<double>(std::minstd_rand::max());
            // Of several versions at the start of this node, the one that has run for the longest time was in use before.
            if (!versions.all.empty())
                service.versions.insert(versions.oldest);
        }
        for (const auto& version : versions.all) {
            if (!service.versions.contains(version))
                service.heldSince.emplace(version, now);
        }
        std::erase_if(service.heldSince, [&versions = versions](const auto& entry) { return !versions.all.contains(entry.first); });
        service.versions = versions.all;
        service.liveVersions = std::move(versions.live);
    }
}

auto RolloutGate::answerReceived(const std::vector<RolloutShare>& shares, bool isComplete, TimePoint reportSent, TimePoint /*now*/) -> void
{
    if (!isComplete)
        return;
    this->current = shares;
    for (auto& [name, service] : this->services) {
        std::erase_if(service.heldSince, [reportSent](const auto& entry) { return entry.second <= reportSent; });
        if (service.stoppedAt <= reportSent) {
            service.stoppedAt = {};
            service.failuresInRow = 0;
        }
    }
    for (const auto& share : this->current)
        this->services[share.service].deadline = reportSent + share.left;
}

auto RolloutGate::update(TimePoint now) -> bool
{
    auto hasChanged = false;
    for (auto& [name, service] : this->services)
        hasChanged = std::erase_if(service.heldSince, [this, now](const auto& entry) { return now - entry.second >= this->maxHold; }) > 0 || hasChanged;
    return hasChanged;
}

auto RolloutGate::findShare(const std::string& service) const -> const RolloutShare*
{
    const auto found = std::find_if(this->current.begin(), this->current.end(), [&service](const RolloutShare& share) { return share.service == service && share.phase != RolloutPhase::RolledBack; });
    return found == this->current.end() ? nullptr : &*found;
}

auto RolloutGate::isBarred(const std::string& service, const std::string& version) const -> bool
{
    const auto isRolledBack = std::any_of(this->current.begin(), this->current.end(),
        [&service, &version](const RolloutShare& share) { return share.service == service && share.version == version && share.phase == RolloutPhase::RolledBack; });
    const auto known = this->services.find(service);
    return isRolledBack || (known != this->services.end() && known->second.heldSince.contains(version));
}

auto RolloutGate::hasRestrictions(const std::string& service) const -> bool
{
    const auto known = this->services.find(service);
    return (known != this->services.end() && !known->second.heldSince.empty())
        || std::any_of(this->current.begin(), this->current.end(), [&service](const RolloutShare& share) { return share.service == service; });
}

auto RolloutGate::accepts(const BackendServer& server, RolloutSide side) const -> bool
{
    if (this->isBarred(server.pool, server.version))
        return false;
    const auto* share = this->findShare(server.pool);
    if (side == RolloutSide::Any || !share)
        return side != RolloutSide::Next;
    return (share->version == server.version) == (side == RolloutSide::Next);
}

auto RolloutGate::sidesFor(const std::string& service, std::uint64_t id, bool isRepeat, TimePoint latestEnd, TimePoint now) -> std::vector<RolloutSide>
{
    const auto* share = this->findShare(service);
    if (!share)
        return { RolloutSide::Any };
    if (share->phase == RolloutPhase::Completed)
        return { RolloutSide::Next, RolloutSide::Any };
    auto& state = this->services[service];
    const auto hasNext = state.liveVersions.contains(share->version) && !this->isBarred(service, share->version);
    const auto hasEarlier = std::any_of(state.liveVersions.begin(), state.liveVersions.end(),
        [this, share, &service](const std::string& version) { return version != share->version && !this->isBarred(service, version); });
    if (!hasEarlier)
        return { RolloutSide::Next };
    if (!hasNext || share->share <= 0 || state.stoppedAt != TimePoint {})
        return { RolloutSide::Earlier };
    if (share->share >= 1)
        return { RolloutSide::Next };
    if (isRepeat)
        return { RolloutSide::Earlier };
    const auto chosen = this->chosenSides.find(id);
    const auto side = chosen != this->chosenSides.end() ? chosen->second : this->sideOfNew(state, *share, latestEnd, now);
    this->chosenSides[id] = side;
    return side == RolloutSide::Next ? std::vector { RolloutSide::Next, RolloutSide::Earlier } : std::vector { RolloutSide::Earlier };
}

auto RolloutGate::sideOfNew(Service& service, const RolloutShare& share, TimePoint latestEnd, TimePoint now) -> RolloutSide
{
    if (share.phase >= RolloutPhase::Shifting && std::min(latestEnd, now + share.drainTime) > service.deadline - shiftMargin)
        return RolloutSide::Next;
    service.credit = std::min(service.credit + share.share, 1.0 + share.share);
    if (service.credit < 1)
        return RolloutSide::Earlier;
    service.credit -= 1;
    return RolloutSide::Next;
}

auto RolloutGate::attemptEnded(const std::string& service, const std::string& version, bool hasFailed, TimePoint now) -> bool
{
    const auto* share = this->findShare(service);
    if (!share || share->version != version || isOver(share->phase))
        return false;
    auto& state = this->services[service];
    state.failuresInRow = hasFailed ? state.failuresInRow + 1 : 0;
    if (state.failuresInRow < maxFailuresInRow || state.stoppedAt != TimePoint {})
        return false;
    state.stoppedAt = now;
    return true;
}

auto RolloutGate::heldVersions() const -> std::map<std::string, std::set<std::string>>
{
    std::map<std::string, std::set<std::string>> held;
    for (const auto& [name, service] : this->services) {
        for (const auto& [version, since] : service.heldSince)
            held[name].insert(version);
    }
    return held;
}

} // namespace Primrosefork
