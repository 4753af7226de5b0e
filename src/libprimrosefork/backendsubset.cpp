#include "backendsubset.h"

#include "hash.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace Primrosefork {

namespace {

/** A node with the hash of its id. */
struct HashedNode {
    const SubsetNode* node = nullptr;
    std::uint64_t hash = 0;
};

/** The servers of one pool in one region, and how many there are in each zone. */
struct Group {
    std::vector<const BackendServer*> servers;
    std::map<std::string, std::size_t> serversInZone;
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
        ++group.serversInZone[server.zone];
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

/** The choice of one server among the nodes. */
class ServerChoice {
public:
    ServerChoice(const BackendServer& server, const std::vector<HashedNode>& nodes, const std::string& self)
        : server(server)
        , nodes(nodes)
        , serverHash(hash64(server.id))
    {
        const auto found = std::find_if(nodes.begin(), nodes.end(), [&self](const HashedNode& hashed) { return hashed.node->id == self; });
        this->own = found == nodes.end() ? nullptr : &*found;
    }

    [[nodiscard]] auto takesSelf(const FanIn& fanIn) const -> bool
    {
        if (!this->own)
            return false;
        const auto ownScore = this->score(*this->own);
        const auto isLocal = this->own->node->zone == this->server.zone;
        std::size_t localAhead = 0;
        std::size_t localNodes = 0;
        std::size_t ahead = 0;
        for (const auto& hashed : this->nodes) {
            const auto isHigher = this->score(hashed) > ownScore;
            const auto isOfZone = hashed.node->zone == this->server.zone;
            ahead += isHigher ? 1 : 0;
            localNodes += isOfZone ? 1 : 0;
            localAhead += isHigher && isOfZone ? 1 : 0;
        }
        if (isLocal && localAhead < fanIn.local)
            return true;
        // The places that the zone does not fill go to the highest of the others, of the zone too.
        const auto taken = std::min(fanIn.local, localNodes);
        const auto takenAhead = std::min(fanIn.local, localAhead);
        return ahead - takenAhead < fanIn.all - taken;
    }

private:
    [[nodiscard]] auto score(const HashedNode& hashed) const -> std::uint64_t { return mix(this->serverHash, hashed.hash); }

    const BackendServer& server;
    const std::vector<HashedNode>& nodes;
    std::uint64_t serverHash;
    const HashedNode* own = nullptr;
};

auto divideRoundingUp(std::size_t dividend, std::size_t divisor) -> std::size_t
{
    return (dividend + divisor - 1) / divisor;
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
        hashed.push_back({ &node, hash64(node.id) });

    BackendSubsetIds chosen;
    for (const auto& [key, group] : groupServers(servers)) {
        const auto candidates = nodesFor(hashed, key.second);
        const auto wanted = divideRoundingUp(this->options.serversPerNode * candidates.size(), group.servers.size());
        const auto all = std::min(std::max(wanted, this->options.fewestNodesPerServer) << widening, candidates.size());
        for (const auto* server : group.servers) {
            const auto inZone = static_cast<std::size_t>(std::count_if(
                candidates.begin(), candidates.end(), [server](const HashedNode& candidate) { return candidate.node->zone == server->zone; }));
            // A zone with few nodes and many servers would load its nodes more than others.
            const auto localLimit = this->options.serversPerNode / 2 * inZone / group.serversInZone.at(server->zone);
            const FanIn fanIn { all, std::min(all / 2, localLimit << widening) };
            if (ServerChoice(*server, candidates, self).takesSelf(fanIn))
                chosen.insert(server->id);
        }
    }
    return chosen;
}

} // namespace Primrosefork
