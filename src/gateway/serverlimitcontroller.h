#pragma once

#include "fleetmessage.h"
#include "gatewayboard.h"
#include "headercodec.h"
#include "limitledger.h"
#include "serverlimits.h"
#include "statesource.h"

#include <map>
#include <string>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Keeps the limits that servers name in their answers, together with the other nodes.
 *
 * Nodes report what servers stated and how many requests they have; the leader's
 * answers give them permits and the limits that they lack (docs/decisions/065-server-limits.md).
 */
class ServerLimitController : public StateSource {
public:
    ServerLimitController(const std::string& nodeId, GatewayBoard&, Metrics&, const EventLog&);

    /** Notes what \a server stated in an answer with \a reply. */
    auto replyReceived(const BackendServer& server, const ReplyFields& reply) -> void;

    /** Returns whether \a server takes a request of this node now. */
    [[nodiscard]] auto takesRequest(const BackendServer& server) -> bool { return this->limits.hasPermit(server, BootClock::now()); }

    /** Returns the limit that \a server named last, to this or another node, if any. */
    [[nodiscard]] auto limitOf(const BackendServer& server) const -> std::optional<double> { return this->limits.limitOf(server); }

    /** Returns the time until the leader may grant the next permits. */
    [[nodiscard]] auto nextGrantDelay() const -> std::chrono::milliseconds;

    /** Notes that a request was sent to \a server. */
    auto requestSent(const BackendServer& server) -> void;

    /** Adds the limits that this node knows to its report. */
    auto addToReport(NodeReport&) const -> void;

    /** Applies the report of the node \a nodeId on the leader. */
    auto reportReceived(const std::string& nodeId, const NodeReport&) -> void;

    /** Sums the demand of the nodes by service on the leader, of which \a nodes are alive; called with each report of its own. */
    auto updateDemand(std::size_t nodes) -> void;

    /** Adds permits, and limits that the node \a nodeId lacks, to the leader's answer to its report. */
    auto addToAnswer(FleetAnswer&, const std::string& nodeId) -> void;

    /** Applies the leader's answer to a report that was sent at \a reportSent. */
    auto applyAnswer(const FleetAnswer&, BootClock::time_point reportSent) -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "server_limits"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** What the leader knows of one node. */
    struct Node {
        BootClock::time_point reportedAt;
        BootClock::time_point grantedAt;
        BootClock::time_point listedAt; ///< Time at which the limits were last sent to it.
        std::uint64_t digest = 0; ///< Digest of the limits that it knew with its last report.
        std::map<std::string, double> requestsPerSecond; ///< By service.
    };

    auto leadershipChanged(const Leadership&) -> void;
    [[nodiscard]] auto shareOf(const Node&, const std::string& service) const -> double;

    GatewayBoard& board;
    Metrics& metrics;
    const EventLog& log;
    ServerLimits limits;
    LimitLedger ledger;
    std::map<std::string, Node> nodes; ///< By node id; used on the leader.
    std::map<std::string, double> totalPerSecond; ///< Requests of all nodes per second, by service.
    std::size_t liveNodes = 1;
    bool isCoordinator = false;
    std::uint64_t coordinationFence = 0; ///< Fence with which this node's coordination began.
    BootClock::time_point coordinatorSince;
    std::uint64_t term = 0; ///< Term of the last known leader.
    BootClock::time_point leaderSince;
    BootClock::time_point lastAnswer; ///< Time at which the leader's last answer arrived.
};

} // namespace Primrosefork
