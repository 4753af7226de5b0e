#pragma once

#include "backendserver.h"
#include "bootclock.h"
#include "lifecycle.h"
#include "routetable.h"
#include "section.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

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
    std::uint64_t fence = 0; ///< Fence of this node's leadership; 0 when it does not lead.
    BootClock::time_point validUntil; ///< Time until which this node may act as the leader, when it leads.
};

/** Number of nodes assumed until the store or the leader supplies it, which takes less than a second after the start. */
constexpr std::size_t assumedNodeCount = 16;

/** The leader's last information about all nodes, and this node's shares. */
struct FleetShare {
    std::size_t nodes = assumedNodeCount; ///< Number of live nodes.
    std::map<std::string, double> quotaShares; ///< This node's fraction of each quota, by workspace.
    std::map<std::string, std::int64_t> streamEngines; ///< Number of engines that serve long streams, by service.
};

/**
 * The state that the controllers of a gateway node share.
 */
class GatewayBoard {
public:
    Section<Lifecycle> lifecycle { "lifecycle" };
    Section<TrafficInForce> traffic { "traffic" };
    Section<BackendServers> backendServers { "backendServers" };
    Section<std::uint64_t> registryRevision { "registryRevision" }; ///< Revision of the newest change of the registry that this node has seen.
    Section<Leadership> leadership { "leadership" };
    Section<FleetShare> fleetShare { "fleetShare" };
};

} // namespace Primrosefork
