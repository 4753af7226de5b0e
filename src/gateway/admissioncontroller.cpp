#include "admissioncontroller.h"

#include "eventlog.h"
#include "hash.h"
#include "metrics.h"

#include <algorithm>
#include <nlohmann/json.hpp>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t maxWaiting = 512; ///< Requests that wait in a node at most.
constexpr std::size_t memoryDivisor = 16; ///< They may hold the memory of the node divided by this.
constexpr std::size_t requestOverhead = 2'048; ///< Memory that a waiting request holds beside its body, in bytes.
constexpr std::chrono::milliseconds minRemainingTime = 5ms; ///< Shortest time before the deadline at which a request is still sent.
constexpr std::chrono::milliseconds minFullTime = 20ms; ///< Shortest time for which a full server gets no requests; a request that it refuses again costs an attempt.
constexpr std::chrono::milliseconds maxFullTime = 250ms; ///< Longest such time.
constexpr std::int64_t minSlotsPerNode = 4; ///< Slots of a service for each node from which they are shared out; a part of one or two slots is used up by chance while others are idle.
constexpr auto evidenceLifetime = 2s; ///< Time after a full server was seen in which the service may still be full.
constexpr int maxFailedStarts = 4; ///< Waiting requests of one service that are tried in vain before the others wait for the next time; their servers may differ.

auto millisecondsBetween(WaitingRequest::TimePoint from, WaitingRequest::TimePoint to) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(to - from);
}

auto textOf(const std::optional<std::chrono::milliseconds>& time) -> std::string
{
    return time ? std::to_string(time->count()) : "";
}

} // namespace

AdmissionController::AdmissionController(const GatewaySettings& settings, const CacheAwarePolicy& policy, Metrics& metrics, const EventLog& log, Refuser refuser)
    : settings(settings)
    , policy(policy)
    , metrics(metrics)
    , log(log)
    , refuser(std::move(refuser))
    , queue(maxWaiting, settings.memory / memoryDivisor)
    , delays(hash64(settings.id + "/refusals"))
{
}

auto AdmissionController::setServers(const std::map<std::string, Candidates>& live) -> void
{
    for (auto& [name, service] : this->services) {
        service.servers = 0;
        service.slots = 0;
        service.zones.clear();
    }
    for (const auto& [name, servers] : live) {
        auto& service = this->serviceOf(name);
        for (const auto* server : servers) {
            ++service.servers;
            service.slots += server->slots;
            service.zones.insert(server->zone);
        }
    }
    std::erase_if(this->services, [](const auto& entry) { return entry.second.servers == 0 && entry.second.openRequests == 0; });
}

auto AdmissionController::serviceOf(const std::string& name) -> Service&
{
    return this->services.try_emplace(name, hash64(this->settings.id + "/" + name)).first->second;
}

auto AdmissionController::limitOf(const std::string& name, Service& service, TimePoint now) -> RoomLimit
{
    RoomShare::Input input;
    input.servers = service.servers;
    input.slots = service.slots;
    input.nodes = this->nodeCount;
    input.openRequests = service.openRequests;
    input.waitingRequests = static_cast<std::int64_t>(this->queue.count(name));
    input.zone = this->settings.zone;
    if (this->rooms) {
        input.demandShare = this->rooms->demandShare(name, now);
        for (const auto& zone : service.zones) {
            if (auto room = this->rooms->room(name, zone, now))
                input.rooms.push_back(std::move(*room));
        }
    }
    service.lastLimit = service.share.limit(input, now);
    return service.lastLimit;
}

auto AdmissionController::isAtLimit(const std::string& name, Service& service, TimePoint now) -> bool
{
    if (!service.estimate.isMeasured(now) || !this->isDivisible(service))
        return false;
    const auto limit = this->limitOf(name, service, now);
    return limit.openRequests && static_cast<double>(service.openRequests + 1) > *limit.openRequests;
}

auto AdmissionController::isHeldFor(const Service& service, TimePoint now) -> bool
{
    return service.servers <= maxSharedServers && service.estimate.isMeasured(now);
}

auto AdmissionController::isDivisible(const Service& service) const -> bool
{
    // A node that is alone sends all requests of the service itself.
    return this->nodeCount == 1 || service.slots >= minSlotsPerNode * static_cast<std::int64_t>(this->nodeCount);
}

auto AdmissionController::hasRoom(const Service& service, const BackendServer& server, TimePoint now) const -> bool
{
    const auto full = service.fullUntil.find(server.id);
    if (full != service.fullUntil.end() && now < full->second)
        return false;
    // What a few slots run changes too fast for what is known of them; only the servers' own refusals are.
    if (!this->isDivisible(service))
        return true;
    return this->policy.expectedLoad(server, now).requests < static_cast<double>(requestsAtOnce(server.slots));
}

auto AdmissionController::restrict(const ForwardRequest& request, Candidates& candidates, TimePoint now) -> void
{
    if (!this->isEnabled() || !request.mayBeHeld)
        return;
    const auto& name = request.service->name;
    const auto found = this->services.find(name);
    if (found == this->services.end() || !isHeldFor(found->second, now))
        return;
    auto& service = found->second;
    // Requests that wait already go first.
    if (this->trying != request.id && this->queue.count(name) > 0)
        return candidates.clear();
    std::erase_if(candidates, [this, &service, now](const auto* server) { return !this->hasRoom(service, *server, now); });
    if (candidates.empty() || !this->isAtLimit(name, service, now))
        return;
    if (service.lastLimit.isReported)
        return candidates.clear();
    // Without the leader's answer the node holds requests only if servers state that they are full.
    if (now - service.fullSeen >= evidenceLifetime)
        return;
    std::erase_if(candidates, [this, now](const auto* server) {
        const auto load = this->policy.expectedLoad(*server, now);
        return !load.isObserved || load.requests >= static_cast<double>(server->slots);
    });
}

auto AdmissionController::estimate(const ForwardRequest& request, Service& service, const Candidates& suitable, TimePoint now) -> Estimate
{
    Estimate result;
    auto routing = request.routingRequest();
    routing.zone = this->settings.zone;
    const auto rate = this->policy.prefillRate(request.service->name);
    auto isStartKnown = true;
    std::optional<std::chrono::milliseconds> least;
    for (const auto* server : suitable) {
        const auto load = this->policy.expectedLoad(*server, now);
        auto start = service.estimate.slotDelay(load.requests, static_cast<double>(server->slots), now);
        auto shortest = service.estimate.quickTime();
        if (server->kind == BackendKind::Engine) {
            const auto tokens = static_cast<double>(this->policy.expectedPrefillTokens(routing, *server, now));
            start = StartEstimate::prefillTime(load.pendingPrefillTokens + tokens, rate);
            shortest = StartEstimate::prefillTime(tokens, rate).value_or(0ms);
        }
        isStartKnown = isStartKnown && start;
        if (start)
            result.start = std::min(result.start.value_or(*start), *start);
        least = std::min(least.value_or(shortest), shortest);
    }
    if (!isStartKnown)
        result.start.reset();
    result.least = least.value_or(0ms);
    result.ahead = this->queue.countAhead(request.service->name, request.workspace ? request.workspace->name : "", request.priority());
    const auto limit = this->limitOf(request.service->name, service, now);
    const auto openLimit = std::max(static_cast<double>(service.openRequests), limit.openRequests.value_or(static_cast<double>(service.slots)));
    result.queue = service.estimate.queueDelay(static_cast<double>(result.ahead), openLimit, now);
    return result;
}

auto AdmissionController::hold(const ForwardRequest& request, const Candidates& suitable, TimePoint now) -> RoomDecision
{
    const auto found = this->services.find(request.service->name);
    if (!this->isEnabled() || suitable.empty() || found == this->services.end() || !isHeldFor(found->second, now))
        return {};
    // advance() adds a request again that it could not start.
    if (this->trying == request.id || this->queue.contains(request.id))
        return { RoomDecision::Outcome::Held, 0ms };
    const auto estimate = this->estimate(request, found->second, suitable, now);
    const auto remaining = millisecondsBetween(now, request.deadline);
    const auto refuse = [&](const char* cause) -> RoomDecision {
        this->logRefusal(request.service->name, request.fields.requestId, cause, estimate, request.deadline, now);
        return { RoomDecision::Outcome::Refused, this->refusalDelay(estimate, request.deadline, now) };
    };
    if (estimate.start.value_or(0ms) > remaining || estimate.queue.value_or(0ms) + estimate.least > remaining)
        return refuse("too_late");
    WaitingRequest waiting;
    waiting.id = request.id;
    waiting.requestId = request.fields.requestId;
    waiting.service = request.service->name;
    waiting.workspace = request.workspace ? request.workspace->name : "";
    waiting.priority = request.priority();
    waiting.tokens = request.fields.hasTokenCounts ? request.fields.promptTokens + request.fields.outputTokens : 0;
    waiting.bytes = request.bodyBytes + requestOverhead;
    waiting.received = request.received;
    waiting.deadline = request.deadline;
    waiting.latestStart = request.deadline - std::max(minRemainingTime, estimate.least);
    waiting.objectiveStart = request.route->objective > 0ms ? request.received + request.route->objective - estimate.least : waiting.latestStart;
    const auto added = this->queue.add(waiting, now);
    for (const auto& displaced : added.displaced)
        this->refuseHeld(displaced, "displaced", now);
    if (!added.isAdded)
        return refuse("queue_full");
    this->metrics.count("admission_held_total");
    this->updateGauges();
    return { RoomDecision::Outcome::Held, 0ms };
}

auto AdmissionController::refusedDelay(const ForwardRequest& request, const Candidates& suitable, TimePoint now) -> std::optional<std::chrono::milliseconds>
{
    const auto found = this->services.find(request.service->name);
    if (!this->isEnabled() || !request.mayBeHeld || suitable.empty() || found == this->services.end())
        return std::nullopt;
    const auto estimate = this->estimate(request, found->second, suitable, now);
    this->logRefusal(request.service->name, request.fields.requestId, "no_attempt_left", estimate, request.deadline, now);
    return this->refusalDelay(estimate, request.deadline, now);
}

auto AdmissionController::advance(const Starter& starter, TimePoint now) -> void
{
    // An answer to a caller may bring its next request, which must not start a second pass.
    if (this->queue.size() == 0 || this->trying)
        return;
    for (const auto& expired : this->queue.takeExpired(now))
        this->refuseHeld(expired, "too_late", now);
    for (const auto& name : this->queue.services()) {
        std::vector<WaitingRequest> failed;
        while (failed.size() < maxFailedStarts) {
            const auto found = this->services.find(name);
            if (found != this->services.end() && this->isAtLimit(name, found->second, now) && found->second.lastLimit.isReported)
                break;
            auto next = this->queue.take(name, now);
            if (!next)
                break;
            this->trying = next->id;
            const auto outcome = starter(next->id);
            this->trying.reset();
            if (outcome == Attempt::Waits)
                failed.push_back(std::move(*next));
            else if (outcome == Attempt::Started)
                this->metrics.observe("admission_wait_seconds", now - next->received);
        }
        for (const auto& request : failed)
            this->queue.putBack(request, now);
    }
    this->updateGauges();
}

auto AdmissionController::withdraw(std::uint64_t id) -> void
{
    if (this->queue.remove(id))
        this->updateGauges();
}

auto AdmissionController::attemptBegan(const ForwardRequest& request, TimePoint now) -> void
{
    if (!this->isEnabled())
        return;
    if (this->openAttempts.emplace(request.id, OpenAttempt { request.service->name, now }).second)
        ++this->serviceOf(request.service->name).openRequests;
}

auto AdmissionController::attemptEnded(const ForwardRequest& request, AttemptEnd end, TimePoint now) -> void
{
    const auto attempt = this->openAttempts.find(request.id);
    if (attempt == this->openAttempts.end())
        return;
    auto& service = this->serviceOf(attempt->second.service);
    --service.openRequests;
    if (end == AttemptEnd::Finished)
        service.estimate.answered(millisecondsBetween(attempt->second.sent, now), now);
    this->openAttempts.erase(attempt);
}

auto AdmissionController::serverFull(const BackendServer& server, TimePoint now) -> void
{
    if (!this->isEnabled())
        return;
    auto& service = this->serviceOf(server.pool);
    service.fullSeen = now;
    std::erase_if(service.fullUntil, [now](const auto& entry) { return entry.second <= now; });
    // The mean time after which one of the server's slots becomes free.
    const auto slotTime = service.estimate.meanTime() / std::max<std::int64_t>(1, server.slots);
    service.fullUntil[server.id] = now + std::clamp(slotTime, minFullTime, maxFullTime);
    this->metrics.count("admission_servers_full_total");
}

auto AdmissionController::replyReceived(const BackendServer& server, const ReplyFields& reply, TimePoint now) -> void
{
    if (!this->isEnabled() || !reply.load)
        return;
    auto& service = this->serviceOf(server.pool);
    if (reply.load->running + reply.load->waiting >= server.slots)
        service.fullSeen = now;
    else
        service.fullUntil.erase(server.id);
}

auto AdmissionController::refusalDelay(const Estimate& estimate, TimePoint deadline, TimePoint now) -> std::chrono::milliseconds
{
    auto available = estimate.queue;
    if (estimate.start)
        available = std::max(available.value_or(0ms), std::max(0ms, *estimate.start - estimate.least));
    return this->delays.next(available, millisecondsBetween(now, deadline));
}

auto AdmissionController::refuseHeld(const WaitingRequest& request, const char* cause, TimePoint now) -> void
{
    Estimate estimate;
    estimate.ahead = this->queue.countAhead(request.service, request.workspace, request.priority);
    if (const auto found = this->services.find(request.service); found != this->services.end()) {
        const auto limit = found->second.lastLimit.openRequests.value_or(static_cast<double>(found->second.slots));
        estimate.queue = found->second.estimate.queueDelay(static_cast<double>(estimate.ahead), limit, now);
    }
    this->logRefusal(request.service, request.requestId, cause, estimate, request.deadline, now);
    this->refuser(request.id, this->refusalDelay(estimate, request.deadline, now));
}

auto AdmissionController::logRefusal(const std::string& name, const std::string& requestId, const char* cause, const Estimate& estimate, TimePoint deadline, TimePoint now) -> void
{
    const auto& service = this->serviceOf(name);
    this->metrics.count(std::string("admission_refusals_total{cause=\"") + cause + "\"}");
    this->log.write(Event::NoRoom,
        { { "request", requestId }, { "service", name }, { "cause", cause }, { "remaining_ms", std::to_string(millisecondsBetween(now, deadline).count()) },
            { "start_ms", textOf(estimate.start) }, { "queue_ms", textOf(estimate.queue) }, { "least_ms", std::to_string(estimate.least.count()) },
            { "ahead", std::to_string(estimate.ahead) }, { "open", std::to_string(service.openRequests) },
            { "limit", service.lastLimit.openRequests ? std::to_string(*service.lastLimit.openRequests) : "" }, { "limit_from", service.lastLimit.isReported ? "leader" : "own" },
            { "mean_ms", std::to_string(service.estimate.meanTime().count()) }, { "prefill_per_second", std::to_string(this->policy.prefillRate(name)) } });
}

auto AdmissionController::updateGauges() -> void
{
    this->metrics.setGauge("admission_waiting", static_cast<double>(this->queue.size()));
    this->metrics.setGauge("admission_waiting_bytes", static_cast<double>(this->queue.bytes()));
}

auto AdmissionController::dumpState() const -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto& [name, service] : this->services) {
        const auto& limit = service.lastLimit;
        list.push_back({ { "service", name }, { "servers", service.servers }, { "slots", service.slots }, { "open", service.openRequests },
            { "waiting", this->queue.count(name) }, { "limit", limit.openRequests ? nlohmann::json(*limit.openRequests) : nlohmann::json() },
            { "limit_from", limit.isReported ? "leader" : "own" }, { "mean_ms", service.estimate.meanTime().count() }, { "prefill_per_second", this->policy.prefillRate(name) } });
    }
    return { { "enabled", this->isEnabled() }, { "waiting", this->queue.size() }, { "waiting_bytes", this->queue.bytes() }, { "services", std::move(list) } };
}

} // namespace Primrosefork
