#pragma once

#include "cacheawarepolicy.h"
#include "eventloop.h"
#include "fleetmessage.h"
#include "forwardrequest.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "rolloutcounter.h"
#include "rolloutgate.h"
#include "serverindex.h"
#include "statesource.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Holds roll-outs on a node: chooses the servers that a request may be sent to
 * and counts the answers. It passes everything on to the routing policy, which
 * chooses among these servers.
 */
class RolloutRouting : public RoutingPolicy, public StateSource {
public:
    RolloutRouting(CacheAwarePolicy&, const GatewaySettings&, GatewayBoard&, Metrics&, const EventLog&);

    /** Notes the request of a caller for \a service. */
    auto requestReceived(const std::string& service) -> void;

    /** Returns the groups of servers to choose from, the first one first; \a all are the live servers of the service and \a isRepeat tells that one failed or refused the request. */
    auto indexesFor(const ForwardRequest& request, const ServerIndex& all, bool isRepeat, TimePoint now) -> std::vector<const ServerIndex*>;

    /** Forgets the request \a id, which has ended. */
    auto requestEnded(std::uint64_t id) -> void;

    /** Takes over all registered servers. */
    auto serversChanged(const BackendServers& servers, TimePoint now) -> void;

    /** Sets the \a ids of the engines for long streams. */
    auto setStreamEngines(const std::set<std::string>& ids) -> void;

    auto addToReport(NodeReport& report, TimePoint now) -> void;

    using RoutingPolicy::choose;
    auto choose(const RoutingRequest&, std::span<const BackendServer* const> candidates, TimePoint) -> const BackendServer* override;
    auto loadObserved(const BackendServer&, const ObservedLoad&, TimePoint) -> void override;
    auto requestSent(const RoutingRequest&, const BackendServer&, TimePoint) -> void override;
    auto firstPieceReceived(const RoutingRequest&, const BackendServer&, TimePoint) -> void override;
    auto pieceReceived(const RoutingRequest&, const BackendServer&, std::int64_t tokens, TimePoint) -> void override;
    auto requestEnded(const RoutingRequest&, const BackendServer&, AttemptEnd, TimePoint) -> void override;

    [[nodiscard]] auto stateName() const -> std::string override { return "rollout_versions"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** What the routing policy is not told of a request. */
    struct Request {
        std::uint32_t route = 0;
        bool isStream = false;
    };

    /** The longest recent times of a route's answers; each is reduced a little by every shorter one. */
    struct RouteTimes {
        double answer = 0; ///< Seconds until the end.
        double start = 0; ///< Seconds until the first event of a stream.
        double pace = 0; ///< Seconds between two events.
    };

    auto noteTimes(const RolloutCounter::Attempt&, TimePoint now) -> void;

    /** Returns the time by which \a request is expected to have ended, at the latest its deadline. */
    [[nodiscard]] auto latestEnd(const ForwardRequest& request, TimePoint now) const -> TimePoint;

    [[nodiscard]] auto isEnabled() const -> bool { return this->settings.bounds.exposureShare.has_value(); }
    auto rolloutsChanged(const RolloutsInForce&) -> void;

    CacheAwarePolicy& policy;
    const GatewaySettings& settings;
    Metrics& metrics;
    const EventLog& log;
    RolloutGate gate;
    RolloutCounter counter;
    std::unordered_map<std::uint32_t, RouteTimes> times; ///< By route.
    std::unordered_map<std::uint64_t, Request> requests; ///< Open requests, by id.
    std::map<std::pair<std::string, RolloutSide>, std::optional<ServerIndex>> sides; ///< Live servers of one side of a service, made when they are needed; nothing when these are all.
    std::set<std::string> streamEngines; ///< Ids of the engines for long streams.
};

} // namespace Primrosefork
