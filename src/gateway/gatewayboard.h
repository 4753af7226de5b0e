#pragma once

#include "backendserver.h"
#include "bootclock.h"
#include "lifecycle.h"
#include "rolloutreport.h"
#include "routetable.h"
#include "section.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/** The operators' configuration that this node applies. */
struct TrafficInForce {
    std::shared_ptr<const RouteTable> table; ///< Null until the first configuration has been read.
    std::uint64_t revision = 0; ///< Store revision of the write that set the configuration.
    BootClock::time_point confirmed; ///< Latest time at which the configuration is known to have been the newest in the store.
};

/** The leader: the node that orders engines, reports usage and keeps the quota accounts. */
struct Leadership {
    std::string leaderId; ///< Id of the leader; empty when none is known.
    Address leaderAddress; ///< Address at which the leader receives messages of its peers; port 0 when none is known.
    bool isOwn = false; ///< Whether this node is the leader.
    std::uint64_t term = 0; ///< Revision of the leader's key, which increases with each change of the leadership; 0 when no leader is known.
    std::uint64_t fence = 0; ///< Fence of this node's leadership; 0 when it does not lead.
    BootClock::time_point validUntil; ///< Time until which this node may act as the leader, when it leads.

    // The last leader goes on to keep the quota accounts and to answer reports while no other is known.
    Address coordinatorAddress; ///< Address of the leader or the last leader; port 0 when there is none.
    bool isCoordinator = false; ///< Whether that is this node.
    BootClock::time_point coordinatesUntil = BootClock::time_point::max(); ///< Time until which the last leader is asked.
    std::uint64_t coordinationFence = 0; ///< Fence with which this node's coordination began; the same while no other node can have led since.

    /** Returns whether a coordinator can be asked at \a now. */
    [[nodiscard]] auto hasCoordinator(BootClock::time_point now) const -> bool { return this->coordinatorAddress.port != 0 && now < this->coordinatesUntil; }
};

/** Number of nodes assumed until the store or the leader supplies it, which takes less than a second after the start. */
constexpr std::size_t assumedNodeCount = 16;

/** The leader's last information about all nodes, and this node's shares. */
struct FleetShare {
    std::size_t nodes = assumedNodeCount; ///< Number of live nodes.
    std::map<std::string, double> quotaShares; ///< This node's fraction of the quotas of the workspaces that use it, by workspace.
    double otherQuotaShare = 0; ///< This node's fraction of each other quota; 0 until the leader has answered.
    std::map<std::string, std::int64_t> streamEngines; ///< Number of engines that serve long streams, by service.
};

/** The nodes that watch the store and relay its changes to the others, as chosen by the leader. */
struct Observers {
    std::vector<Address> addresses; ///< Addresses at which they receive messages of their peers; empty until the leader has chosen them.
    bool isListed = false; ///< Whether this node is one of them.
};

/** The leader's last word on the roll-outs. */
struct RolloutsInForce {
    std::vector<RolloutShare> shares;
    bool isComplete = false; ///< Whether these are all roll-outs, rather than what a leader knows that has just begun.
    std::chrono::steady_clock::time_point reportSent; ///< Time at which the report was sent that the leader answered.
};

/**
 * The state that the controllers of a gateway node share.
 */
class GatewayBoard {
public:
    Section<Lifecycle> lifecycle { "lifecycle" };
    Section<TrafficInForce> traffic { "traffic" };
    Section<BackendServers> backendServers { "backendServers" };
    Section<Leadership> leadership { "leadership" };
    Section<FleetShare> fleetShare { "fleetShare" };
    Section<RolloutsInForce> rollouts { "rollouts" };
    Section<Observers> observers { "observers" };

    /** Returns whether this node has to watch the store itself: the observers, the leader, and every node until observers have been chosen. */
    [[nodiscard]] auto isObserver() const -> bool
    {
        const auto& chosen = this->observers.value();
        return chosen.isListed || chosen.addresses.empty() || this->leadership.value().isOwn;
    }
};

} // namespace Primrosefork
