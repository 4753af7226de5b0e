#pragma once

#include "routingpolicy.h"
#include "slowdowndetector.h"
#include "streampartition.h"

#include <cstdint>
#include <deque>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/**
 * Chooses the server that is expected to begin a request first, counted in
 * prompt tokens: what it has to read before, what it does not keep of the
 * prompt, and how much everything that runs there slows it.
 *
 * Prompts that share parts go to the same server on every node, since each part
 * sequence has a home by rendezvous hashing; a home that is busier than it saves
 * is passed over.
 */
class CacheAwarePolicy : public RoutingPolicy {
public:
    using RoutingPolicy::choose;

    explicit CacheAwarePolicy(std::uint64_t seed);

    auto choose(const RoutingRequest&, std::span<const BackendServer* const> candidates, TimePoint) -> const BackendServer* override;
    auto loadObserved(const BackendServer&, const ObservedLoad&, TimePoint) -> void override;
    auto requestSent(const RoutingRequest&, const BackendServer&, TimePoint) -> void override;
    auto firstPieceReceived(const RoutingRequest&, const BackendServer&, TimePoint) -> void override;
    auto pieceReceived(const RoutingRequest&, const BackendServer&, std::int64_t tokens, TimePoint) -> void override;
    auto requestEnded(const RoutingRequest&, const BackendServer&, AttemptEnd, TimePoint) -> void override;

    /** Returns how many prompt tokens an engine of \a pool reads in a second when nothing else holds it up, or 0 while that is not known. */
    [[nodiscard]] auto readingRate(const std::string& pool) const -> double;

    /** Returns how many prompt tokens the server that choose() named for \a request has to read. */
    [[nodiscard]] auto expectedReading(const RoutingRequest& request, const BackendServer& server, TimePoint now) const -> std::int64_t;

    /** Sets the engines, by id, that long streams are sent to and other requests avoid. */
    auto setStreamEngines(std::set<std::string> ids) -> void { this->streamEngines = std::move(ids); }

    /** Forgets what the server \a id kept, after it went or started anew. */
    auto forget(const std::string& id) -> void;

private:
    /** A request of this node that is open at a server. */
    struct OpenRequest {
        std::string serverId;
        std::int64_t unreadTokens = 0; ///< Of the prompt, until the first piece.
        std::int64_t ownTokens = 0; ///< Of the prompt's last part, which no engine keeps.
        TimePoint sent;
        TimePoint lastPiece;
        bool hasPiece = false;
    };

    struct ServerState {
        std::int64_t running = 0; ///< Requests of this node.
        std::int64_t unreadTokens = 0; ///< Of this node's prompts.
        std::int64_t others = 0; ///< Requests of other nodes, as of the last answer.
        std::int64_t othersWaiting = 0;
        int errors = 0; ///< One after the other.
        double machineSlowness = 1; ///< As of the last answer.
        TimePoint observed;
        std::unordered_map<std::uint64_t, TimePoint> keptParts; ///< Part sequences that this node had read there, and when.
    };

    [[nodiscard]] auto costOf(const RoutingRequest&, const BackendServer&, std::span<const std::uint64_t> sequences, bool isHome, TimePoint) -> double;
    [[nodiscard]] auto isForeign(const RoutingRequest&, const BackendServer&) const -> bool;
    [[nodiscard]] auto unreadTokens(const RoutingRequest&, const ServerState&, std::span<const std::uint64_t> sequences, bool isHome, TimePoint) const
        -> std::int64_t;
    auto keep(ServerState&, std::span<const std::uint64_t> sequences, TimePoint) -> void;

    SlowdownDetector slowdowns;
    std::unordered_map<std::string, ServerState> servers;
    std::unordered_map<std::uint64_t, OpenRequest> open;
    std::unordered_map<std::string, std::deque<double>> readingRates; ///< Tokens a second of the last long prompts, by pool.
    std::set<std::string> streamEngines;
    std::minstd_rand random;
};

} // namespace Primrosefork
