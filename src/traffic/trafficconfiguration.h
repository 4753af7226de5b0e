#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/** How many times backend servers may run one request of a route. */
enum class RouteType {
    Idempotent, ///< A request may run any number of times.
    NonIdempotent, ///< A request runs at most once.
    Stream, ///< The answer is streamed; a request runs at most once unless the route is resumable.
};

/** A service that a route may use, and its weight among the route's services. */
struct RouteShare {
    std::string service;
    double weight = 1; ///< Share of the route's requests, relative to the weights of the other services.
};

/**
 * Requests of one host and path prefix, the services that run them and the limits that apply.
 */
struct TrafficRoute {
    std::string name;
    std::string host;
    std::string prefix; ///< Path prefix; begins and ends with '/'.
    RouteType type = RouteType::NonIdempotent;
    std::chrono::milliseconds timeout { 0 }; ///< Time limit for the whole answer; with 0 only the caller's own limit applies.
    std::chrono::milliseconds objective { 0 }; ///< Target time to the answer, or to the first event of a stream; 0 is not set.
    std::chrono::milliseconds maxEventGap { 0 }; ///< Target for the longest pause between two events of a stream; 0 is not set.
    std::int64_t priority = 0; ///< Priority of the requests; 0 is the highest.
    std::int64_t maxAttempts = 1; ///< Largest number of backend servers that may run one request.
    bool isPublic = false; ///< Requests need no credential.
    bool isResumable = false; ///< Another engine may continue a stream.
    std::vector<RouteShare> shares;
};

/** Capacity and abilities of the engines of a service. */
struct EngineTraits {
    std::int64_t slots = 1; ///< Requests that one engine runs at once.
    std::int64_t kvCacheTokens = 0; ///< Size of the KV cache that running requests and cached prefixes share, in tokens.
    std::int64_t tokensPerEvent = 1; ///< Tokens that one event of a stream holds.
    bool canMoveRuns = false; ///< A running request can be moved to another engine.
};

/** Numbers of engines that an operator allows in each zone, and their prices. */
struct ScalingSettings {
    std::int64_t minEngines = 0; ///< Smallest number of engines in each zone.
    std::int64_t maxEngines = 0; ///< Largest number of engines in each zone.
    std::chrono::milliseconds bootTime { 0 }; ///< Time that an engine takes to boot.
    double reclaimablePrice = 1; ///< Price of a reclaimable engine as a fraction of the price of an on-demand engine.
    std::map<std::string, double> zonePrices; ///< Price of an on-demand engine per second, by zone.
};

/** A group of interchangeable backend servers. */
struct TrafficService {
    std::string name;
    std::string healthPath;
    std::int64_t maxConnections = 0; ///< Connections that one server accepts from all nodes together; 0 is not known.
    std::optional<EngineTraits> engine; ///< Not set for a plain service.
    std::optional<ScalingSettings> scaling; ///< Not set for a service whose number of engines is not planned.
};

/** Limits on the size and the duration of callers' requests. */
struct CallerLimits {
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 4'194'304;
    std::chrono::milliseconds headerTimeout { 3'000 }; ///< Time within which the header of a request has to be received.
    std::chrono::milliseconds idleTimeout { 15'000 }; ///< Time for which a caller may leave a connection idle; it is closed a little later.
};

/** Tokens or requests that a workspace may use over time. */
struct WorkspaceQuota {
    double perSecond = 0; ///< Tokens or requests that may be used per second; 0 is no limit.
    double burst = 0; ///< Tokens or requests that may be used at once in addition.
    bool countsTokens = false; ///< The quota counts tokens instead of requests.
    std::int64_t defaultRequestTokens = 1; ///< Tokens that are charged for a request without token counts.
};

/** A customer with its credentials and quota. */
struct TrafficWorkspace {
    std::string name;
    std::vector<std::string> credentials;
    std::optional<std::int64_t> priority; ///< Overrides the priority of the route.
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
