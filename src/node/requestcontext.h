#pragma once

namespace Primrosefork {

class AdmissionPolicy;
class Blackboard;
class CandidateCache;
class ClaimKeeper;
class Engines;
class EventLog;
class EventLoop;
class Metrics;
class PlainServices;
class RetryPolicy;
class RoutingPolicy;
struct NodeSettings;

/**
 * What the requests of one node share.
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
    ClaimKeeper& claims;
};

} // namespace Primrosefork
