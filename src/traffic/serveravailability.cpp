#include "serveravailability.h"

#include <algorithm>
#include <array>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds noticeableExtension = 250ms; ///< A pause that many answers ask for at one moment counts as one.

constexpr std::array<std::string_view, 3> reasonNames { "leaving", "paused", "address taken" };

} // namespace

auto nameOf(UnavailableReason reason) -> std::string_view
{
    return reasonNames[static_cast<std::size_t>(reason)];
}

auto ServerAvailability::stateFor(const BackendServer& server) -> State*
{
    auto& state = this->states.try_emplace(server.id, State { server.startedAt, {}, {}, {}, {} }).first->second;
    // The answer may come from a server that has been replaced under the same id since the request was sent.
    if (server.startedAt < state.startedAt)
        return nullptr;
    if (server.startedAt != state.startedAt)
        state = { server.startedAt, {}, {}, state.takenUntil, {} };
    return &state;
}

auto ServerAvailability::find(const BackendServer& server) const -> const State*
{
    const auto found = this->states.find(server.id);
    return found == this->states.end() || found->second.startedAt != server.startedAt ? nullptr : &found->second;
}

auto ServerAvailability::leavingReported(const BackendServer& server, TimePoint now) -> bool
{
    auto* state = this->stateFor(server);
    if (!state || state->leavingSince)
        return false;
    state->leavingSince = now;
    return true;
}

auto ServerAvailability::pauseRequested(const BackendServer& server, std::chrono::milliseconds duration, TimePoint now) -> bool
{
    auto* state = duration > 0ms ? this->stateFor(server) : nullptr;
    if (!state)
        return false;
    const auto end = now + std::min(duration, maxPause);
    const auto isNoticeable = end - std::max(now, state->pausedUntil) >= noticeableExtension || state->pausedUntil <= now;
    state->pausedUntil = std::max(state->pausedUntil, end);
    return isNoticeable;
}

auto ServerAvailability::addressTaken(const std::string& id, TimePoint now) -> bool
{
    return std::exchange(this->states[id].takenUntil, now + addressTakenTime) <= now;
}

auto ServerAvailability::isAvailable(const BackendServer& server, TimePoint now) const -> bool
{
    const auto found = this->states.find(server.id);
    if (found == this->states.end())
        return true;
    const auto* state = this->find(server);
    return found->second.takenUntil <= now && (!state || (!state->leavingSince && state->pausedUntil <= now));
}

auto ServerAvailability::leavingFor(const BackendServer& server, TimePoint now) const -> std::optional<std::chrono::milliseconds>
{
    const auto* state = this->find(server);
    if (!state || !state->leavingSince)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *state->leavingSince);
}

auto ServerAvailability::mayResumeCopy(const BackendServer& server, std::chrono::milliseconds drain, TimePoint now) const -> bool
{
    const auto* state = this->find(server);
    return !state || (state->pausedUntil <= now && (!state->leavingSince || now - *state->leavingSince < drain));
}

auto ServerAvailability::nextAvailable(std::span<const BackendServer* const> servers, TimePoint now, const BusyUntil& busyUntil) const -> std::optional<TimePoint>
{
    std::optional<TimePoint> next;
    for (const auto* server : servers) {
        const auto* state = this->find(*server);
        if (state && state->leavingSince)
            continue;
        const auto isPaused = state && state->pausedUntil > now;
        const auto until = !isPaused && busyUntil ? busyUntil(*server) : std::nullopt;
        if (!isPaused && !until)
            return std::nullopt;
        next = std::min(next.value_or(TimePoint::max()), until.value_or(isPaused ? state->pausedUntil : now));
    }
    return next;
}

auto ServerAvailability::retain(const BackendServers& servers, TimePoint now) -> void
{
    for (auto& [id, state] : this->states) {
        const auto registered = servers.find(id);
        if (registered == servers.end()) {
            if (!state.absentSince)
                state.absentSince = now;
            continue;
        }
        state.absentSince.reset();
        if (registered->second.startedAt != state.startedAt)
            state = { registered->second.startedAt, {}, {}, state.takenUntil, {} };
    }
    std::erase_if(this->states, [now](const auto& entry) {
        const auto& state = entry.second;
        const auto isOver = !state.leavingSince && state.pausedUntil <= now && state.takenUntil <= now;
        // Without a start time, a server that comes back cannot be told from one that was started anew.
        return isOver || (state.absentSince && (state.startedAt == 0 || now - *state.absentSince >= retentionTime));
    });
}

auto ServerAvailability::entries(TimePoint now) const -> std::vector<Entry>
{
    std::vector<Entry> list;
    for (const auto& [id, state] : this->states) {
        if (state.leavingSince)
            list.push_back({ id, UnavailableReason::Leaving, {} });
        else if (state.pausedUntil > now)
            list.push_back({ id, UnavailableReason::Paused, state.pausedUntil });
        else if (state.takenUntil > now)
            list.push_back({ id, UnavailableReason::AddressTaken, state.takenUntil });
    }
    return list;
}

} // namespace Primrosefork
