#pragma once

namespace Primrosefork {

class AdmissionPolicy;
class Blackboard;
class CandidateCache;
class ClaimManager;
class Engines;
class EventLog;
class EventLoop;
class Metrics;
class PlainServices;
class RetryPolicy;
class RoutingPolicy;
struct NodeSettings;

/**
 * Services of the node that all its requests use.
 */
struct RequestContext {
    EventLoop& loop;
    const NodeSettings& settings;
    const Blackboard& blackboard;
    CandidateCache& candidates;
    RoutingPolicy& routing;
    RetryPolicy& retries;
    Engines& engines;
    PlainServices& plainServices;
    Metrics& metrics;
    const EventLog& log;
    ClaimManager& claims;
};

} // namespace Primrosefork
