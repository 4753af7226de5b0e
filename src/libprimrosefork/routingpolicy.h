#pragma once

#include "backendserver.h"
#include "candidatelist.h"
#include "promptpart.h"
#include "servicetemplate.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace Primrosefork {

/**
 * The properties of a request on which a routing policy decides.
 */
struct RoutingRequest {
    std::uint64_t id = 0; ///< Id of the attempt, unique on this node while it runs.
    WorkClass workClass = WorkClass::Short;
    std::int64_t promptTokens = 0;
    std::int64_t expectedTokens = 0; ///< Expected number of tokens in the answer.
    std::uint64_t prefixHash = 0; ///< Hash of the start of the prompt; 0 when there is no prefix to share.
    std::span<const std::uint64_t> prefixBlocks; ///< Hashes of the prompt up to the end of each block, see prefixBlocks().
    std::span<const PromptPart> promptParts; ///< Parts of the prompt in order; empty when the caller does not name them.
    std::chrono::milliseconds waited { 0 }; ///< Time since the request was received.
    bool isResumed = false; ///< Whether the caller has a part of the answer and waits for the rest.
    const std::set<std::string>* excluded = nullptr; ///< Ids of servers that must not be chosen; null when none are excluded.
    std::int64_t priority = 5;
    std::string_view zone; ///< Zone of the node that routes the request.
    std::string_view overflowZone; ///< Other zone that the request is sent to; empty when it stays in its own.
    double otherZoneTokens = 0; ///< Configured cost of a server in another zone, in prompt tokens; 0 is not set.
};

/** How one attempt at a backend server ended. */
enum class AttemptEnd {
    Finished,
    Failed, ///< The server answered with an error or the connection broke; the request may have run.
    ServerError, ///< The server ran the request and reported that it failed.
    Stalled, ///< No piece of the answer was received within the idle timeout or the stall timeout.
    Cancelled,
};

/**
 * Decides which backend server runs a request.
 *
 * The node notifies the policy of everything that happens to its own requests, and
 * the policy keeps the state that it needs. It reads no clock: each call is given
 * the current time.
 */
class RoutingPolicy {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~RoutingPolicy() = default;

    /** Sets the number of nodes that share the backend servers. */
    virtual auto setNodeCount(std::size_t) -> void { }

    /** Returns the priority of \a request that is sent to the engine; a higher one goes first. */
    [[nodiscard]] virtual auto enginePriority(const RoutingRequest& request) const -> std::int64_t { return request.priority; }

    /**
     * Returns the one of the indexed \a candidates that is to run \a request, or
     * null when none of them should be given more work now. Servers that the
     * request excludes are not chosen.
     */
    virtual auto choose(const RoutingRequest& request, const CandidateList& candidates, TimePoint now) -> const BackendServer*;

    /**
     * Returns the one of \a candidates that is to run \a request, or null when
     * none of them should be given more work now.
     */
    virtual auto choose(const RoutingRequest& request, std::span<const BackendServer* const> candidates, TimePoint now)
        -> const BackendServer* = 0;

    /** Called when the load reports were replaced. */
    virtual auto loadReported(const LoadReports&, TimePoint) -> void { }

    /** Called when \a server reported its \a load in an answer. */
    virtual auto loadObserved(const BackendServer& /*server*/, const ObservedLoad& /*load*/, TimePoint) -> void { }

    /** Called when a request was sent to a server. */
    virtual auto requestSent(const RoutingRequest&, const BackendServer&, TimePoint) -> void { }

    /** Called when the first piece of the answer was received. */
    virtual auto firstPieceReceived(const RoutingRequest&, const BackendServer&, TimePoint) -> void { }

    /** Called when a later piece of the answer, with \a tokens tokens, was received. */
    virtual auto pieceReceived(const RoutingRequest&, const BackendServer&, std::int64_t /*tokens*/, TimePoint) -> void { }

    /** Called when the attempt ended. */
    virtual auto requestEnded(const RoutingRequest&, const BackendServer&, AttemptEnd, TimePoint) -> void { }
};

/**
 * Returns the policy called \a name: "product", "round-robin",
 * "least-outstanding" or "least-reported-load". Returns null for other names.
 * Nodes with the same view decide differently when their \a seed differs.
 */
[[nodiscard]] auto makeRoutingPolicy(std::string_view name, std::uint64_t seed = 0) -> std::unique_ptr<RoutingPolicy>;

} // namespace Primrosefork
