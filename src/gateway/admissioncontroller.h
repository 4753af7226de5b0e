#pragma once

#include "admissionqueue.h"
#include "cacheawarepolicy.h"
#include "forwardcontext.h"
#include "gatewaysettings.h"
#include "refusaldelay.h"
#include "roomshare.h"
#include "startestimate.h"
#include "statesource.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Decides which requests are sent now, which wait in the node until a server has
 * room, and which are refused because they cannot be served before their deadline
 * (docs/design/071-admission.md).
 *
 * It knows the open requests of this node and what servers state in their answers; the
 * load that other nodes cause comes from a RoomSource.
 */
class AdmissionController : public StateSource {
public:
    using TimePoint = EventLoop::TimePoint;
    using Candidates = std::vector<const BackendServer*>;

    /** What became of a waiting request that was tried. */
    enum class Attempt {
        Started, ///< It was sent.
        Ended, ///< It was refused, or its caller left.
        Waits, ///< No server has room for it.
    };

    using Starter = std::function<Attempt(std::uint64_t id)>;
    using Refuser = std::function<void(std::uint64_t id, std::chrono::milliseconds retryAfter)>;

    /** \a refuser refuses a request that waits. */
    AdmissionController(const GatewaySettings&, const CacheAwarePolicy&, Metrics&, const EventLog&, Refuser refuser);

    /** Sets what is known of the load of other nodes; \a source may be null and must outlive the controller otherwise. */
    auto setRoomSource(const RoomSource* source) -> void { this->rooms = source; }

    /** Sets the live servers by service. */
    auto setServers(const std::map<std::string, Candidates>& live) -> void;
    auto setNodeCount(std::size_t nodes) -> void { this->nodeCount = nodes; }

    /** Removes those \a candidates that have no room for \a request now. */
    auto restrict(const ForwardRequest& request, Candidates& candidates, TimePoint now) -> void;

    /** Holds or refuses \a request, for which none of the servers \a suitable for it had room. */
    auto hold(const ForwardRequest& request, const Candidates& suitable, TimePoint now) -> RoomDecision;

    /** Returns the time after which the caller of \a request may return when full servers refused it and no attempt is left, or nothing when room is not considered. */
    auto refusedDelay(const ForwardRequest& request, const Candidates& suitable, TimePoint now) -> std::optional<std::chrono::milliseconds>;

    /** Tries to start waiting requests in their order with \a starter and refuses those that have become too late. */
    auto advance(const Starter& starter, TimePoint now) -> void;

    /** Removes the request \a id, which has ended, if it waits. */
    auto withdraw(std::uint64_t id) -> void;

    /** Notes that an attempt for \a request began. */
    auto attemptBegan(const ForwardRequest& request, TimePoint now) -> void;

    /** Notes that the attempt for \a request ended. */
    auto attemptEnded(const ForwardRequest& request, AttemptEnd, TimePoint now) -> void;

    /** Notes that \a server refused a request because it was full. */
    auto serverFull(const BackendServer& server, TimePoint now) -> void;

    /** Notes the load that \a server stated in an answer. */
    auto replyReceived(const BackendServer& server, const ReplyFields&, TimePoint now) -> void;

    [[nodiscard]] auto isEnabled() const -> bool { return this->settings.admission.enabled; }
    [[nodiscard]] auto isHeld(std::uint64_t id) const -> bool { return this->queue.contains(id); }
    [[nodiscard]] auto heldCount() const -> std::size_t { return this->queue.size(); }

    [[nodiscard]] auto stateName() const -> std::string override { return "admission"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    struct Service {
        explicit Service(std::uint64_t seed)
            : share(seed)
        {
        }

        std::int64_t servers = 0;
        std::int64_t slots = 0;
        std::set<std::string> zones;
        std::int64_t openRequests = 0; ///< Attempts of this node that have not ended.
        StartEstimate estimate;
        RoomShare share;
        RoomLimit lastLimit;
        TimePoint fullSeen; ///< Last time that a server was full by its own answer.
        std::map<std::string, TimePoint> fullUntil; ///< Servers that get no requests for a moment, as they were full.
    };

    struct OpenAttempt {
        std::string service;
        TimePoint sent;
    };

    /** The inputs of the decision to refuse a request, for the log. */
    struct Estimate {
        std::optional<std::chrono::milliseconds> start; ///< Until the first server could begin it.
        std::optional<std::chrono::milliseconds> queue; ///< Until its turn in the queue.
        std::chrono::milliseconds least { 0 }; ///< Shortest time from its start to the start of its answer.
        std::size_t ahead = 0;
    };

    auto serviceOf(const std::string& name) -> Service&;
    auto limitOf(const std::string& name, Service&, TimePoint now) -> RoomLimit;
    /** Returns whether requests of the service may be held: its times are measured, and it has no more servers than nodes share the load of. */
    [[nodiscard]] static auto isHeldFor(const Service&, TimePoint now) -> bool;

    /** Returns whether the service has enough slots for each node to have a part of them. */
    [[nodiscard]] auto isDivisible(const Service&) const -> bool;
    [[nodiscard]] auto hasRoom(const Service&, const BackendServer&, TimePoint now) const -> bool;

    /** Returns whether this node has as many requests open at the service as it may. */
    auto isAtLimit(const std::string& name, Service&, TimePoint now) -> bool;
    auto estimate(const ForwardRequest&, Service&, const Candidates&, TimePoint now) -> Estimate;
    auto refusalDelay(const Estimate&, TimePoint deadline, TimePoint now) -> std::chrono::milliseconds;
    auto refuseHeld(const WaitingRequest&, const char* cause, TimePoint now) -> void;
    auto logRefusal(const std::string& service, const std::string& requestId, const char* cause, const Estimate&, TimePoint deadline, TimePoint now) -> void;
    auto updateGauges() -> void;

    const GatewaySettings& settings;
    const CacheAwarePolicy& policy;
    Metrics& metrics;
    const EventLog& log;
    Refuser refuser;
    const RoomSource* rooms = nullptr;
    AdmissionQueue queue;
    RefusalDelay delays;
    std::map<std::string, Service> services;
    std::unordered_map<std::uint64_t, OpenAttempt> openAttempts; ///< By id of the request.
    std::optional<std::uint64_t> trying; ///< Request that advance() is trying to start.
    std::size_t nodeCount = 1;
};

} // namespace Primrosefork
