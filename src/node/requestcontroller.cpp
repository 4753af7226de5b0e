#include "requestcontroller.h"

#include "blackboard.h"
#include "httpserver.h"
#include "metrics.h"
#include "modelrun.h"
#include "plainrun.h"
#include "retrypolicy.h"

#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto admissionPollPeriod = 5ms; ///< Time between two checks of the requests that wait for admission.

auto toAdmissionRequest(const CallerRequest& request) -> AdmissionRequest
{
    AdmissionRequest result;
    result.id = request.id;
    result.workspace = request.workspace.name;
    result.service = request.service.name;
    result.weight = request.workspace.weight;
    result.workClass = request.route.workClass;
    result.priority = request.service.parameters.priority;
    result.tokens = estimateTokens(request.prompt) + request.maxTokens;
    result.tokensPerSecond = request.service.parameters.tokensPerSecond;
    result.deadline = request.deadline;
    return result;
}

auto nodeLeavingRefusal() -> Refusal
{
    return { HttpStatus::unavailable, "node_leaving", Execution::NotRun, "the node is leaving; ask again" };
}

auto toRefusal(AdmissionOutcome outcome) -> Refusal
{
    if (outcome == AdmissionOutcome::OverLimit)
        return { HttpStatus::tooManyRequests, "over_limit", Execution::NotRun, "the service has used up its limit" };
    return { HttpStatus::unavailable, "overloaded", Execution::NotRun, "there is no place for the request before its deadline" };
}

} // namespace

RequestController::RequestController(const RequestContext& context, AdmissionPolicy& admission)
    : context(context)
    , admission(admission)
    , admissionTimer(context.loop, [this] { this->advance(); })
{
}

RequestController::~RequestController() = default;

auto RequestController::handle(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    if (this->context.blackboard.lifecycle.value() == Lifecycle::Starting)
        return this->refuse(exchange, { HttpStatus::unavailable, "not_ready", Execution::NotRun, "the node has no configuration yet" });
    if (this->isLeaving)
        return this->refuse(exchange, nodeLeavingRefusal());
    auto parsed = parseCallerRequest(exchange->request(), this->context.blackboard.configuration.value(), EventLoop::now());
    if (const auto* refusal = std::get_if<Refusal>(&parsed))
        return this->refuse(exchange, *refusal);
    this->submit(std::get<CallerRequest>(std::move(parsed)), exchange);
}

auto RequestController::submit(CallerRequest request, const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto id = this->nextId++;
    request.id = id;
    const auto admissionRequest = toAdmissionRequest(request);
    exchange->closed.connect([this, id] { this->callerDisconnected(id); });
    this->waiting.emplace(id, WaitingRequest { std::move(request), exchange });
    this->admission.submit(admissionRequest, EventLoop::now());
    this->advance();
}

auto RequestController::advance() -> void
{
    for (const auto& verdict : this->admission.advance(EventLoop::now())) {
        auto node = this->waiting.extract(verdict.id);
        if (node.empty())
            continue;
        if (verdict.outcome == AdmissionOutcome::Admitted)
            this->start(std::move(node.mapped()));
        else
            this->refuse(node.mapped().exchange, toRefusal(verdict.outcome));
    }
    if (this->admission.waitingCount() > 0)
        this->admissionTimer.start(admissionPollPeriod);
}

auto RequestController::start(WaitingRequest entry) -> void
{
    const auto id = entry.request.id;
    this->context.retries.requestAccepted(EventLoop::now());
    auto onEnd = [this, id](std::int64_t tokens) { this->runEnded(id, tokens); };
    std::unique_ptr<RequestRun> run;
    if (entry.request.route.kind == RouteKind::Model)
        run = std::make_unique<ModelRun>(this->context, this->silentServers, std::move(entry.request), entry.exchange, std::move(onEnd));
    else
        run = std::make_unique<PlainRun>(this->context, std::move(entry.request), entry.exchange, std::move(onEnd));
    auto& started = *run;
    this->runs.emplace(id, std::move(run));
    started.begin();
}

auto RequestController::refuse(const std::shared_ptr<HttpExchange>& exchange, const Refusal& refusal) -> void
{
    this->context.metrics.count("refusals_total{code=\"" + refusal.code + "\"}");
    auto answer = refusal;
    // The outcome of the caller's earlier request with the same key is not known here.
    if (exchange->request().headers.get("Request-Repeat"))
        answer.execution = Execution::Unknown;
    exchange->respond(toResponse(answer));
}

auto RequestController::callerDisconnected(std::uint64_t id) -> void
{
    if (this->waiting.erase(id) > 0) {
        this->admission.withdraw(id);
        return;
    }
    const auto found = this->runs.find(id);
    if (found != this->runs.end())
        found->second->callerDisconnected();
}

auto RequestController::reclaimNoticesChanged() -> void
{
    for (const auto& [id, run] : this->runs)
        run->reclaimNoticesChanged();
}

auto RequestController::handBackRequests() -> void
{
    this->isLeaving = true;
    const auto unadmitted = std::exchange(this->waiting, {});
    for (const auto& [id, entry] : unadmitted) {
        this->admission.withdraw(id);
        this->refuse(entry.exchange, nodeLeavingRefusal());
    }
    for (const auto& [id, run] : this->runs)
        run->nodeLeaving();
}

auto RequestController::runEnded(std::uint64_t id, std::int64_t tokens) -> void
{
    // The removal is deferred because the run is still on the call stack.
    this->context.loop.post([this, id, tokens] {
        this->runs.erase(id);
        this->admission.ended(id, tokens, EventLoop::now());
        this->advance();
    });
}

auto RequestController::dumpState() const -> nlohmann::json
{
    auto running = nlohmann::json::array();
    for (const auto& [id, run] : this->runs)
        running.push_back(run->dumpState());
    return { { "waiting", this->waiting.size() }, { "running", std::move(running) } };
}

} // namespace Primrosefork
