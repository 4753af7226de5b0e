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

auto ForwardController::chooseServer(const ForwardRequest& request, const std::set<std::string>& excluded, EventLoop::TimePoint now) -> const BackendServer*
{
    const auto found = this->serversByService.find(request.service->name);
    if (found == this->serversByService.end())
        return nullptr;
    auto routing = request.routingRequest();
    routing.zone = this->settings.zone;
    if (this->zoneSelector)
        this->zoneSelector->selectZone(request.service->name, routing, now);
    for (const auto* index : this->rollouts.indexesFor(request, found->second, !excluded.empty(), now)) {
        auto candidates = this->suitableServers(request, *index, excluded, now, routing.overflowZone);
        std::erase_if(candidates, [this, &request](const auto* server) { return !this->hasFreeConnection(*server, *request.service); });
        this->admissions.restrict(request, candidates, now);
        const auto* server = this->policy.choose(routing, candidates, now);
        if (!server)
            continue;
        if (this->zoneSelector)
            this->zoneSelector->serverChosen(routing, *server);
        this->readTokens[request.service->name] += this->policy.expectedPrefillTokens(routing, *server, now);
        return server;
    }
    return nullptr;
}

auto ForwardController::suitableServers(const ForwardRequest& request, const ServerIndex& index, const std::set<std::string>& excluded, EventLoop::TimePoint now,
    std::string_view overflowZone) -> std::vector<const BackendServer*>
{
    const auto routing = request.routingRequest();
    auto candidates = index.candidates(homePrefixOf(routing), isLongStream(routing), this->random, overflowZone);
    std::erase_if(candidates, [this, &excluded, now](const auto* server) {
        return excluded.contains(server->id) || !this->availability.isAvailable(*server, now) || !this->limits.takesRequest(*server);
    });
    return candidates;
}

auto ForwardController::suitableServers(const ForwardRequest& request, const std::set<std::string>& excluded, EventLoop::TimePoint now) -> std::vector<const BackendServer*>
{
    std::vector<const BackendServer*> servers;
    const auto found = this->serversByService.find(request.service->name);
    if (found == this->serversByService.end())
        return servers;
    for (const auto* index : this->rollouts.indexesFor(request, found->second, !excluded.empty(), now)) {
        const auto some = this->suitableServers(request, *index, excluded, now);
        servers.insert(servers.end(), some.begin(), some.end());
    }
    return servers;
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
