#include "forwardcontroller.h"

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds waitCheckPeriod = 20ms; ///< Period at which held requests are tried again.

} // namespace

auto ForwardController::advanceHeld() -> void
{
    this->admissions.advance([this](std::uint64_t id) {
        const auto run = this->runs.find(id);
        if (run == this->runs.end())
            return AdmissionController::Attempt::Ended;
        run->second->advance();
        if (run->second->isWaiting())
            return AdmissionController::Attempt::Waits;
        return run->second->serverId().empty() ? AdmissionController::Attempt::Ended : AdmissionController::Attempt::Started;
    },
        EventLoop::now());
}

auto ForwardController::suitableServers(const ForwardRequest& request, const std::set<std::string>& excluded, EventLoop::TimePoint now, std::string_view overflowZone) -> std::vector<const BackendServer*>
{
    const auto found = this->serversByService.find(request.service->name);
    if (found == this->serversByService.end())
        return {};
    const auto routing = request.routingRequest();
    auto candidates = found->second.candidates(homePrefixOf(routing), isLongStream(routing), this->random, overflowZone);
    std::erase_if(candidates, [this, &excluded, now](const auto* server) {
        return excluded.contains(server->id) || !this->availability.isAvailable(*server, now) || !this->limits.takesRequest(*server);
    });
    return candidates;
}

auto ForwardController::roomDelay(const ForwardRequest& request, EventLoop::TimePoint now) -> std::optional<std::chrono::milliseconds>
{
    return this->admissions.isEnabled() ? this->admissions.refusedDelay(request, this->suitableServers(request, {}, now), now) : std::nullopt;
}

auto ForwardController::requestRoom(const ForwardRequest& request, const std::set<std::string>& excluded, EventLoop::TimePoint now) -> RoomDecision
{
    if (!this->admissions.isEnabled())
        return {};
    const auto decision = this->admissions.hold(request, this->suitableServers(request, excluded, now), now);
    if (decision.outcome == RoomDecision::Outcome::Held && !this->waitTimer.isRunning())
        this->waitTimer.start(waitCheckPeriod);
    return decision;
}

} // namespace Primrosefork
