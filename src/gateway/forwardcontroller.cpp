#include "forwardcontroller.h"

#include "eventlog.h"
#include "hash.h"
#include "hopheaders.h"
#include "metrics.h"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds connectTimeout = 700ms; ///< Allows for two retransmissions of a lost packet.
constexpr std::chrono::milliseconds waitCheckPeriod = 20ms; ///< Period at which requests that wait for a server are tried again.
constexpr std::chrono::milliseconds moveCheckPeriod = 100ms; ///< Period at which runs are tried to be moved; a run can be moved only after its first event.
constexpr std::chrono::milliseconds freshnessMargin = 150ms; ///< Allowance for clock drift and for requests that wait to be read.
constexpr std::chrono::milliseconds notReadyRetryDelay = 500ms; ///< Retry-After for callers while the node has no configuration, a stale one, or no service for the route.
constexpr std::chrono::milliseconds stoppingRetryDelay = 100ms; ///< Retry-After while the node stops; another node can serve the caller at once.
constexpr std::chrono::milliseconds minRetrySpread = 100ms; ///< Shortest range over which callers return after a pause of all servers; otherwise half of the time left.
constexpr std::chrono::milliseconds maxRetrySpread = 1s; ///< Longest such range.
constexpr double connectionPart = 0.8; ///< Fraction of the connections accepted by a server that all nodes together open.
constexpr std::int64_t minConnections = 4; ///< Connections that a node may open to each server, however many nodes there are.
constexpr double loadSmoothing = 0.12; ///< Weight of the newest report: engines are ordered by a mean over several seconds.
constexpr double demandSmoothing = 0.25; ///< Weight of the newest report in the rate of requests, which decides on shares of servers' limits.
constexpr std::chrono::milliseconds defaultDeadline = 60s; ///< Deadline of requests for which neither caller nor route sets one.

/** Returns what the time to answer \a request grows with. */
auto answerSize(const ForwardRequest& request) -> double
{
    return request.isStream() && request.fields.hasTokenCounts ? static_cast<double>(request.fields.outputTokens) : 1;
}

auto pathOf(const std::string& target) -> std::string
{
    return target.substr(0, target.find('?'));
}

/** Returns the host in the Host header \a text in lower case, without the port. */
auto hostOf(std::string text) -> std::string
{
    text.erase(std::min(text.find(':'), text.size()));
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return text;
}

} // namespace

ForwardController::ForwardController(EventLoop& loop, const HeaderCodec& dialect, RunMover& mover, const GatewaySettings& settings, GatewayBoard& board,
    QuotaController& quotas, ServerLimitController& limits, SharedLoadController& loads, PromptMonitor& prompts, BufferBudget& buffers, const WallClock& clock, Metrics& metrics, const EventLog& log)
    : loop(loop)
    , dialect(dialect)
    , settings(settings)
    , board(board)
    , quotas(quotas)
    , limits(limits)
    , loads(loads)
    , prompts(prompts)
    , clock(clock)
    , metrics(metrics)
    , log(log)
    , pool(loop, dialect, connectTimeout)
    , policy(hash64(settings.id))
    , admissions(settings, this->policy, metrics, log, [this](std::uint64_t id, std::chrono::milliseconds retryAfter) {
        if (const auto run = this->runs.find(id); run != this->runs.end())
            run->second->refuseWaiting("no_room", retryAfter);
    })
    , rollouts(this->policy, settings, board, metrics, log)
    , usage(settings.bounds.usageWindow)
    , context { loop, this->pool, dialect, *this, mover, this->rollouts, prompts, buffers, metrics, log, [this](const std::string& workspace, std::chrono::milliseconds ago) {
                   this->usage.requestBegan(workspace, this->clock.at(EventLoop::now()) - ago);
               } }
    , waitTimer(loop, [this] { this->advanceWaiting(); })
    , moveTimer(loop, [this] { this->moveRuns(this->board.backendServers.value()); })
    , random(static_cast<std::minstd_rand::result_type>(hash64(settings.id + "/split")))
    , nodeCount(board.fleetShare.value().nodes)
    , lastReport(EventLoop::now())
{
    if (loads.isShared()) {
        this->policy.setOtherLoads(&loads.view());
        this->admissions.setRoomSource(&loads.view());
    }
    this->admissions.setNodeCount(this->nodeCount);
    board.backendServers.changed.connect([this](const BackendServers& servers) { this->serversChanged(servers); });
    board.fleetShare.changed.connect([this](const FleetShare& share) { this->shareChanged(share); });
}

ForwardController::~ForwardController() = default;

auto ForwardController::isConfigurationFresh() const -> bool
{
    const auto& traffic = this->board.traffic.value();
    return traffic.table && BootClock::now() - traffic.confirmed < this->settings.bounds.revocation - freshnessMargin;
}

auto ForwardController::handle(const std::shared_ptr<CallerExchange>& exchange) -> void
{
    const auto& message = exchange->request();
    ForwardRequest request;
    request.id = this->nextId++;
    request.received = message.received;
    request.fields = this->dialect.readCaller(message.head.headers);
    request.table = this->board.traffic.value().table;
    if (const auto refusal = this->admit(request, message.head))
        return this->refuse(*exchange, request, *refusal);
    if (!request.workspace)
        return this->start(std::move(request), exchange);
    const auto& workspace = *request.workspace;
    const auto units = request.quotaUnits;
    this->quotas.request(workspace, units, [this, exchange, heldRequest = std::make_shared<ForwardRequest>(std::move(request))](std::optional<std::chrono::milliseconds> wait) {
        this->quotaDecided(std::move(*heldRequest), exchange, wait);
    });
}

auto ForwardController::quotaDecided(ForwardRequest request, const std::shared_ptr<CallerExchange>& exchange, std::optional<std::chrono::milliseconds> wait) -> void
{
    if (wait)
        return this->refuse(*exchange, request, { HttpStatus::tooManyRequests, "over_quota", wait });
    // The caller may have disconnected while the leader's decision was pending.
    if (!exchange->isOver())
        this->start(std::move(request), exchange);
}

auto ForwardController::admit(ForwardRequest& request, const MessageHead& head) -> std::optional<Refusal>
{
    if (!request.table)
        return Refusal { HttpStatus::unavailable, "no_configuration", notReadyRetryDelay };
    const auto host = head.headers.get("Host");
    if (!host || head.headers.count("Host") != 1 || !head.target.starts_with('/'))
        return Refusal { HttpStatus::badRequest, "bad_target", {} };
    request.route = request.table->route(hostOf(*host), pathOf(head.target));
    // A permanent refusal requires a configuration that is known to be current.
    const auto isFresh = this->isConfigurationFresh();
    if (!request.route)
        return isFresh ? Refusal { HttpStatus::notFound, "no_route", {} } : Refusal { HttpStatus::unavailable, "stale_configuration", notReadyRetryDelay };
    if (!request.route->isPublic && request.table->hasWorkspaces()) {
        if (!isFresh)
            return Refusal { HttpStatus::unavailable, "stale_configuration", notReadyRetryDelay };
        if (const auto refusal = this->admitWorkspace(request))
            return refusal;
    }
    request.service = request.table->service(
        serviceFor(*request.route, static_cast<double>(this->random() - std::minstd_rand::min()) / static_cast<double>(std::minstd_rand::max())));
    if (!request.service)
        return Refusal { HttpStatus::unavailable, "no_service", notReadyRetryDelay };
    ++this->receivedRequests[request.service->name];
    this->rollouts.requestReceived(request.service->name);
    if (const auto wait = this->pauseLeft(request.service->name, EventLoop::now()))
        return Refusal { HttpStatus::unavailable, "servers_paused", wait };
    if (const auto left = this->prompts.quarantineLeft(request.service->name, request.fields.promptParts, EventLoop::now()))
        return Refusal { HttpStatus::unavailable, "quarantined_prompt", left };
    return this->admitUntilDeadline(request);
}

auto ForwardController::admitUntilDeadline(ForwardRequest& request) -> std::optional<Refusal>
{
    auto left = request.fields.deadline.value_or(defaultDeadline);
    if (request.route->timeout > 0ms)
        left = std::min(left, request.route->timeout);
    request.deadline = request.received + left;
    if (!this->isAnsweredInTime(request))
        return Refusal { HttpStatus::unavailable, "stopping", stoppingRetryDelay };
    return std::nullopt;
}

auto ForwardController::admitWorkspace(ForwardRequest& request) -> std::optional<Refusal>
{
    request.workspace = request.fields.credential ? request.table->workspaceOf(*request.fields.credential) : nullptr;
    if (!request.workspace)
        return Refusal { HttpStatus::unauthorized, "unknown_credential", {} };
    const auto& quota = request.workspace->quota;
    request.quotaUnits = 1;
    if (quota.countsTokens) {
        const auto tokens = request.fields.hasTokenCounts ? request.fields.promptTokens + request.fields.outputTokens : quota.defaultRequestTokens;
        request.quotaUnits = static_cast<double>(tokens);
    }
    return std::nullopt;
}

auto ForwardController::refuse(CallerExchange& exchange, const ForwardRequest& request, const Refusal& refusal) -> void
{
    HttpHeaders headers;
    if (refusal.retryAfter)
        headers.add("Retry-After", retryAfterValue(*refusal.retryAfter));
    this->metrics.count(std::string("refusals_total{reason=\"") + refusal.reason + "\"}");
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - this->board.traffic.value().confirmed);
    this->log.write(Event::RequestRefused,
        { { "request", request.fields.requestId }, { "status", std::to_string(refusal.status) }, { "reason", refusal.reason },
            { "target", exchange.request().head.target }, { "workspace", request.workspace ? request.workspace->name : "" },
            { "units", std::to_string(static_cast<std::int64_t>(request.quotaUnits)) },
            { "quota_per_second", request.workspace ? std::to_string(request.workspace->quota.perSecond) : "" },
            { "retry_ms", std::to_string(refusal.retryAfter.value_or(0ms).count()) },
            { "configuration", request.table ? std::to_string(request.table->configuration().version) : "" }, { "confirmed_ms_ago", std::to_string(age.count()) } });
    exchange.respond(refusal.status, headers, "");
}

auto ForwardController::isAnsweredInTime(const ForwardRequest& request) const -> bool
{
    if (!this->answersDue || request.deadline <= *this->answersDue)
        return true;
    const auto expected = this->answerTimes.expected(request.route->name, answerSize(request));
    return expected && EventLoop::now() + *expected < *this->answersDue;
}

auto ForwardController::answerBefore(EventLoop::TimePoint moment) -> void
{
    this->answersDue = moment;
    for (const auto& [id, run] : this->runs) {
        if (this->admissions.isHeld(id) && !this->isAnsweredInTime(run->request()))
            run->refuseWaiting("stopping", stoppingRetryDelay);
        run->limitDeadline(moment);
    }
}

auto ForwardController::start(ForwardRequest request, const std::shared_ptr<CallerExchange>& exchange) -> void
{
    // The stop may have begun while the leader's decision on the quota was pending.
    if (!this->isAnsweredInTime(request))
        return this->refuse(*exchange, request, { HttpStatus::unavailable, "stopping", stoppingRetryDelay });
    request.deadline = std::min(request.deadline, this->answersDue.value_or(request.deadline));
    const auto id = request.id;
    this->budgetOf(request.service->name).requestReceived(request.received);
    auto run = std::make_unique<ForwardRun>(this->context, std::move(request), exchange, [this, id] {
        // The run is still on the call stack, so it is destroyed from the event loop.
        this->loop.post([this, id] { this->runEnded(id); });
    });
    auto& started = *run;
    this->runs.emplace(id, std::move(run));
    started.begin();
    if (this->admissions.heldCount() > 1)
        this->advanceHeld();
    if (started.isWaiting() && !this->waitTimer.isRunning())
        this->waitTimer.start(waitCheckPeriod);
}

auto ForwardController::runEnded(std::uint64_t id) -> void
{
    const auto found = this->runs.find(id);
    const auto& request = found->second->request();
    if (const auto time = found->second->answerTime())
        this->answerTimes.answered(request.route->name, answerSize(request), *time);
    this->admissions.withdraw(id);
    this->runs.erase(found);
    this->rollouts.requestEnded(id);
    this->advanceWaiting();
}

auto ForwardController::advanceWaiting() -> void
{
    std::vector<ForwardRun*> waiting;
    for (const auto& [id, run] : this->runs) {
        if (run->isWaiting() && !this->admissions.isHeld(id))
            waiting.push_back(run.get());
    }
    this->advanceHeld();
    if (waiting.empty() && this->admissions.heldCount() == 0)
        return;
    for (auto* run : waiting)
        run->advance();
    if (!this->waitTimer.isRunning())
        this->waitTimer.start(waitCheckPeriod);
}

auto ForwardController::serversChanged(const BackendServers& servers) -> void
{
    std::map<std::string, std::vector<const BackendServer*>> live;
    for (const auto& [id, server] : servers) {
        auto& started = this->serverStartTimes[id];
        if (started != server.startedAt)
            this->policy.clearCache(id);
        started = server.startedAt;
        if (server.state == InstanceState::Live)
            live[server.pool].push_back(&server);
    }
    this->serversByService.clear();
    for (const auto& [service, list] : live)
        this->serversByService.emplace(service, ServerIndex(list));
    this->admissions.setServers(live);
    std::erase_if(this->serverStartTimes, [this, &servers](const auto& entry) {
        if (servers.contains(entry.first))
            return false;
        this->pool.dropIdle(entry.first);
        this->policy.serverRemoved(entry.first);
        return true;
    });
    this->availability.retain(servers, EventLoop::now());
    this->rollouts.serversChanged(servers, EventLoop::now());
    this->assignStreamEngines();
    this->advanceWaiting();
    this->moveRuns(servers);
}

auto ForwardController::assignStreamEngines() -> void
{
    std::set<std::string> chosen;
    for (const auto& [service, count] : this->streamEngines) {
        const auto found = this->serversByService.find(service);
        if (found != this->serversByService.end())
            chosen.merge(streamEnginesAmong(found->second.servers(), count));
    }
    for (auto& [service, index] : this->serversByService)
        index.setStreamEngines(chosen);
    this->rollouts.setStreamEngines(chosen);
    this->policy.setStreamEngines(std::move(chosen));
}

auto ForwardController::moveRuns(const BackendServers& servers) -> void
{
    auto isCheckDue = false;
    for (const auto& [id, run] : this->runs) {
        const auto server = servers.find(run->serverId());
        if (server == servers.end())
            continue;
        const auto leavingFor = this->availability.leavingFor(server->second, EventLoop::now());
        isCheckDue = isCheckDue || leavingFor;
        if (leavingFor || server->second.state == InstanceState::Leaving)
            run->serverLeaving(server->second.leavesIn.value_or(this->settings.bounds.drain - leavingFor.value_or(0ms)));
    }
    if (isCheckDue)
        this->moveTimer.start(moveCheckPeriod);
}

auto ForwardController::shareChanged(const FleetShare& share) -> void
{
    this->nodeCount = share.nodes;
    this->admissions.setNodeCount(share.nodes);
    for (auto& [service, budget] : this->budgets)
        budget.setNodeCount(share.nodes);
    if (this->streamEngines == share.streamEngines)
        return;
    this->streamEngines = share.streamEngines;
    this->assignStreamEngines();
}

auto ForwardController::budgetOf(const std::string& service) -> AttemptBudget&
{
    const auto found = this->budgets.find(service);
    if (found != this->budgets.end())
        return found->second;
    const auto& bounds = this->settings.bounds;
    auto& budget = this->budgets.emplace(service, AttemptBudget({ bounds.attemptRatio, bounds.attemptSlack, bounds.attemptWindow })).first->second;
    budget.setNodeCount(this->nodeCount);
    return budget;
}

auto ForwardController::hasFreeConnection(const BackendServer& server, const TrafficService& service) const -> bool
{
    if (service.maxConnections <= 0)
        return true;
    const auto own = static_cast<std::int64_t>(connectionPart * static_cast<double>(service.maxConnections) / static_cast<double>(this->nodeCount));
    return static_cast<std::int64_t>(this->pool.connectionCount(server.id)) < std::max(minConnections, own);
}

auto ForwardController::tryAcquireAttempt(const std::string& service, EventLoop::TimePoint now) -> bool
{
    return this->budgetOf(service).tryAcquire(now);
}

auto ForwardController::serverMoved(const std::string& id) -> void
{
    if (this->availability.addressTaken(id, EventLoop::now()))
        this->logLeftOut(id, UnavailableReason::AddressTaken, ServerAvailability::addressTakenTime);
}

auto ForwardController::replyReceived(const BackendServer& server, const ReplyFields& reply) -> void
{
    // Such an answer comes from another server at the address.
    if (reply.isMisdirected)
        return;
    if (reply.isServerLeaving && this->availability.leavingReported(server, EventLoop::now())) {
        this->logLeftOut(server.id, UnavailableReason::Leaving, {});
        this->moveTimer.start(0ms);
    }
    this->limits.replyReceived(server, reply);
    this->admissions.replyReceived(server, reply, EventLoop::now());
    if (!reply.retryAfter)
        return;
    if (this->availability.pauseRequested(server, *reply.retryAfter, EventLoop::now()))
        this->logLeftOut(server.id, UnavailableReason::Paused, std::min(*reply.retryAfter, ServerAvailability::maxPause));
    // From the event loop, because other runs choose other servers then.
    this->loop.post([this, id = server.id] { this->pool.failUnconnected(id); });
}

auto ForwardController::pauseLeft(const std::string& service, EventLoop::TimePoint now) -> std::optional<std::chrono::milliseconds>
{
    const auto found = this->serversByService.find(service);
    if (found == this->serversByService.end())
        return std::nullopt;
    const auto next = this->availability.nextAvailable(found->second.servers(), now, [this, now](const BackendServer& server) {
        return this->limits.takesRequest(server) ? std::nullopt : std::optional(now + this->limits.nextGrantDelay());
    });
    if (!next)
        return std::nullopt;
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(*next - now);
    const auto spread = std::clamp(left / 2, minRetrySpread, maxRetrySpread);
    return left + std::chrono::milliseconds(this->random() % static_cast<std::minstd_rand::result_type>(spread.count() + 1));
}

auto ForwardController::mayResumeCopy(const BackendServer& server, EventLoop::TimePoint now) const -> bool
{
    return this->availability.mayResumeCopy(server, this->settings.bounds.drain, now);
}

auto ForwardController::logLeftOut(const std::string& id, UnavailableReason reason, std::optional<std::chrono::milliseconds> duration) -> void
{
    this->metrics.count("servers_left_out_total{reason=\"" + std::string(nameOf(reason)) + "\"}");
    this->log.write(Event::BackendLeftOut,
        { { "backend", id }, { "reason", std::string(nameOf(reason)) }, { "for_ms", duration ? std::to_string(duration->count()) : "" } });
}

auto ForwardController::takeDemand(double seconds) -> std::map<std::string, ServiceReport>
{
    std::map<std::string, ServiceReport> services;
    for (auto& [service, count] : this->receivedRequests) {
        auto& rate = this->requestsPerSecond[service];
        rate += demandSmoothing * (static_cast<double>(count) / seconds - rate);
        count = 0;
        services[service].service = service;
        services[service].requestsPerSecond = rate;
    }
    return services;
}

auto ForwardController::makeReport() -> NodeReport
{
    const auto now = EventLoop::now();
    const auto seconds = std::max(0.001, std::chrono::duration<double>(now - this->lastReport).count());
    this->lastReport = now;
    NodeReport report;
    this->quotas.addToReport(report);
    for (const auto& [window, counts] : this->usage.windows())
        report.windows.push_back({ window, counts });
    this->limits.addToReport(report);
    this->rollouts.addToReport(report, now);
    auto services = this->takeDemand(seconds);
    for (auto& [service, tokens] : this->readTokens) {
        auto& rate = this->readTokensPerSecond[service];
        rate += loadSmoothing * (static_cast<double>(tokens) / seconds - rate);
        tokens = 0;
        auto& entry = services[service];
        entry.service = service;
        entry.readTokensPerSecond = rate;
        entry.engineTokensPerSecond = this->policy.prefillRate(service);
    }
    for (const auto& [id, run] : this->runs) {
        auto& entry = services[run->request().service->name];
        entry.service = run->request().service->name;
        ++(run->isWaiting() ? entry.waitingRequests : entry.openRequests);
        RoutingRequest routing;
        routing.promptTokens = run->request().fields.promptTokens;
        routing.expectedTokens = run->request().fields.outputTokens;
        entry.openStreams += isLongStream(routing) ? 1 : 0;
    }
    for (auto& [service, entry] : services)
        report.services.push_back(std::move(entry));
    this->loads.addToReport(report, this->policy.ownLoads());
    return report;
}

auto ForwardController::dumpState() const -> nlohmann::json
{
    auto running = nlohmann::json::array();
    for (const auto& [id, run] : this->runs)
        running.push_back(run->dumpState());
    auto leftOut = nlohmann::json::array();
    const auto now = EventLoop::now();
    for (const auto& entry : this->availability.entries(now)) {
        const auto left = entry.until ? nlohmann::json(std::chrono::ceil<std::chrono::milliseconds>(*entry.until - now).count()) : nlohmann::json();
        leftOut.push_back({ { "backend", entry.id }, { "reason", nameOf(entry.reason) }, { "left_ms", left } });
    }
    return { { "running", std::move(running) }, { "servers_left_out", std::move(leftOut) }, { "connections_opened", this->pool.openedCount() } };
}

} // namespace Primrosefork
