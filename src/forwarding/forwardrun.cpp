#include "forwardrun.h"

#include "eventlog.h"
#include "hopheaders.h"
#include "metrics.h"
#include "units.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr int firstErrorStatus = 400;
constexpr int firstServerErrorStatus = 500;
constexpr std::size_t maxBufferedResponse = 8 * mebibyte; ///< Size limit for a response that is not a stream; twice the largest request.
constexpr std::size_t maxEventBytes = mebibyte; ///< Size limit for one event of a stream.
constexpr std::chrono::milliseconds deadlineGrace = 100ms; ///< Time for a response that the server sends at the deadline to arrive.
constexpr std::chrono::milliseconds minRemainingTime = 5ms; ///< Shortest time before the deadline at which a request is still sent.
constexpr std::chrono::milliseconds noServerRetryDelay = 300ms; ///< Retry-After when no server is available; short, because engines start and leave within seconds.
constexpr std::chrono::milliseconds moveMargin = 300ms; ///< Time that a move may have to wait before the engine shuts down.
constexpr std::chrono::milliseconds settlingTime = 500ms; ///< A server that crashes on a prompt may have sent its first events just before.
constexpr int maxAttempts = 8; ///< Limits the attempts when servers refuse the request.

auto millisecondsSince(EventLoop::TimePoint moment) -> std::chrono::milliseconds
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(EventLoop::now() - moment);
}

} // namespace

ForwardRun::ForwardRun(const ForwardContext& context, ForwardRequest request, std::shared_ptr<CallerExchange> callerExchange, std::function<void()> onEnd)
    : context(context)
    , details(std::move(request))
    , exchange(std::move(callerExchange))
    , onEnd(std::move(onEnd))
    , deadlineTimer(context.loop, [this] { this->deadlineReached(); })
    , body(std::make_shared<const BlockBuffer>(this->exchange->takeBody()))
    , lastEventId(this->details.fields.lastEventId)
    , isAlive(std::make_shared<bool>(true))
{
    this->details.bodyBytes = this->body->size();
}

ForwardRun::~ForwardRun()
{
    *this->isAlive = false;
}

auto ForwardRun::begin() -> void
{
    this->deadlineTimer.start(timerDelay(this->details.deadline + deadlineGrace - EventLoop::now()));
    this->exchange->closed.connect([this, alive = this->isAlive](const std::string& reason) {
        if (*alive)
            this->callerDisconnected(reason);
    });
    this->exchange->drained.connect([this, alive = this->isAlive] {
        if (*alive && this->attempt && this->attempt->call)
            this->attempt->call->resume();
    });
    this->advance();
}

auto ForwardRun::send(const BackendServer& server, std::optional<std::string> copy) -> void
{
    const auto now = EventLoop::now();
    if (this->details.deadline - now < minRemainingTime)
        return this->giveUp();
    ++this->attempts;
    this->phase = this->progress.eventCount() > 0 ? Phase::Streaming : Phase::Sent;
    this->attempt.emplace();
    this->attempt->server = server;
    this->attempt->sent = now;
    this->attempt->buffered = std::make_unique<BufferBudget::Account>(this->context.buffers, [this] { this->bufferGivenUp(); });
    this->attempt->copy = std::move(copy);
    this->move = {};
    this->context.policy.requestSent(this->routingRequest(), server, now);
    this->context.servers.requestSent(server);
    this->context.servers.attemptBegan(this->details, server, now);
    CallHandlers handlers;
    const auto alive = this->isAlive;
    handlers.onHead = [this, alive](const MessageHead& head, const ReplyFields& reply) {
        if (*alive)
            this->headReceived(head, reply);
    };
    handlers.onBody = [this, alive](std::string_view bytes) {
        if (*alive)
            this->bodyReceived(bytes);
    };
    handlers.onDone = [this, alive](CallOutcome outcome) {
        if (*alive)
            this->attemptEnded(outcome);
    };
    this->attempt->call = this->context.sender.send(server, this->makeMessage(server), std::move(handlers));
    this->usedConnections.push_back(this->attempt->call->connectionNumber());
}

auto ForwardRun::makeMessage(const BackendServer& server) const -> BackendMessage
{
    const auto& head = this->exchange->request().head;
    BackendFields fields;
    fields.serverId = server.id;
    fields.workspace = this->details.workspace ? this->details.workspace->name : "";
    fields.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(this->details.deadline - EventLoop::now());
    if (server.kind == BackendKind::Engine)
        fields.priority = this->details.priority();
    fields.resumeAfter = this->lastEventId;
    fields.kvCacheSource = this->attempt->copy;
    BackendMessage message;
    message.method = head.method;
    message.target = head.target;
    message.headers = this->context.dialect.backendHeaders(withoutHopHeaders(head.headers), fields);
    message.body = this->body;
    message.requestId = this->details.fields.requestId;
    message.usedConnections = this->usedConnections;
    return message;
}

auto ForwardRun::routingRequest() const -> RoutingRequest
{
    auto request = this->details.routingRequest();
    request.isResumed = this->lastEventId.has_value();
    return request;
}

auto ForwardRun::headReceived(const MessageHead& head, const ReplyFields& reply) -> void
{
    auto& current = *this->attempt;
    current.status = head.status;
    current.headers = head.headers;
    current.reply = reply;
    current.isEventStream = head.status == HttpStatus::ok && head.headers.get("Content-Type").value_or("").starts_with("text/event-stream");
    current.endsWithConnection = !head.hasLength;
    if (reply.load)
        this->context.policy.loadObserved(current.server, *reply.load, EventLoop::now());
    this->context.servers.replyReceived(current.server, reply);
    if (!reply.isNotRun && !current.isEventStream)
        this->reportStart(millisecondsSince(current.sent));
}

auto ForwardRun::bodyReceived(std::string_view bytes) -> void
{
    auto& current = *this->attempt;
    if (!current.isEventStream || !current.reply.isSealed) {
        current.bodyBytes += bytes.size();
        if (current.bodyBytes > maxBufferedResponse)
            return this->responseTooLarge();
        if (!current.isForwardable())
            return;
        current.body.add(bytes);
        return current.buffered->resize(current.body.capacity());
    }
    current.events.add(bytes, [this](const StreamEvent& event) { this->eventReceived(event); });
    if (current.events.pendingBytes() > maxEventBytes)
        return this->responseTooLarge();
    if (this->exchange->isCongested())
        current.call->pause();
    current.buffered->resize(current.events.pendingBytes());
}

auto ForwardRun::responseTooLarge() -> void
{
    this->attempt->call->cancel();
    this->attemptEnded(CallOutcome::TooLarge);
}

auto ForwardRun::bufferGivenUp() -> void
{
    // From the event loop, because an event that is being forwarded may have exceeded the budget.
    this->context.loop.post([this, alive = this->isAlive, number = this->attempts] {
        if (*alive && this->attempts == number && this->attempt->call)
            this->responseTooLarge();
    });
}

auto ForwardRun::eventReceived(const StreamEvent& event) -> void
{
    auto& current = *this->attempt;
    const auto now = EventLoop::now();
    if (!current.firstEvent) {
        current.firstEvent = now;
        this->context.policy.firstPieceReceived(this->routingRequest(), current.server, now);
        this->reportStart(0ms);
    } else {
        this->context.policy.pieceReceived(this->routingRequest(), current.server, 1, now);
    }
    if (now - *current.firstEvent >= settlingTime)
        this->settle();
    this->move.eventReceived(now);
    if (this->phase == Phase::Sent) {
        this->phase = Phase::Streaming;
        this->details.mayBeHeld = false;
        this->context.metrics.observe("first_event_seconds", now - this->details.received);
        this->exchange->beginStream(current.status, withoutHopHeaders(current.headers));
    }
    if (event.id)
        this->lastEventId = std::string(*event.id);
    this->progress.eventForwarded(now);
    this->exchange->sendPiece(event.text);
}

auto ForwardRun::settle() -> void
{
    if (!std::exchange(this->attempt->isSettled, true))
        this->context.prompts.attemptBegan(this->details.service->name, this->details.fields.promptParts, EventLoop::now());
}

auto ForwardRun::attemptEnded(CallOutcome outcome) -> void
{
    auto& current = *this->attempt;
    current.call.reset();
    current.buffered.reset();
    if (outcome == CallOutcome::Complete && current.isEventStream && current.endsWithConnection && this->move.isPending()) {
        // A move that stops the run closes its stream, which then ends as a whole one does; only the result of the move tells them apart.
        this->outcomeDuringMove = outcome;
        return;
    }
    if (outcome == CallOutcome::Complete && (current.isBrokenOff() || this->wasStoppedByMove()))
        outcome = CallOutcome::Truncated;
    // The head of a response states whether the request was run, however long the rest is.
    if ((outcome == CallOutcome::Complete || outcome == CallOutcome::TooLarge) && current.reply.isNotRun)
        return this->attemptRefused(current);
    const auto hasResponse = outcome == CallOutcome::Complete;
    if (hasResponse && current.isSuccess() && current.isIntact())
        this->settle();
    if (hasResponse && current.isForwardable())
        return this->responseCompleted(current);
    this->attemptFailed(current, outcome);
}

auto ForwardRun::responseCompleted(ForwardAttempt& current) -> void
{
    // A caller repeats a request when the status says that it has not run.
    const auto isUnconfirmedRefusal = current.isUnconfirmedRefusal() && !this->details.isRepeatable();
    if ((current.status < firstServerErrorStatus && !isUnconfirmedRefusal) || current.isEventStream) {
        this->endAttempt(AttemptEnd::Finished);
        return this->forwardResponse(current);
    }
    // The server ran the request and reported an error.
    this->countRun(current);
    this->endAttempt(AttemptEnd::ServerError);
    this->excluded.insert(current.server.id);
    if (this->phase == Phase::Sent && this->details.isRepeatable() && this->retry(true))
        return;
    if (isUnconfirmedRefusal && this->phase == Phase::Sent) {
        this->context.log.write(Event::AttemptFailed,
            { { "request", this->details.fields.requestId }, { "backend", current.server.id }, { "outcome", "unknown" }, { "status", std::to_string(current.status) }, { "events", "0" } });
        return this->fail(HttpStatus::badGateway, "unconfirmed_refusal");
    }
    this->forwardResponse(current);
}

auto ForwardRun::forwardResponse(ForwardAttempt& current) -> void
{
    if (this->phase == Phase::Streaming) {
        if (current.isEventStream) {
            this->exchange->endStream();
            this->recordOutcome(current.status, "");
        } else {
            // The attempt to resume the stream on another engine returned an error.
            this->exchange->abort();
            this->recordOutcome(0, "rest_failed");
        }
        return this->finish();
    }
    this->exchange->respond(current.status, withoutHopHeaders(current.headers), std::move(current.body));
    this->recordOutcome(current.status, "");
    this->finish();
}

auto ForwardRun::attemptRefused(const ForwardAttempt& current) -> void
{
    this->endAttempt(AttemptEnd::Cancelled);
    this->excluded.insert(current.server.id);
    if (current.reply.isMisdirected)
        this->context.servers.serverMoved(current.server.id);
    else
        this->noteFull(current);
    this->context.log.write(Event::AttemptRefused,
        { { "request", this->details.fields.requestId }, { "backend", current.server.id }, { "status", std::to_string(current.status) } });
    if (!this->retry(true))
        this->giveUp();
}

auto ForwardRun::attemptFailed(const ForwardAttempt& current, CallOutcome outcome) -> void
{
    if (this->move.isPending()) {
        // A move stops the run at its engine before the result of the move arrives.
        this->outcomeDuringMove = outcome;
        return;
    }
    if (this->move.copy() && this->resumeFromCopy())
        return;
    const auto mayHaveRun = outcome != CallOutcome::NotSent;
    // A move that failed may have stopped the run at its engine.
    if (!current.isSettled && !this->move.wasRequested() && (outcome == CallOutcome::Lost || outcome == CallOutcome::Truncated))
        this->context.prompts.attemptLost(this->details.service->name, this->details.fields.promptParts, current.server.id, EventLoop::now());
    const auto* execution = mayHaveRun ? "unknown" : "not sent";
    this->context.log.write(Event::AttemptFailed,
        { { "request", this->details.fields.requestId }, { "backend", current.server.id }, { "outcome", outcome == CallOutcome::TooLarge ? "too large" : execution },
            { "status", std::to_string(current.status) }, { "events", std::to_string(this->progress.eventCount()) } });
    this->endAttempt(AttemptEnd::Failed);
    this->excluded.insert(current.server.id);
    if (mayHaveRun) {
        this->countRun(current);
        this->reportStart(millisecondsSince(current.sent));
    }
    if ((!mayHaveRun || this->details.isRepeatable()) && this->retry(mayHaveRun))
        return;
    this->giveUp();
}

auto ForwardRun::serverLeaving(std::chrono::milliseconds timeLeft) -> void
{
    const auto canMove = this->phase == Phase::Streaming && !this->move.wasRequested() && this->details.service->engine && this->details.service->engine->canMoveRuns;
    if (!canMove || this->progress.remainingTime(this->details, EventLoop::now()) < timeLeft - moveMargin || this->quarantineLeft())
        return;
    auto excludedServers = this->excluded;
    excludedServers.insert(this->attempt->server.id);
    const auto* server = this->context.servers.chooseServer(this->details, excludedServers, EventLoop::now());
    if (!server)
        return;
    this->move.begin(*server);
    this->context.mover.move(this->attempt->server.address, this->details.fields.requestId, server->address,
        [this, alive = this->isAlive, number = this->attempts](std::error_code error, const MoveResult& moved) {
            if (*alive && this->attempts == number)
                this->moveEnded(error, moved);
        });
}

auto ForwardRun::quarantineLeft() const -> std::optional<std::chrono::milliseconds>
{
    return this->context.prompts.quarantineLeft(this->details.service->name, this->details.fields.promptParts, EventLoop::now());
}

auto ForwardRun::moveEnded(std::error_code error, const MoveResult& moved) -> void
{
    const auto target = this->move.destination()->id;
    this->move.end(error, moved, this->attempt->server, EventLoop::now());
    this->context.metrics.count(error ? "moves_total{outcome=\"failed\"}" : "moves_total{outcome=\"moved\"}");
    this->context.log.write(Event::RunMoved,
        { { "request", this->details.fields.requestId }, { "from", this->attempt->server.id }, { "to", target },
            { "outcome", error ? error.message() : (moved.isAtSource ? "destination full, copy kept at its engine" : "moved") }, { "events", std::to_string(this->progress.eventCount()) },
            { "stream", this->outcomeDuringMove ? "ended" : "open" } });
    if (const auto outcome = std::exchange(this->outcomeDuringMove, std::nullopt); outcome && this->phase != Phase::Over)
        this->attemptEnded(*outcome);
}

auto ForwardRun::wasStoppedByMove() const -> bool
{
    const auto wasStopped = this->move.copy() || (this->move.mayHaveStoppedRun() && !this->progress.hasAllEvents(this->details));
    return this->attempt->isEventStream && this->attempt->endsWithConnection && wasStopped;
}

auto ForwardRun::resumeFromCopy() -> bool
{
    const auto now = EventLoop::now();
    if (this->details.deadline - now < minRemainingTime || !this->context.servers.mayResumeCopy(*this->move.destination(), now) || this->quarantineLeft())
        return false;
    this->countRun(*this->attempt);
    this->endAttempt(AttemptEnd::Cancelled);
    const auto server = *this->move.destination();
    // A copy can be resumed from only once.
    this->send(server, this->move.copy());
    return true;
}

auto ForwardRun::retry(bool usesBudget) -> bool
{
    const auto now = EventLoop::now();
    // A stream that was forwarded in part is resumed only if the route allows another run.
    if (this->progress.eventCount() > 0 && !this->details.isRepeatable())
        return false;
    if (this->attempts >= maxAttempts || this->possibleRuns >= this->details.route->maxAttempts || this->details.deadline - now < minRemainingTime || this->quarantineLeft())
        return false;
    if (usesBudget && !this->context.servers.tryAcquireAttempt(this->details.service->name, now))
        return false;
    const auto* server = this->context.servers.chooseServer(this->details, this->excluded, now);
    if (!server)
        return this->holdForRoom(now);
    this->send(*server);
    return true;
}

auto ForwardRun::giveUp() -> void
{
    if (this->phase == Phase::Streaming) {
        this->exchange->abort();
        this->recordOutcome(0, "broken_off");
        return this->finish();
    }
    if (this->possibleRuns == 0) {
        if (const auto left = this->quarantineLeft())
            return this->refuse("quarantined_prompt", *left);
        if (const auto delay = this->full.empty() ? std::nullopt : this->context.servers.roomDelay(this->details, EventLoop::now()))
            return this->refuse("no_room", *delay);
        return this->refuse("no_server", noServerRetryDelay);
    }
    this->fail(HttpStatus::badGateway, "server_lost");
}

auto ForwardRun::refuse(const char* reason, std::chrono::milliseconds retryAfter) -> void
{
    const auto wait = std::max(retryAfter, this->context.servers.pauseLeft(this->details.service->name, EventLoop::now()).value_or(0ms));
    this->exchange->respond(HttpStatus::unavailable, { { "Retry-After", retryAfterValue(wait) } }, "");
    this->recordOutcome(HttpStatus::unavailable, reason);
    this->finish();
}

auto ForwardRun::fail(int status, const char* reason) -> void
{
    this->exchange->respond(status, {}, "");
    this->recordOutcome(status, reason);
    this->finish();
}

auto ForwardRun::deadlineReached() -> void
{
    if (this->phase == Phase::Over)
        return;
    const auto wasSent = this->attempt && this->attempt->call;
    if (wasSent) {
        ++this->possibleRuns;
        this->reportStart(millisecondsSince(this->attempt->sent));
        this->attempt->call->cancel();
        this->endAttempt(AttemptEnd::Stalled);
    }
    if (this->phase == Phase::Streaming || this->possibleRuns == 0)
        return this->giveUp();
    this->fail(HttpStatus::gatewayTimeout, "deadline");
}

auto ForwardRun::limitDeadline(EventLoop::TimePoint moment) -> void
{
    if (this->phase == Phase::Over || this->details.deadline <= moment)
        return;
    this->details.deadline = moment;
    this->deadlineTimer.start(timerDelay(moment + deadlineGrace - EventLoop::now()));
}

auto ForwardRun::callerDisconnected(const std::string& reason) -> void
{
    if (this->phase == Phase::Over)
        return;
    if (this->attempt && this->attempt->call) {
        this->attempt->call->cancel();
        this->endAttempt(AttemptEnd::Cancelled);
    }
    this->recordOutcome(0, "caller_gone", reason);
    this->finish();
}

auto ForwardRun::reportStart(std::chrono::milliseconds ago) -> void
{
    if (std::exchange(this->hasReportedStart, true) || !this->details.workspace)
        return;
    this->context.requestBegan(this->details.workspace->name, ago);
}

auto ForwardRun::recordOutcome(int status, const char* reason, const std::string& connectionEnd) -> void
{
    const std::string_view outcome(reason);
    if (outcome.empty() && status < firstErrorStatus)
        this->timeToAnswer = millisecondsSince(this->details.received);
    this->context.metrics.count("requests_total{route=\"" + this->details.route->name + "\",status=\"" + std::to_string(status) + "\",reason=\"" + reason + "\"}");
    this->context.metrics.observe("request_seconds", EventLoop::now() - this->details.received);
    this->context.log.write(outcome.empty() ? Event::RequestAnswered : Event::RequestNotAnswered,
        { { "request", this->details.fields.requestId }, { "route", this->details.route->name }, { "status", std::to_string(status) }, { "reason", reason }, { "connection", connectionEnd },
            { "backend", this->attempt ? this->attempt->server.id : "" }, { "ms", std::to_string(millisecondsSince(this->details.received).count()) },
            { "attempts", std::to_string(this->attempts) }, { "runs", std::to_string(this->possibleRuns) }, { "events", std::to_string(this->progress.eventCount()) },
            { "configuration", std::to_string(this->details.table->configuration().version) } });
}

auto ForwardRun::endAttempt(AttemptEnd end) -> void
{
    this->attempt->call.reset();
    this->context.policy.requestEnded(this->routingRequest(), this->attempt->server, end, EventLoop::now());
    this->context.servers.attemptEnded(this->details, this->attempt->server, end, EventLoop::now());
}

auto ForwardRun::finish() -> void
{
    this->phase = Phase::Over;
    this->deadlineTimer.stop();
    this->onEnd();
}

auto ForwardRun::dumpState() const -> nlohmann::json
{
    return { { "request", this->details.fields.requestId }, { "route", this->details.route->name }, { "age_ms", millisecondsSince(this->details.received).count() },
        { "backend", this->attempt ? this->attempt->server.id : "" }, { "attempts", this->attempts }, { "events", this->progress.eventCount() } };
}

} // namespace Primrosefork
