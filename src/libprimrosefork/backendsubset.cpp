#include "backendsubset.h"

#include "hash.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace Primrosefork {

namespace {

/** A node with the hashes of its id and its zone, which are cheaper to compare. */
struct HashedNode {
    const SubsetNode* node = nullptr;
    std::uint64_t hash = 0;
    std::uint64_t zone = 0;
};

/** The servers of one pool in one region, and how many there are in each zone. */
struct Group {
    std::vector<const BackendServer*> servers;
    std::map<std::uint64_t, std::size_t> serversInZone; ///< By the hash of the zone.
};

/** Pool and region. */
using GroupKey = std::pair<std::string, std::string>;

/** Mixes two hashes into one that differs in all bits (the finalizer of SplitMix64). */
auto mix(std::uint64_t first, std::uint64_t second) -> std::uint64_t
{
    auto value = first ^ (second * 0x9e3779b97f4a7c15U);
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
    return value ^ (value >> 31U);
}

auto groupServers(const BackendServers& servers) -> std::map<GroupKey, Group>
{
    std::map<GroupKey, Group> groups;
    for (const auto& [id, server] : servers) {
        auto& group = groups[{ server.pool, server.region }];
        group.servers.push_back(&server);
        ++group.serversInZone[hash64(server.zone)];
    }
    return groups;
}

/** Returns the nodes of \a region, or all when there is none. */
auto nodesFor(const std::vector<HashedNode>& nodes, const std::string& region) -> std::vector<HashedNode>
{
    std::vector<HashedNode> near;
    std::copy_if(nodes.begin(), nodes.end(), std::back_inserter(near), [&region](const HashedNode& hashed) { return hashed.node->region == region; });
    return near.empty() ? nodes : near;
}

/** How many nodes a server takes, and how many of them at most from its own zone. */
struct FanIn {
    std::size_t all = 0;
    std::size_t local = 0;
};

/** Returns whether \a server, with the hash of its zone, takes the node \a own among \a nodes. */
auto takesNode(const BackendServer& server, std::uint64_t zone, const HashedNode& own, const std::vector<HashedNode>& nodes, const FanIn& fanIn) -> bool
{
    const auto serverHash = hash64(server.id);
    const auto ownScore = mix(serverHash, own.hash);
    std::size_t ahead = 0;
    std::size_t localAhead = 0;
    std::size_t localNodes = 0;
    for (const auto& node : nodes) {
        const std::size_t isHigher = mix(serverHash, node.hash) > ownScore ? 1 : 0;
        const std::size_t isLocal = node.zone == zone ? 1 : 0;
        ahead += isHigher;
        localNodes += isLocal;
        localAhead += isHigher & isLocal;
    }
    if (own.zone == zone && localAhead < fanIn.local)
        return true;
    // The other places go to those that rank highest among the rest, of the zone too.
    const auto taken = std::min(fanIn.local, localNodes);
    const auto takenAhead = std::min(fanIn.local, localAhead);
    return ahead - takenAhead < fanIn.all - taken;
}

auto divideRoundingUp(std::size_t dividend, std::size_t divisor) -> std::size_t
{
    return (dividend + divisor - 1) / divisor;
}

/** The node that chooses, and among which nodes. */
struct Chooser {
    std::vector<HashedNode> nodes;
    const std::string& self;
    const SubsetOptions& options;
    unsigned widening = 0;
};

auto fanInOf(const Group& group, const Chooser& chooser, std::uint64_t zone, std::size_t nodesInZone) -> FanIn
{
    const auto wanted = divideRoundingUp(chooser.options.serversPerNode * chooser.nodes.size(), group.servers.size());
    const auto all = std::min(std::max(wanted, chooser.options.fewestNodesPerServer) << chooser.widening, chooser.nodes.size());
    // A zone with few nodes and many servers would load its nodes more than others.
    const auto localLimit = chooser.options.serversPerNode / 2 * nodesInZone / group.serversInZone.at(zone);
    return { all, std::min(all / 2, localLimit << chooser.widening) };
}

auto selectFrom(const Group& group, const Chooser& chooser, BackendSubsetIds& chosen) -> void
{
    const auto own = std::find_if(chooser.nodes.begin(), chooser.nodes.end(), [&chooser](const HashedNode& node) { return node.node->id == chooser.self; });
    if (own == chooser.nodes.end())
        return;
    std::map<std::uint64_t, std::size_t> nodesInZone;
    for (const auto& node : chooser.nodes)
        ++nodesInZone[node.zone];
    for (const auto* server : group.servers) {
        const auto zone = hash64(server->zone);
        if (takesNode(*server, zone, *own, chooser.nodes, fanInOf(group, chooser, zone, nodesInZone[zone])))
            chosen.insert(server->id);
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

    BackendSubsetIds chosen;
    for (const auto& [key, group] : groupServers(servers))
        selectFrom(group, { nodesFor(hashed, key.second), self, this->options, widening }, chosen);
    return chosen;
}

} // namespace Primrosefork
