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
 * What a routing policy is told of one request.
 */
struct RoutingRequest {
    std::uint64_t id = 0; ///< Unique on this node while the request runs.
    WorkClass workClass = WorkClass::Short;
    std::int64_t promptTokens = 0;
    std::int64_t expectedTokens = 0; ///< Of the answer.
    std::uint64_t prefixHash = 0; ///< Of the start of the prompt; 0 when nothing can be shared.
    std::span<const std::uint64_t> prefixBlocks; ///< Of the prompt up to the end of each block, see prefixBlocks().
    std::span<const PromptPart> promptParts; ///< Of the prompt in order, when the caller tells them.
    std::chrono::milliseconds waited { 0 }; ///< Since the request came.
    bool isResumed = false; ///< The caller has a part of the answer and waits for the rest.
    const std::set<std::string>* excluded = nullptr; ///< Ids of servers that are not to be chosen; null is none.
    std::int64_t priority = 5;
    std::string_view zone; ///< Of the deciding node.
};

/** How one attempt at a backend server ended. */
enum class AttemptEnd {
    Finished,
    Failed, ///< The server answered with an error or the connection broke.
    Erred, ///< The server ran the request and answered that it failed.
    Stalled, ///< No piece came within the idle timeout.
    Cancelled,
};

/**
 * Decides which backend server runs a request.
 *
 * The node tells the policy of everything that happens to its own requests; a
 * policy keeps whatever view it needs. It reads no clock: each call gets the
 * present moment.
 */
class RoutingPolicy {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~RoutingPolicy() = default;

    /** Tells the policy how many nodes share the backend servers. */
    virtual auto setNodeCount(std::size_t) -> void { }

    /** Returns the priority that the engine is told for \a request; a higher one goes first. */
    [[nodiscard]] virtual auto enginePriority(const RoutingRequest& request) const -> std::int64_t { return request.priority; }

    /** Like choose() below, with candidates that were indexed before and without the excluded ones. */
    virtual auto choose(const RoutingRequest& request, const CandidateList& candidates, TimePoint now) -> const BackendServer*;

    /**
     * Returns the one of \a candidates that is to run \a request, or null when
     * none of them should be given more work now.
     */
    virtual auto choose(const RoutingRequest& request, std::span<const BackendServer* const> candidates, TimePoint now)
        -> const BackendServer* = 0;

    /** The load reports were replaced. */
    virtual auto loadReported(const LoadReports&, TimePoint) -> void { }

    /** \a server told its \a load with an answer. */
    virtual auto loadObserved(const BackendServer& /*server*/, const ObservedLoad& /*load*/, TimePoint) -> void { }

    /** \a request was sent to \a server. */
    virtual auto requestSent(const RoutingRequest&, const BackendServer&, TimePoint) -> void { }

    /** The first piece of the answer to \a request came. */
    virtual auto firstPieceReceived(const RoutingRequest&, const BackendServer&, TimePoint) -> void { }

    /** A later piece of the answer came, of \a tokens tokens. */
    virtual auto pieceReceived(const RoutingRequest&, const BackendServer&, std::int64_t /*tokens*/, TimePoint) -> void { }

    /** The attempt ended. */
    virtual auto requestEnded(const RoutingRequest&, const BackendServer&, AttemptEnd, TimePoint) -> void { }
};

/**
 * Returns the policy called \a name: "product", "round-robin",
 * "least-outstanding" or "least-reported-load". Returns null for other names.
 * \a seed makes nodes that know the same decide differently.
 */
[[nodiscard]] auto makeRoutingPolicy(std::string_view name, std::uint64_t seed = 0) -> std::unique_ptr<RoutingPolicy>;

} // namespace Primrosefork
