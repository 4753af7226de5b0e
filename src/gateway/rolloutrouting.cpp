#include "rolloutrouting.h"

#include "eventlog.h"
#include "hash.h"
#include "metrics.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>

namespace Primrosefork {

namespace {

constexpr double coldPart = 0.8; ///< Part of a prompt that the server has to prefill for the start of the answer to be compared; a new version has nothing cached.

constexpr double recentMaximumDecay = 0.995; ///< A maximum that is not reached again halves within 140 answers.
constexpr double timeMargin = 1.3; ///< On the longest recent times.
constexpr std::int64_t minPaceEvents = 4; ///< Events from which a stream has a mean time between them.

auto updateMaximum(double& maximum, std::chrono::duration<double> time) -> void
{
    maximum = std::max(time.count(), maximum * recentMaximumDecay);
}

} // namespace

RolloutRouting::RolloutRouting(CacheAwarePolicy& routingPolicy, const GatewaySettings& settings, GatewayBoard& board, Metrics& metrics, const EventLog& log)
    : policy(routingPolicy)
    , settings(settings)
    , metrics(metrics)
    , log(log)
    , gate(settings.bounds.configuration, hash64(settings.id + "/rollout"))
{
    board.rollouts.changed.connect([this](const RolloutsInForce& rollouts) { this->rolloutsChanged(rollouts); });
}

auto RolloutRouting::rolloutsChanged(const RolloutsInForce& rollouts) -> void
{
    if (!this->isEnabled())
        return;
    const auto now = EventLoop::now();
    this->gate.answerReceived(rollouts.shares, rollouts.isComplete, rollouts.reportSent, now);
    if (rollouts.isComplete)
        this->counter.setRollouts(rollouts.shares, rollouts.reportSent);
    for (const auto& share : this->gate.shares())
        this->metrics.setGauge("rollout_share{service=\"" + share.service + "\",version=\"" + share.version + "\"}", share.share);
    this->sides.clear();
}

auto RolloutRouting::noteTimes(const RolloutCounter::Attempt& attempt, TimePoint now) -> void
{
    auto& route = this->times[attempt.route];
    updateMaximum(route.answer, now - attempt.sent);
    if (attempt.events < minPaceEvents)
        return;
    updateMaximum(route.start, attempt.firstEvent - attempt.sent);
    updateMaximum(route.pace, std::chrono::duration<double>(attempt.lastEvent - attempt.firstEvent) / static_cast<double>(attempt.events - 1));
}

auto RolloutRouting::latestEnd(const ForwardRequest& request, TimePoint now) const -> TimePoint
{
    const auto found = this->times.find(rolloutRouteKey(request.route->name));
    if (found == this->times.end())
        return request.deadline;
    const auto& route = found->second;
    auto seconds = route.answer;
    if (request.isStream() && request.fields.hasTokenCounts && route.pace > 0 && request.service->engine) {
        const auto events = static_cast<double>(request.fields.outputTokens) / static_cast<double>(request.service->engine->tokensPerEvent);
        seconds = std::min(route.answer, route.start + route.pace * events);
    }
    return std::min(request.deadline, now + std::chrono::duration_cast<TimePoint::duration>(std::chrono::duration<double>(timeMargin * seconds)));
}

auto RolloutRouting::requestReceived(const std::string& service) -> void
{
    this->counter.requestReceived(service);
}

auto RolloutRouting::indexesFor(const ForwardRequest& request, const ServerIndex& all, bool isRepeat, TimePoint now) -> std::vector<const ServerIndex*>
{
    if (!this->isEnabled())
        return { &all };
    if (this->gate.update(now))
        this->sides.clear();
    const auto& service = request.service->name;
    this->requests[request.id] = { rolloutRouteKey(request.route->name), request.isStream() };
    if (!this->gate.hasRestrictions(service))
        return { &all };
    std::vector<const ServerIndex*> indexes;
    for (const auto side : this->gate.sidesFor(service, request.id, isRepeat, this->latestEnd(request, now), now)) {
        auto found = this->sides.find({ service, side });
        if (found == this->sides.end()) {
            std::vector<const BackendServer*> accepted;
            std::copy_if(all.servers().begin(), all.servers().end(), std::back_inserter(accepted), [this, side](const BackendServer* server) { return this->gate.accepts(*server, side); });
            found = this->sides.try_emplace({ service, side }).first;
            if (accepted.size() != all.servers().size())
                found->second.emplace(accepted).setStreamEngines(this->streamEngines);
        }
        indexes.push_back(found->second ? &*found->second : &all);
    }
    return indexes;
}

auto RolloutRouting::requestEnded(std::uint64_t id) -> void
{
    this->gate.requestEnded(id);
    this->requests.erase(id);
}

auto RolloutRouting::serversChanged(const BackendServers& servers, TimePoint now) -> void
{
    this->sides.clear();
    if (this->isEnabled())
        this->gate.serversChanged(servers, now);
}

auto RolloutRouting::setStreamEngines(const std::set<std::string>& ids) -> void
{
    this->streamEngines = ids;
    this->sides.clear();
}

auto RolloutRouting::addToReport(NodeReport& report, TimePoint now) -> void
{
    if (this->isEnabled())
        report.rollouts = this->counter.reports(now);
}

auto RolloutRouting::choose(const RoutingRequest& request, std::span<const BackendServer* const> candidates, TimePoint now) -> const BackendServer*
{
    return this->policy.choose(request, candidates, now);
}

auto RolloutRouting::loadObserved(const BackendServer& server, const ObservedLoad& load, TimePoint now) -> void
{
    this->policy.loadObserved(server, load, now);
}

auto RolloutRouting::requestSent(const RoutingRequest& request, const BackendServer& server, TimePoint now) -> void
{
    if (this->isEnabled()) {
        RolloutCounter::Attempt attempt;
        attempt.service = server.pool;
        attempt.version = server.version;
        attempt.serverHash = hash64(server.id);
        if (const auto known = this->requests.find(request.id); known != this->requests.end()) {
            attempt.route = known->second.route;
            attempt.isStream = known->second.isStream;
        }
        // What is cached has to be asked before the policy takes the prompt as cached.
        attempt.isCold = !request.isResumed && static_cast<double>(this->policy.expectedPrefillTokens(request, server, now)) >= coldPart * static_cast<double>(request.promptTokens);
        attempt.sent = now;
        this->counter.attemptSent(request.id, std::move(attempt));
    }
    this->policy.requestSent(request, server, now);
}

auto RolloutRouting::firstPieceReceived(const RoutingRequest& request, const BackendServer& server, TimePoint now) -> void
{
    this->counter.eventReceived(request.id, now);
    this->policy.firstPieceReceived(request, server, now);
}

auto RolloutRouting::pieceReceived(const RoutingRequest& request, const BackendServer& server, std::int64_t tokens, TimePoint now) -> void
{
    this->counter.eventReceived(request.id, now);
    this->policy.pieceReceived(request, server, tokens, now);
}

auto RolloutRouting::requestEnded(const RoutingRequest& request, const BackendServer& server, AttemptEnd end, TimePoint now) -> void
{
    if (this->isEnabled()) {
        const auto attempt = this->counter.attemptEnded(request.id, end, now);
        if (!attempt.service.empty())
            this->noteTimes(attempt, now);
        if (end != AttemptEnd::Cancelled && this->gate.attemptEnded(attempt.service, attempt.version, RolloutCounter::isFailure(end), now)) {
            this->metrics.count("rollout_local_stops_total");
            this->log.write(Event::VersionStopped, { { "service", attempt.service }, { "version", attempt.version }, { "backend", server.id } });
        }
    }
    this->policy.requestEnded(request, server, end, now);
}

auto RolloutRouting::dumpState() const -> nlohmann::json
{
    auto shares = nlohmann::json::array();
    for (const auto& share : this->gate.shares())
        shares.push_back({ { "service", share.service }, { "version", share.version }, { "phase", nameOf(share.phase) }, { "share", share.share }, { "step", share.step } });
    auto counts = nlohmann::json::array();
    for (const auto& report : this->counter.reports(EventLoop::now()))
        counts.push_back({ { "service", report.service }, { "version", report.version }, { "received", report.received }, { "sent", report.sent }, { "open_at_earlier", report.openAtEarlier } });
    return { { "shares", std::move(shares) }, { "held_back", this->gate.heldVersions() }, { "counts", std::move(counts) } };
}

} // namespace Primrosefork
