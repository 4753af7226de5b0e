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

/** The operators' configuration that is in force. */
struct TrafficInForce {
    std::shared_ptr<const RouteTable> table; ///< Null before the first one is known.
    std::uint64_t revision = 0; ///< Of the store, that the configuration was written with.
    BootClock::time_point confirmed; ///< The store said at this moment or later that it is the newest.
};

/** The node that has the fleet's duties. */
struct Leadership {
    std::string leaderId; ///< Empty when no node is known to lead.
    Address leaderAddress;
    bool isOwn = false;
    std::uint64_t fence = 0; ///< Of this node, when it leads.
    BootClock::time_point validUntil; ///< This node's lease, when it leads.
};

/** Taken for the number of nodes before the store or the leader has told it, which is within the first second of a node. */
constexpr std::size_t assumedNodes = 16;

/** What the leader told this node of all nodes together. */
struct FleetShare {
    std::size_t nodes = assumedNodes;
    std::map<std::string, double> quotaShares; ///< Part of each workspace's quota, by its name.
    std::map<std::string, std::int64_t> streamEngines; ///< Number of engines that serve long streams, by service.
};

/**
 * What the controllers of a gateway node share.
 */
class GatewayBoard {
public:
    Section<Lifecycle> lifecycle { "lifecycle" };
    Section<TrafficInForce> traffic { "traffic" };
    Section<BackendServers> backendServers { "backendServers" };
    Section<std::uint64_t> registryRevision { "registryRevision" }; ///< Of the newest change of the registry that was seen.
    Section<Leadership> leadership { "leadership" };
    Section<FleetShare> fleetShare { "fleetShare" };
};

} // namespace Primrosefork
