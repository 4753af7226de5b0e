#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/** What a route lets the node send more than once. */
enum class RouteRepeat {
    Idempotent, ///< May run any number of times.
    NonIdempotent, ///< Runs once at most.
    Stream, ///< A streamed answer; runs once at most unless the route is resumable.
};

/** A service that a route may use, and its share of the route's requests. */
struct RouteShare {
    std::string service;
    std::int64_t weight = 1;
};

/**
 * Which requests go to which service, and on what terms.
 */
struct TrafficRoute {
    std::string name;
    std::string host;
    std::string prefix; ///< Of the path; begins and ends with '/'.
    RouteRepeat repeat = RouteRepeat::NonIdempotent;
    std::chrono::milliseconds timeout { 0 }; ///< For the whole answer; 0 is no limit but the caller's own.
    std::chrono::milliseconds objective { 0 }; ///< For the answer, or the first event of a stream; 0 is not set.
    std::chrono::milliseconds eventGap { 0 }; ///< Longest pause between events that is on time; 0 is not set.
    std::int64_t priority = 0; ///< 0 goes first.
    std::int64_t maxAttempts = 1; ///< Backend servers that may run one request.
    bool isPublic = false; ///< Needs no credential.
    bool isResumable = false; ///< A stream may go on at another engine.
    std::vector<RouteShare> shares;
};

/** What the engines of a service have and can do. */
struct EngineTraits {
    std::int64_t slots = 1;
    std::int64_t memoryTokens = 0; ///< KV cache that running requests and cached prefixes share.
    std::int64_t tokensPerEvent = 1;
    bool canMoveRuns = false;
};

/** How many engines an operator allows in each zone, and what they cost. */
struct ScalingTerms {
    std::int64_t least = 0;
    std::int64_t most = 0;
    std::chrono::milliseconds bootTime { 0 };
    double reclaimablePrice = 1; ///< As a part of the price of an on-demand engine.
    std::map<std::string, double> zonePrices; ///< For one engine and second.
};

/** A group of equal backend servers. */
struct TrafficService {
    std::string name;
    std::string healthPath;
    std::int64_t maxConnections = 0; ///< That one server accepts from all nodes; 0 is not known.
    std::optional<EngineTraits> engine; ///< Not set for a plain service.
    std::optional<ScalingTerms> scaling;
};

/** What a caller's request may cost a node. */
struct CallerLimits {
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4'194'304;
    std::chrono::milliseconds headerTimeout { 3'000 };
    std::chrono::milliseconds idleTimeout { 15'000 };
};

/** What a workspace may use over time. */
struct WorkspaceQuota {
    std::int64_t perSecond = 0; ///< Tokens or requests; 0 is no limit.
    std::int64_t burst = 0;
    bool countsTokens = false;
    std::int64_t plainTokens = 1; ///< What a request without token counts uses.
};

/** A customer with its credentials and quota. */
struct TrafficWorkspace {
    std::string name;
    std::vector<std::string> credentials;
    std::optional<std::int64_t> priority; ///< Goes before the priority of the route.
    WorkspaceQuota quota;
};

/**
 * Everything that operators configure, as one versioned document.
 */
struct TrafficConfiguration {
    std::uint64_t version = 0;
    std::vector<TrafficRoute> routes;
    std::map<std::string, TrafficService> services;
    CallerLimits limits;
    std::vector<TrafficWorkspace> workspaces;
};

} // namespace Primrosefork
