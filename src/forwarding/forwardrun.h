#pragma once

#include "forwardattempt.h"
#include "forwardcontext.h"
#include "runmove.h"
#include "streamprogress.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * Forwards one request to backend servers, with as many attempts as its route
 * allows, and responds to the caller.
 *
 * The caller gets a refusal (503) only if no server can have run the request,
 * and a different failure otherwise.
 */
class ForwardRun {
public:
    /** \a onEnd is called once, when the run has ended. The run may then be destroyed from the event loop, not within the call. */
    ForwardRun(const ForwardContext&, ForwardRequest, std::shared_ptr<CallerExchange>, std::function<void()> onEnd);
    ~ForwardRun();
    ForwardRun(const ForwardRun&) = delete;
    auto operator=(const ForwardRun&) -> ForwardRun& = delete;

    auto begin() -> void;

    /** Tries to choose a server again if the run is waiting for one. */
    auto advance() -> void;

    /** Refuses the request for \a reason if the run is waiting for a server; the caller may return after \a retryAfter. */
    auto refuseWaiting(const char* reason, std::chrono::milliseconds retryAfter) -> void;

    /** Ends the run because the caller's connection ended for \a reason. */
    auto callerDisconnected(const std::string& reason) -> void;

    /** Ends the run because its deadline has passed. */
    auto deadlineReached() -> void;

    /** Ends the run at \a moment if its deadline is later. */
    auto limitDeadline(EventLoop::TimePoint moment) -> void;

    /** Moves the run to another engine if its engine shuts down in \a timeLeft and the run is expected to take longer. */
    auto serverLeaving(std::chrono::milliseconds timeLeft) -> void;

    /** Returns the id of the server that handles the request, or an empty string. */
    [[nodiscard]] auto serverId() const -> std::string { return this->attempt && this->attempt->call ? this->attempt->server.id : std::string(); }

    /** Returns how long the caller waited for the end of a successful answer; nothing before it or without one. */
    [[nodiscard]] auto answerTime() const -> std::optional<std::chrono::milliseconds> { return this->timeToAnswer; }

    [[nodiscard]] auto isWaiting() const -> bool { return this->phase == Phase::Waiting; }
    [[nodiscard]] auto request() const -> const ForwardRequest& { return this->details; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json;

private:
    enum class Phase {
        Waiting, ///< Waits for a server to become available.
        Sent, ///< Has sent the request; nothing was forwarded to the caller yet.
        Streaming, ///< Has forwarded a part of the response to the caller.
        Over,
    };

    auto send(const BackendServer&, std::optional<std::string> copy = {}) -> void;
    auto makeMessage(const BackendServer&) const -> BackendMessage;
    [[nodiscard]] auto routingRequest() const -> RoutingRequest;
    auto headReceived(const MessageHead&, const ReplyFields&) -> void;
    auto bodyReceived(std::string_view) -> void;
    auto eventReceived(const StreamEvent&) -> void;
    auto settle() -> void;
    auto responseTooLarge() -> void;
    auto bufferGivenUp() -> void;
    auto attemptEnded(CallOutcome) -> void;
    auto responseCompleted(ForwardAttempt&) -> void;
    auto attemptRefused(const ForwardAttempt&) -> void;
    auto noteFull(const ForwardAttempt&) -> void;
    auto attemptFailed(const ForwardAttempt&, CallOutcome) -> void;
    auto countRun(const ForwardAttempt& current) -> void
    {
        this->possibleRuns += current.copy ? 0 : 1;
        this->details.mayBeHeld = false;
    }
    auto retry(bool usesBudget) -> bool;

    /** Lets the request wait for room, or refuses it when it cannot get any in time. Returns false when room is not what it lacks. */
    auto holdForRoom(EventLoop::TimePoint now) -> bool;
    auto moveEnded(std::error_code, const MoveResult&) -> void;
    auto resumeFromCopy() -> bool;

    /** Returns whether a stream that ended with its connection ended because a move stopped its run. */
    [[nodiscard]] auto wasStoppedByMove() const -> bool;
    [[nodiscard]] auto quarantineLeft() const -> std::optional<std::chrono::milliseconds>;
    auto giveUp() -> void;
    auto forwardResponse(ForwardAttempt&) -> void;
    auto refuse(const char* reason, std::chrono::milliseconds retryAfter) -> void;
    auto fail(int status, const char* reason) -> void;
    auto reportStart(std::chrono::milliseconds ago) -> void;
    auto recordOutcome(int status, const char* reason, const std::string& connectionEnd = {}) -> void;
    auto endAttempt(AttemptEnd) -> void;
    auto finish() -> void;

    const ForwardContext& context;
    ForwardRequest details;
    std::shared_ptr<CallerExchange> exchange;
    std::function<void()> onEnd;
    Timer deadlineTimer;
    Phase phase = Phase::Waiting;
    std::optional<ForwardAttempt> attempt;
    std::set<std::string> excluded; ///< Servers that failed or refused this request.
    std::set<std::string> full; ///< Servers among them that had no room for it.
    std::vector<std::uint64_t> usedConnections; ///< Numbers of the connections that have carried the request.
    std::shared_ptr<const BlockBuffer> body;
    std::optional<std::string> lastEventId; ///< Id of the last event that the caller has, from an earlier stream or from this one.
    StreamProgress progress;
    RunMove move; ///< Move of the current attempt's run.
    std::optional<CallOutcome> outcomeDuringMove; ///< How the attempt ended, if it ended while its move was pending.
    int attempts = 0;
    int possibleRuns = 0; ///< Number of attempts in which a server may have run the request; one run with its continuations counts once.
    bool hasReportedStart = false;
    std::optional<std::chrono::milliseconds> timeToAnswer;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
