#pragma once

#include "backendload.h"
#include "otherloadsource.h"
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

/** Returns the hash of the part of the prompt that \a request shares with others, by which its home server is found; 0 when it names no parts. */
[[nodiscard]] auto homePrefixOf(const RoutingRequest& request) -> std::uint64_t;

/**
 * Chooses the server that is expected to start a request first. The cost of a
 * server is counted in prompt tokens: its pending prefill, the part of the
 * prompt that it has not cached, and the slowdown by the requests it runs.
 *
 * Prompts that share a prefix go to the same server on every node, since each
 * prefix has a home server by rendezvous hashing. A home server whose load costs
 * more than its cache saves is passed over.
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

    /** Returns the prefill rate of an otherwise idle engine of \a pool in prompt tokens per second, or 0 while it is not known. */
    [[nodiscard]] auto prefillRate(const std::string& pool) const -> double;

    /**
     * Returns how many prompt tokens of \a request have to be prefilled by \a server, which
     * choose() returned for it; the prefix that it shares with other requests counts as cached.
     */
    [[nodiscard]] auto expectedPrefillTokens(const RoutingRequest& request, const BackendServer& server, TimePoint now) const -> std::int64_t;

    /** The work at a server, as far as this node knows it. */
    struct ExpectedLoad {
        double requests = 0; ///< Requests that run or wait there; those of other nodes lose weight as their report ages.
        double pendingPrefillTokens = 0; ///< Prompt tokens that the server has yet to prefill.
        bool isObserved = false; ///< Whether the load of other nodes was reported lately.
    };

    /** Returns the work that is expected at \a server. */
    [[nodiscard]] auto expectedLoad(const BackendServer& server, TimePoint now) const -> ExpectedLoad;

    /** Sets the \a ids of the engines that long streams are sent to and that other requests avoid. */
    auto setStreamEngines(std::set<std::string> ids) -> void { this->streamEngines = std::move(ids); }

    /** Sets the \a source of the other nodes' load, which must outlive the policy; null for none. */
    auto setOtherLoads(const OtherLoadSource* source) -> void { this->otherLoads = source; }

    /** Returns the load that this node's open requests put on each server. */
    [[nodiscard]] auto ownLoads() const -> std::vector<BackendLoad>;

    /** Discards what is known of the cache of the server \a id, after it was restarted. */
    auto clearCache(const std::string& id) -> void;

    /** Discards what is known of the server \a id, as soon as no request of this node runs there. */
    auto serverRemoved(const std::string& id) -> void;

    /** Returns the number of servers of which something is known. */
    [[nodiscard]] auto knownServers() const -> std::size_t { return this->servers.size(); }

    /** Returns the number of prefixes that the server \a id is expected to have cached. */
    [[nodiscard]] auto cachedPrefixes(const std::string& id) const -> std::size_t;

private:
    /** A request that this node sent to a server and that has not ended. */
    struct OpenRequest {
        std::string serverId;
        std::int64_t pendingPrefillTokens = 0; ///< Prompt tokens that the server has yet to prefill; 0 from the first piece on.
        std::int64_t lastPartTokens = 0; ///< Length of the prompt's last part, which no engine has cached.
        TimePoint sent;
        TimePoint lastPiece;
        bool hasPiece = false;
    };

    /** What this node knows of the load and the cache of a server. */
    struct ServerState {
        std::int64_t running = 0; ///< Open requests of this node.
        std::int64_t pendingPrefillTokens = 0; ///< Prompt tokens of this node's requests that the server has yet to prefill.
        std::int64_t otherRequests = 0; ///< Running and waiting requests of other nodes, as of the last observed load.
        std::int64_t otherWaiting = 0; ///< Waiting requests among them.
        bool isRemoved = false; ///< The server is not registered any more.
        int consecutiveErrors = 0; ///< Errors since a request last ended in another way.
        double machineSlowness = 1; ///< Factor by which the server's machine is slowed, as of the last observed load; 1 is its usual speed.
        double homeRequests = 0; ///< Requests whose home is the server, with a weight that falls with their age.
        TimePoint lastHomeRequest;
        TimePoint observedAt; ///< Time of the last observed load.
        std::unordered_map<std::uint64_t, TimePoint> cachedPrefixes; ///< Prefixes of this node's prompts that the server prefilled, with the time of their last use.
        std::size_t nextPurge = 0; ///< Number of these prefixes above which expired ones are removed.
    };

    /** Estimated load of the other nodes at a server. */
    struct OthersEstimate {
        double requests = 0;
        double waiting = 0; ///< Requests that wait for a slot of an engine.
        double pendingPrefillTokens = 0; ///< As known from the other nodes.
    };

    /** Returns the weight of the last observed load at \a now, from 1 (just observed) down to 0. */
    [[nodiscard]] static auto freshnessOf(const ServerState&, TimePoint now) -> double;

    /**
     * Returns the load of the other nodes by the server's own answer, whose weight is \a freshness, and by what the other nodes \a reported.
     * The other nodes are expected to have sent as much since, in proportion, as this node's \a ownArrivals.
     */
    [[nodiscard]] auto estimateOthers(const BackendServer&, const ServerState&, double freshness, const std::optional<OtherLoad>& reported, double ownArrivals, TimePoint) const -> OthersEstimate;

    /** Returns how many requests of this node per second have the server as their home. */
    [[nodiscard]] auto homeRate(const ServerState&, TimePoint) const -> double;
    [[nodiscard]] auto uniform() -> double; ///< Returns a random number from 0 to 1.
    auto recordHome(const BackendServer&, TimePoint) -> void;

    [[nodiscard]] auto costOf(const RoutingRequest&, const BackendServer&, std::span<const std::uint64_t> prefixes, bool isHome, TimePoint) -> double;

    /** Returns whether the server is an engine for long streams and the request is no long stream, or the reverse. */
    [[nodiscard]] auto isMismatched(const RoutingRequest&, const BackendServer&) const -> bool;

    [[nodiscard]] auto uncachedTokens(const RoutingRequest&, const ServerState&, std::span<const std::uint64_t> prefixes, bool isHome, TimePoint) const
        -> std::int64_t;
    auto recordCached(ServerState&, std::span<const std::uint64_t> prefixes, TimePoint) -> void;

    SlowdownDetector slowdowns;
    std::unordered_map<std::string, ServerState> servers;
    std::unordered_map<std::uint64_t, OpenRequest> openRequests;
    std::unordered_map<std::string, std::deque<double>> prefillRates; ///< Prefill rates of the latest long prompts in tokens per second, by pool.
    std::unordered_map<std::string, double> idleRates; ///< Prefill rate of an otherwise idle engine by these, in tokens per second, by pool.
    std::set<std::string> streamEngines;
    const OtherLoadSource* otherLoads = nullptr;
    std::minstd_rand random;
};

} // namespace Primrosefork
