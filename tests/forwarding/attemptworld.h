#pragma once

#include "forwardcontext.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Primrosefork::Testkit {

constexpr std::size_t streamEvents = 2; ///< Number of events in a whole stream.

/** What can happen to a request and its attempts. */
enum class Step {
    ServersFound,
    NotSent,
    Lost,
    Refused,
    ServerError,
    PlainAnswer,
    StreamHead,
    WholeEvent,
    HalfEvent,
    StreamEnd,
    StreamClosed, ///< The server closes the connection of a run that a move stopped, which ends a stream without length or chunks like a whole one.
    Truncated,
    ServerLeaving,
    RunStopped, ///< The server stops the run for the move, before its result.
    Moved,
    MovedToSource,
    MoveFailed, ///< The server refuses the move.
    MoveUnanswered, ///< The result of the move is lost.
    QuarantineBegun,
    DeadlinePassed,
    CallerGone,
    Count,
};

/** One attempt as its server sees it. */
struct ServerSide {
    std::string serverId;
    CallHandlers handlers;
    bool isContinuation = false; ///< Whether the attempt continues a moved run.
    bool isOpen = true; ///< Whether the node waits for the answer.
    bool mayRun = true; ///< Whether the server can have run the request.
    bool hasHead = false;
    bool hasHalfEvent = false;
    bool isFinished = false; ///< Whether the server has run the request to its end.
    bool isStopped = false; ///< Whether a move stopped the run; what was on its way may still arrive.
    std::size_t nextEvent = 1; ///< Number of the next event that the server sends.
};

class Call : public BackendCall {
public:
    Call(std::shared_ptr<ServerSide> side, std::uint64_t number)
        : side(std::move(side))
        , number(number)
    {
    }

    auto cancel() -> void override { this->side->isOpen = false; }
    auto pause() -> void override { }
    auto resume() -> void override { }
    [[nodiscard]] auto connectionNumber() const -> std::uint64_t override { return this->number; }

private:
    std::shared_ptr<ServerSide> side;
    std::uint64_t number;
};

/** A codec that passes on the two fields which the servers of the test look at. */
class Codec : public HeaderCodec {
public:
    [[nodiscard]] auto readCaller(const HttpHeaders& /*headers*/) const -> CallerFields override { return {}; }

    [[nodiscard]] auto backendHeaders(const HttpHeaders& /*headers*/, const BackendFields& fields) const -> HttpHeaders override
    {
        return { { "Resume", fields.resumeAfter.value_or("") }, { "Copy", fields.kvCacheSource.value_or("") } };
    }

    [[nodiscard]] auto readReply(int /*status*/, const HttpHeaders& /*headers*/) const -> ReplyFields override { return {}; }
};

/** A policy that is not asked. */
class UnusedPolicy : public RoutingPolicy {
public:
    auto choose(const RoutingRequest& /*request*/, std::span<const BackendServer* const> /*candidates*/, TimePoint /*now*/) -> const BackendServer* override { return nullptr; }
};

/** Servers, moves and quarantine as the test says, and a record of what really happened. */
class AttemptWorld : public BackendSender, public ServerSelector, public RunMover, public PromptMonitor {
public:
    AttemptWorld(const TrafficRoute& route, bool hasServers)
        : hasServers(hasServers)
        , route(route)
    {
        for (const auto* id : { "i-1", "i-2", "i-3" }) {
            auto& server = this->servers.emplace_back();
            server.id = id;
            server.address = { "127.0.0.1", 1 };
        }
    }

    auto send(const BackendServer& server, const BackendMessage& message, CallHandlers handlers) -> std::shared_ptr<BackendCall> override
    {
        auto side = std::make_shared<ServerSide>();
        side->serverId = server.id;
        side->handlers = std::move(handlers);
        const auto copy = message.headers.get("Copy").value_or("");
        side->isContinuation = !copy.empty();
        const auto resume = message.headers.get("Resume").value_or("");
        side->nextEvent = resume.empty() ? 1 : std::stoul(resume) + 1;
        this->checkAttempt(copy);
        // Every attempt has a connection of its own here, so all earlier ones are to be left out.
        if (message.usedConnections.size() != this->attempts.size())
            this->faults.emplace_back("an attempt that may share the connection of an earlier one");
        this->attempts.push_back(side);
        return std::make_shared<Call>(side, this->attempts.size());
    }

    auto chooseServer(const ForwardRequest& /*request*/, const std::set<std::string>& excluded, EventLoop::TimePoint /*now*/) -> const BackendServer* override
    {
        const auto found = std::find_if(this->servers.begin(), this->servers.end(), [&excluded](const auto& server) { return !excluded.contains(server.id); });
        return this->hasServers && found != this->servers.end() ? &*found : nullptr;
    }

    auto tryAcquireAttempt(const std::string& /*service*/, EventLoop::TimePoint /*now*/) -> bool override { return true; }
    auto serverMoved(const std::string& /*id*/) -> void override { }
    auto replyReceived(const BackendServer& /*server*/, const ReplyFields& /*reply*/) -> void override { }
    auto requestSent(const BackendServer& /*server*/) -> void override { }
    auto pauseLeft(const std::string& /*service*/, EventLoop::TimePoint /*now*/) -> std::optional<std::chrono::milliseconds> override { return std::nullopt; }
    [[nodiscard]] auto mayResumeCopy(const BackendServer& /*server*/, EventLoop::TimePoint /*now*/) const -> bool override { return true; }

    auto move(const Address& /*source*/, const std::string& /*requestId*/, const Address& /*destination*/, Handler handler) -> void override
    {
        this->moveHandler = std::move(handler);
        this->moved = this->attempts.back();
    }

    auto attemptLost(const std::string& /*service*/, std::span<const PromptPart> /*parts*/, const std::string& /*serverId*/, TimePoint /*now*/) -> void override { }
    auto attemptBegan(const std::string& /*service*/, std::span<const PromptPart> /*parts*/, TimePoint /*now*/) -> void override { }

    [[nodiscard]] auto quarantineLeft(const std::string& /*service*/, std::span<const PromptPart> /*parts*/, TimePoint /*now*/) const -> std::optional<std::chrono::milliseconds> override
    {
        return this->hasQuarantine ? std::optional<std::chrono::milliseconds>(std::chrono::minutes(1)) : std::nullopt;
    }

    /** Returns the attempt that the node waits for, or null. */
    [[nodiscard]] auto open() const -> ServerSide* { return !this->attempts.empty() && this->attempts.back()->isOpen ? this->attempts.back().get() : nullptr; }

    [[nodiscard]] auto runs() const -> std::int64_t
    {
        return std::count_if(this->attempts.begin(), this->attempts.end(), [](const auto& side) { return side->mayRun && !side->isContinuation; });
    }

    std::vector<BackendServer> servers;
    std::vector<std::shared_ptr<ServerSide>> attempts;
    std::vector<std::string> faults;
    Handler moveHandler; ///< Set while a move is pending.
    std::string copy; ///< Name of the copy that nothing has continued from; empty without one.
    std::shared_ptr<ServerSide> moved; ///< Attempt whose run was asked to be moved.
    bool hasServers;
    bool hasQuarantine = false;

private:
    [[nodiscard]] auto isRepeatable() const -> bool { return this->route.type == RouteType::Idempotent || this->route.isResumable; }

    auto checkAttempt(const std::string& usedCopy) -> void
    {
        if (this->open())
            this->faults.emplace_back("an attempt while another one is open");
        if (this->hasQuarantine)
            this->faults.emplace_back("an attempt under quarantine");
        if (!usedCopy.empty()) {
            if (usedCopy != this->copy)
                this->faults.emplace_back("a continuation without its copy");
            this->copy.clear();
            return;
        }
        if (!this->isRepeatable() && this->runs() > 0)
            this->faults.emplace_back("a second run of what may not repeat");
        if (this->runs() >= this->route.maxAttempts)
            this->faults.emplace_back("more runs than the route allows");
    }

    const TrafficRoute& route;
};

} // namespace Primrosefork::Testkit
