#pragma once

#include "backendload.h"

#include <string>
#include <vector>

namespace Primrosefork {

/** Mean load of the live servers of a service, and its callers' requests. */
struct MeanLoad {
    std::string service;
    double openRequests = 0;
    double pendingPrefillTokens = 0;
    double requestsPerSecond = 0; ///< Requests that callers send to all nodes per second.

    auto operator==(const MeanLoad&) const -> bool = default;
};

/** Requests of callers for one service at one node. */
struct CallerDemand {
    std::string service;
    std::int64_t waitingRequests = 0; ///< Requests that wait for a server.
    double requestsPerSecond = 0;
};

/** The load that one node reports. */
struct NodeLoad {
    std::string zone; ///< Data centre of the node.
    std::vector<BackendLoad> servers;
    std::vector<CallerDemand> demand;
};

/** The part of the leader's answer to a node about the load of all nodes. */
struct LoadAnswer {
    std::vector<BackendLoad> busiest; ///< Load of the other nodes at the servers that are above the mean of their service, the largest excess first.
    std::vector<MeanLoad> means; ///< Mean load of the other nodes; empty with too few nodes.
    std::vector<ZoneRoom> rooms; ///< Over all nodes, the node's own zone first; of many rooms, only those of the own zone.

    auto operator==(const LoadAnswer&) const -> bool = default;
};

/** Cost of an open request in prompt tokens, by which loads are compared; close to what routing charges for it. */
constexpr double openRequestTokens = 120;

/** Returns the cost of \a load in prompt tokens. */
[[nodiscard]] inline auto loadCost(const BackendLoad& load) -> double
{
    return openRequestTokens * static_cast<double>(load.openRequests) + static_cast<double>(load.pendingPrefillTokens);
}

/** Sorts \a loads by descending cost and removes all but the first \a limit. */
auto keepLargest(std::vector<BackendLoad>& loads, std::size_t limit) -> void;

} // namespace Primrosefork
