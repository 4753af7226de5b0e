#include "backendsubset.h"

#include "hash.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace Primrosefork {

namespace {

/** A node with the hashes of its id and its zone, which are cheaper to compare than the strings. */
struct HashedNode {
    const SubsetNode* node = nullptr;
    std::uint64_t hash = 0;
    std::uint64_t zone = 0;
};

/** The servers of one pool in one region, and their number in each zone. */
struct ServerGroup {
    std::vector<const BackendServer*> servers;
    std::map<std::uint64_t, std::size_t> serversInZone; ///< Number of servers by the hash of their zone.
};

/** The pool and the region of a group of servers. */
using GroupKey = std::pair<std::string, std::string>;

/** Combines two hashes so that each bit of the input affects all bits of the result (the finalizer of SplitMix64). */
auto mix(std::uint64_t first, std::uint64_t second) -> std::uint64_t
{
    auto value = first ^ (second * 0x9e3779b97f4a7c15U);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

auto groupServers(const BackendServers& servers) -> std::map<GroupKey, ServerGroup>
{
    std::map<GroupKey, ServerGroup> groups;
    for (const auto& [id, server] : servers) {
        auto& group = groups[{ server.pool, server.region }];
        group.servers.push_back(&server);
        ++group.serversInZone[hash64(server.zone)];
    }
    return groups;
}

/** Returns the nodes of \a region, or all \a nodes when there are none in the region. */
auto nodesForRegion(const std::vector<HashedNode>& nodes, const std::string& region) -> std::vector<HashedNode>
{
    std::vector<HashedNode> inRegion;
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(inRegion), [&region](const HashedNode& hashed) { return hashed.node->region == region; });
    return inRegion.empty() ? nodes : inRegion;
}

/** The number of nodes that are assigned to a server. */
struct FanIn {
    std::size_t total = 0; ///< Number of nodes from any zone.
    std::size_t local = 0; ///< Maximum number of nodes that are taken first from the server's own zone.
};

/** Returns whether the node \a own of \a nodes is assigned to \a server; \a zone is the hash of the server's zone. */
auto isAssigned(const BackendServer& server, std::uint64_t zone, const HashedNode& own, const std::vector<HashedNode>& nodes, const FanIn& fanIn) -> bool
{
    const auto serverHash = hash64(server.id);
    const auto ownScore = mix(serverHash, own.hash);
    std::size_t higherRanked = 0;
    std::size_t higherRankedLocal = 0;
    std::size_t localNodes = 0;
    for (const auto& node : nodes) {
        const std::size_t isHigher = mix(serverHash, node.hash) > ownScore ? 1 : 0;
        const std::size_t isLocal = node.zone == zone ? 1 : 0;
        higherRanked += isHigher;
        localNodes += isLocal;
        higherRankedLocal += isHigher & isLocal;
    }
    if (own.zone == zone && higherRankedLocal < fanIn.local)
        return true;
    // The other assignments go to the highest-ranked of the remaining nodes, including those of the zone.
    const auto assignedLocal = std::min(fanIn.local, localNodes);
    const auto higherRankedAssigned = std::min(fanIn.local, higherRankedLocal);
    return higherRanked - higherRankedAssigned < fanIn.total - assignedLocal;
}

auto divideRoundingUp(std::size_t dividend, std::size_t divisor) -> std::size_t
{
    return (dividend + divisor - 1) / divisor;
}

/** The node that selects its servers, and the live nodes that the servers are divided among. */
struct SelectionContext {
    std::vector<HashedNode> nodes;
    const std::string& self;
    const SubsetOptions& options;
    unsigned widening = 0;
};

auto fanInOf(const ServerGroup& group, const SelectionContext& context, std::uint64_t zone, std::size_t nodesInZone) -> FanIn
{
    const auto wanted = divideRoundingUp(context.options.serversPerNode * context.nodes.size(), group.servers.size());
    const auto total = std::min(std::max(wanted, context.options.minNodesPerServer) << context.widening, context.nodes.size());
    // Without this limit, the nodes of a zone with few nodes and many servers would get larger subsets than others.
    const auto localLimit = context.options.serversPerNode / 2 * nodesInZone / group.serversInZone.at(zone);
    return { total, std::min(total / 2, localLimit << context.widening) };
}

auto selectFrom(const ServerGroup& group, const SelectionContext& context, BackendSubsetIds& selected) -> void
{
    const auto own = std::find_if(context.nodes.begin(), context.nodes.end(), [&context](const HashedNode& node) { return node.node->id == context.self; });
    if (own == context.nodes.end())
        return;
    std::map<std::uint64_t, std::size_t> nodesByZone;
    for (const auto& node : context.nodes)
        ++nodesByZone[node.zone];
    for (const auto* server : group.servers) {
        const auto zone = hash64(server->zone);
        if (isAssigned(*server, zone, *own, context.nodes, fanInOf(group, context, zone, nodesByZone[zone])))
            selected.insert(server->id);
    }
}

} // namespace

BackendSubset::BackendSubset(const SubsetOptions& options)
    : options(options)
{
}

auto BackendSubset::select(const std::string& self, const std::vector<SubsetNode>& nodes, const BackendServers& servers, unsigned widening) const
    -> BackendSubsetIds
{
    std::vector<HashedNode> hashed;
    hashed.reserve(nodes.size());
    for (const auto& node : nodes)
        hashed.push_back({ &node, hash64(node.id), hash64(node.zone) });

    BackendSubsetIds selected;
    for (const auto& [key, group] : groupServers(servers))
        selectFrom(group, { nodesForRegion(hashed, key.second), self, this->options, widening }, selected);
    return selected;
}

} // namespace Primrosefork
