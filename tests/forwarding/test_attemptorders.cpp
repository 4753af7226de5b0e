#include "attemptworld.h"
#include "errors.h"
#include "eventlog.h"
#include "forwardrun.h"
#include "metrics.h"
#include "units.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

/** One request of a caller on a socket and its run. */
class Request {
public:
    Request(EventLoop& loop, Metrics& metrics, const EventLog& log, const TrafficRoute& route, bool hasServers)
        : loop(loop)
        , world(route, hasServers)
        , context { loop, world, codec, world, world, policy, world, buffers, metrics, log, [](const std::string&, std::chrono::milliseconds) {} }
    {
        std::array<int, 2> sockets {};
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, sockets.data()) == 0);
        this->caller = sockets[1];
        this->service.name = "llm";
        this->service.engine.emplace().canMoveRuns = true;
        this->connection = std::make_unique<CallerConnection>(
            loop, sockets[0], CallerLimits {}, buffers, [this, &route](const std::shared_ptr<CallerExchange>& exchange) { this->begin(exchange, route); }, [](CallerConnection&) {});
        constexpr std::string_view bytes = "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
        REQUIRE(write(this->caller, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
        while (!this->run)
            loop.runOnce();
    }

    Request(const Request&) = delete;
    auto operator=(const Request&) -> Request& = delete;

    ~Request()
    {
        this->run.reset();
        this->receive(); // Lets the connection finish what it has left to the event loop.
        this->connection.reset();
        ::close(this->caller);
    }

    [[nodiscard]] auto isPossible(Step step) const -> bool;
    [[nodiscard]] static auto isPossibleAt(const ServerSide& side, Step step) -> bool;
    auto apply(Step step) -> void;

    /** Checks that what the caller got of an ended run is true and whole. */
    auto check() -> void;

    [[nodiscard]] auto faults() const -> const std::vector<std::string>& { return this->world.faults; }
    [[nodiscard]] auto hasEnded() const -> bool { return this->ends > 0; }

private:
    auto begin(const std::shared_ptr<CallerExchange>& callerExchange, const TrafficRoute& route) -> void
    {
        this->exchange = callerExchange;
        ForwardRequest request;
        request.id = 1;
        request.fields.requestId = "r1";
        request.fields.promptTokens = 100;
        request.fields.hasTokenCounts = true;
        request.fields.outputTokens = streamEvents;
        static const auto table = std::make_shared<const RouteTable>(TrafficConfiguration {});
        request.table = table;
        request.route = &route;
        request.service = &this->service;
        request.received = EventLoop::now();
        request.deadline = request.received + 1h;
        this->run = std::make_unique<ForwardRun>(this->context, std::move(request), this->exchange, [this] { ++this->ends; });
        this->run->begin();
    }

    auto finishCall(ServerSide& side, CallOutcome outcome) -> void
    {
        side.isOpen = false;
        side.handlers.onDone(outcome);
    }

    auto sendHead(ServerSide& side, int status, bool isStream, bool isNotRun) -> void
    {
        side.hasHead = true;
        MessageHead head;
        head.status = status;
        if (isStream)
            head.headers.add("Content-Type", "text/event-stream");
        ReplyFields reply;
        reply.isSealed = !isNotRun;
        reply.isNotRun = isNotRun;
        side.handlers.onHead(head, reply);
    }

    auto applyToServer(Step step, ServerSide& side) -> void;
    auto applyToMove(Step step) -> void;
    auto receive() -> void;
    auto fault(const std::string& text) -> void { this->world.faults.push_back(text); }

    EventLoop& loop;
    BufferBudget buffers { mebibyte };
    AttemptWorld world;
    Codec codec;
    UnusedPolicy policy;
    TrafficService service;
    ForwardContext context;
    int caller = -1;
    std::unique_ptr<CallerConnection> connection;
    std::shared_ptr<CallerExchange> exchange;
    std::unique_ptr<ForwardRun> run;
    int ends = 0;
    bool hasLeft = false;
    bool isCallerGone = false;
    std::string received;
    bool isClosed = false;
};

auto Request::isPossible(Step step) const -> bool
{
    if (this->world.moveHandler && step >= Step::RunStopped && step <= Step::MoveUnanswered) {
        const auto& moved = *this->world.moved;
        if (step == Step::MoveFailed || step == Step::MoveUnanswered)
            return step == Step::MoveUnanswered || !moved.isStopped;
        return moved.mayRun && !moved.isFinished && (step != Step::RunStopped || !moved.isStopped);
    }
    if (this->hasEnded())
        return false;
    switch (step) {
    case Step::ServersFound:
        return !this->world.hasServers;
    case Step::ServerLeaving:
        return !this->hasLeft;
    case Step::QuarantineBegun:
        return !this->world.hasQuarantine;
    case Step::DeadlinePassed:
    case Step::CallerGone:
        return true;
    default:
        return this->world.open() && isPossibleAt(*this->world.open(), step);
    }
}

auto Request::isPossibleAt(const ServerSide& side, Step step) -> bool
{
    if (!side.hasHead) {
        const auto isAnswer = step == Step::NotSent || step == Step::Refused || step == Step::ServerError || step == Step::StreamHead || (step == Step::PlainAnswer && side.nextEvent == 1);
        return step == Step::Lost || (isAnswer && !side.isStopped);
    }
    if (step == Step::StreamEnd)
        return side.nextEvent > streamEvents && !side.isStopped;
    if (step == Step::StreamClosed)
        return side.isStopped && !side.hasHalfEvent && side.nextEvent <= streamEvents;
    const auto isEvent = step == Step::WholeEvent || (step == Step::HalfEvent && !side.hasHalfEvent);
    return step == Step::Truncated || (isEvent && side.nextEvent <= streamEvents);
}

auto Request::apply(Step step) -> void
{
    if (auto* side = this->world.open(); side && step >= Step::NotSent && step <= Step::Truncated)
        return this->applyToServer(step, *side);
    switch (step) {
    case Step::ServersFound:
        this->world.hasServers = true;
        return this->run->advance();
    case Step::ServerLeaving:
        this->hasLeft = true;
        return this->run->serverLeaving(0ms);
    case Step::QuarantineBegun:
        this->world.hasQuarantine = true;
        return this->run->advance();
    case Step::DeadlinePassed:
        return this->run->deadlineReached();
    case Step::CallerGone:
        this->receive();
        this->isCallerGone = true;
        return this->run->callerDisconnected("closed by the caller");
    default:
        return this->applyToMove(step);
    }
}

auto Request::applyToServer(Step step, ServerSide& side) -> void
{
    const auto text = "id: " + std::to_string(side.nextEvent) + "\ndata: x\n\n";
    constexpr std::size_t half = 4;
    switch (step) {
    case Step::NotSent:
        side.mayRun = false;
        return this->finishCall(side, CallOutcome::NotSent);
    case Step::Lost:
        return this->finishCall(side, CallOutcome::Lost);
    case Step::Refused:
        side.mayRun = false;
        this->sendHead(side, HttpStatus::unavailable, false, true);
        return this->finishCall(side, CallOutcome::Complete);
    case Step::ServerError:
        side.isFinished = true;
        this->sendHead(side, HttpStatus::internalError, false, false);
        return this->finishCall(side, CallOutcome::Complete);
    case Step::PlainAnswer:
        side.isFinished = true;
        this->sendHead(side, HttpStatus::ok, false, false);
        side.handlers.onBody("plain");
        return this->finishCall(side, CallOutcome::Complete);
    case Step::StreamHead:
        return this->sendHead(side, HttpStatus::ok, true, false);
    case Step::HalfEvent:
        side.hasHalfEvent = true;
        return side.handlers.onBody(std::string_view(text).substr(0, half));
    case Step::WholeEvent:
        ++side.nextEvent;
        return side.handlers.onBody(std::string_view(text).substr(std::exchange(side.hasHalfEvent, false) ? half : 0));
    case Step::StreamEnd:
        side.isFinished = true;
        return this->finishCall(side, CallOutcome::Complete);
    case Step::StreamClosed:
        return this->finishCall(side, CallOutcome::Complete);
    default:
        return this->finishCall(side, CallOutcome::Truncated);
    }
}

auto Request::applyToMove(Step step) -> void
{
    if (step == Step::RunStopped) {
        this->world.moved->isStopped = true;
        return;
    }
    const auto handler = std::exchange(this->world.moveHandler, {});
    if (step == Step::MoveUnanswered)
        return handler(Error::Timeout, { "", false, true });
    if (step == Step::MoveFailed)
        return handler(std::make_error_code(std::errc::connection_refused), {});
    this->world.moved->isStopped = true;
    this->world.copy = "copy";
    handler({}, { "copy", step == Step::MovedToSource });
}

auto Request::receive() -> void
{
    // The connection writes and closes from the event loop.
    constexpr int turns = 3;
    std::array<char, 4'096> buffer {};
    for (int turn = 0; turn < turns; ++turn) {
        this->loop.post([] {});
        this->loop.runOnce();
        for (auto size = read(this->caller, buffer.data(), buffer.size()); size >= 0; size = read(this->caller, buffer.data(), buffer.size())) {
            if (size == 0) {
                this->isClosed = true;
                break;
            }
            this->received.append(buffer.data(), static_cast<std::size_t>(size));
        }
    }
}

auto Request::check() -> void
{
    this->receive();
    const auto& text = this->received;
    if (this->ends != 1)
        return this->fault("the run reported its end " + std::to_string(this->ends) + " times");
    if (this->world.open())
        this->fault("a call is open after the end");
    if (this->isCallerGone)
        return;
    if (!text.starts_with("HTTP/1.1 ") || text.find("HTTP/1.1 ", 1) != std::string::npos)
        return this->fault("not exactly one answer: " + text);
    const auto status = text.substr(9, 3);
    const auto hasRun = std::any_of(this->world.attempts.begin(), this->world.attempts.end(), [](const auto& side) { return side->mayRun; });
    if (status == "503" && hasRun)
        this->fault("a refusal after a possible run");
    if (status != "503" && !hasRun)
        this->fault("status " + status + " though nothing has run");
    std::string events;
    std::size_t count = 0;
    for (auto place = text.find("id: "); place != std::string::npos; place = text.find("id: ", place + 1)) {
        events += text[place + 4];
        ++count;
    }
    if (events != std::string("12345").substr(0, count))
        this->fault("events out of order: " + events);
    const auto isStream = text.find("Transfer-Encoding: chunked") != std::string::npos;
    const auto isWhole = text.ends_with("\r\n0\r\n\r\n");
    if (isStream && isWhole != (count == streamEvents && !this->isClosed))
        this->fault("a stream with " + std::to_string(count) + " events that is " + (isWhole ? "whole" : "broken off") + (this->isClosed ? ", closed" : ", open"));
}

struct OrderCase {
    const char* name;
    RouteType type;
    bool isResumable;
    std::int64_t maxAttempts;
    bool hasServers; ///< Whether servers are known when the request arrives.
    std::size_t depth; ///< Number of steps of an order.
};

const OrderCase orderCases[] = {
    { "a call that may not repeat", RouteType::NonIdempotent, false, 3, true, 8 },
    { "a call that may repeat", RouteType::Idempotent, false, 2, true, 7 },
    { "a stream that may not repeat", RouteType::Stream, false, 2, true, 8 },
    { "a stream that may be resumed", RouteType::Stream, true, 2, true, 8 },
    { "a call that waits for a server", RouteType::NonIdempotent, false, 1, false, 6 },
};

struct Explorer {
    EventLoop& loop;
    Metrics& metrics;
    const EventLog& log;
    TrafficRoute route;
    bool hasServers;
    std::size_t depth;
    std::size_t states = 0;
    std::size_t finished = 0; ///< Orders that ended with an answer.

    auto explore(std::vector<Step>& steps) -> void
    {
        Request request(this->loop, this->metrics, this->log, this->route, this->hasServers);
        for (const auto step : steps)
            request.apply(step);
        ++this->states;
        if (request.hasEnded()) {
            ++this->finished;
            request.check();
        }
        if (!request.faults().empty()) {
            std::string order;
            for (const auto step : steps)
                order += " " + std::to_string(static_cast<int>(step));
            FAIL_CHECK(request.faults().front() << " after the steps" << order);
            return;
        }
        if (steps.size() == this->depth)
            return;
        for (int number = 0; number < static_cast<int>(Step::Count); ++number) {
            if (!request.isPossible(static_cast<Step>(number)))
                continue;
            steps.push_back(static_cast<Step>(number));
            this->explore(steps);
            steps.pop_back();
        }
    }
};

TEST_CASE("in all orders of events a request runs and is answered as often as it may be")
{
    EventLoop loop;
    Metrics metrics;
    const EventLog log("error");
    for (const auto& row : orderCases) {
        CAPTURE(std::string(row.name));
        TrafficRoute route;
        route.name = "r";
        route.type = row.type;
        route.isResumable = row.isResumable;
        route.maxAttempts = row.maxAttempts;
        route.objective = 1h; // The run waits for servers for a part of this.
        Explorer explorer { loop, metrics, log, route, row.hasServers, row.depth };
        std::vector<Step> steps;
        explorer.explore(steps);
        MESSAGE(std::string(row.name) << ": " << explorer.states << " states, " << explorer.finished << " orders with an end, depth " << row.depth);
        CHECK(explorer.finished > 0);
    }
}

} // namespace
