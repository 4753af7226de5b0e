#pragma once

#include "backendsender.h"
#include "bufferbudget.h"
#include "forwardrequest.h"
#include "promptmonitor.h"
#include "routingpolicy.h"
#include "runmover.h"

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace Primrosefork {

class EventLog;
class Metrics;

/** What happens to a request for which no server has room. */
struct RoomDecision {
    enum class Outcome {
        NotHeld, ///< Room is not what it lacks, or room is not considered.
        Held, ///< It waits until a server has room.
        Refused, ///< It cannot be served before its deadline.
    };

    Outcome outcome = Outcome::NotHeld;
    std::chrono::milliseconds retryAfter { 0 }; ///< Time after which the caller of a refused request may return.
};

/** Selects servers for requests and enforces the retry budget of each service. */
class ServerSelector {
public:
    virtual ~ServerSelector() = default;

    /** Returns the server for the next attempt of the request, none of \a excluded, or null if none is available now. */
    virtual auto chooseServer(const ForwardRequest&, const std::set<std::string>& excluded, EventLoop::TimePoint now) -> const BackendServer* = 0;

    /** Returns whether the retry budget of \a service permits another attempt, and charges the attempt if so. */
    virtual auto tryAcquireAttempt(const std::string& service, EventLoop::TimePoint now) -> bool = 0;

    /** Reports that the server \a id is no longer at its address. */
    virtual auto serverMoved(const std::string& id) -> void = 0;

    /** Reports what \a server stated about itself in the head of an answer with \a reply. */
    virtual auto replyReceived(const BackendServer& server, const ReplyFields& reply) -> void = 0;

    /** Notes that a request is being sent to \a server. */
    virtual auto requestSent(const BackendServer& server) -> void = 0;

    /** Decides what happens to a request for which chooseServer() returned null. */
    virtual auto requestRoom(const ForwardRequest&, const std::set<std::string>& /*excluded*/, EventLoop::TimePoint) -> RoomDecision { return {}; }

    /** Returns the time after which the caller may return when full servers refused the request and it is not tried again, or nothing when room is not considered. */
    virtual auto roomDelay(const ForwardRequest&, EventLoop::TimePoint) -> std::optional<std::chrono::milliseconds> { return std::nullopt; }

    /** Notes that an attempt for the request began at a server. */
    virtual auto attemptBegan(const ForwardRequest&, const BackendServer&, EventLoop::TimePoint) -> void { }

    /** Notes that the attempt for the request at a server ended. */
    virtual auto attemptEnded(const ForwardRequest&, const BackendServer&, AttemptEnd, EventLoop::TimePoint) -> void { }

    /** Notes that a server stated that it has no room for a request, which it did not run. */
    virtual auto serverFull(const BackendServer&, EventLoop::TimePoint) -> void { }

    /** Returns the time after which callers may try again, different for each, when all servers of \a service are paused or have a limit that is used up; otherwise nothing. */
    virtual auto pauseLeft(const std::string& service, EventLoop::TimePoint now) -> std::optional<std::chrono::milliseconds> = 0;

    /** Returns whether a run may continue at \a server from its copy there. */
    [[nodiscard]] virtual auto mayResumeCopy(const BackendServer& server, EventLoop::TimePoint now) const -> bool = 0;
};

/** The components that all runs of a node share. */
struct ForwardContext {
    EventLoop& loop;
    BackendSender& sender;
    const HeaderCodec& dialect;
    ServerSelector& servers;
    RunMover& mover;
    RoutingPolicy& policy;
    PromptMonitor& prompts;
    BufferBudget& buffers;
    Metrics& metrics;
    const EventLog& log;
    std::function<void(const std::string& workspace, std::chrono::milliseconds ago)> requestBegan; ///< Called when a server has begun to run a request, with the time since then.
};

} // namespace Primrosefork
