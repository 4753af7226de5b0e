#include "backendsubset.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <string>

using namespace Primrosefork;

namespace {

auto zoneName(std::size_t index, std::size_t zones) -> std::string
{
    return "zone-" + std::to_string(index % zones);
}

auto makeNodes(std::size_t count, std::size_t zones) -> std::vector<SubsetNode>
{
    std::vector<SubsetNode> nodes;
    for (std::size_t index = 0; index < count; ++index)
        nodes.push_back({ "node-" + std::to_string(index), zoneName(index, zones), "west" });
    return nodes;
}

auto makeServers(std::size_t count, std::size_t zones) -> BackendServers
{
    BackendServers servers;
    for (std::size_t index = 0; index < count; ++index) {
        BackendServer server;
        server.id = "engine-" + std::to_string(index);
        server.zone = zoneName(index, zones);
        server.region = "west";
        server.pool = "assistant";
        servers[server.id] = server;
    }
    return servers;
}

auto selectAll(const std::vector<SubsetNode>& nodes, const BackendServers& servers, unsigned widening = 0) -> std::map<std::string, BackendSubsetIds>
{
    std::map<std::string, BackendSubsetIds> subsets;
    for (const auto& node : nodes)
        subsets[node.id] = BackendSubset().select(node.id, nodes, servers, widening);
    return subsets;
}

/** How nodes and load are distributed over the servers by the subsets of all nodes. */
struct Distribution {
    std::size_t fewestNodes = 1'000'000; ///< Lowest number of nodes of a server.
    std::size_t mostNodes = 0; ///< Highest number of nodes of a server.
    std::size_t smallestSubset = 1'000'000;
    std::size_t largestSubset = 0;
    double lowestLoad = 1e9; ///< Lowest load of a server, when each node spreads the same load evenly over its subset; 1 is the mean.
    double highestLoad = 0; ///< Highest load of a server, likewise.
    double localShare = 0; ///< Share of the pairs of node and server that are in the same zone.
};

auto distributionOf(const std::vector<SubsetNode>& nodes, const BackendServers& servers, const std::map<std::string, BackendSubsetIds>& subsets) -> Distribution
{
    Distribution result;
    std::map<std::string, std::size_t> fanIn;
    std::map<std::string, double> load;
    std::size_t pairs = 0;
    for (const auto& node : nodes) {
        const auto& subset = subsets.at(node.id);
        result.smallestSubset = std::min(result.smallestSubset, subset.size());
        result.largestSubset = std::max(result.largestSubset, subset.size());
        for (const auto& id : subset) {
            ++pairs;
            ++fanIn[id];
            load[id] += static_cast<double>(servers.size()) / static_cast<double>(nodes.size() * subset.size());
            result.localShare += servers.at(id).zone == node.zone ? 1 : 0;
        }
    }
    result.localShare /= static_cast<double>(pairs);
    for (const auto& [id, server] : servers) {
        result.fewestNodes = std::min(result.fewestNodes, fanIn[id]);
        result.mostNodes = std::max(result.mostNodes, fanIn[id]);
        result.lowestLoad = std::min(result.lowestLoad, load[id]);
        result.highestLoad = std::max(result.highestLoad, load[id]);
    }
    return result;
}

struct DistributionCase {
    const char* name;
    std::size_t nodes;
    std::size_t servers;
    std::size_t zones;
    std::size_t nodesPerServer;
    std::size_t largestSubset; ///< Upper bound of the size of a subset.
    double lowestLoad;
    double highestLoad;
};

const DistributionCase distributionCases[] = {
    { "9 nodes, 12 servers: all pairs", 9, 12, 3, 9, 12, 0.99, 1.01 },
    { "9 nodes, 40 servers: all pairs", 9, 40, 3, 9, 40, 0.99, 1.01 },
    { "9 nodes, 200 servers", 9, 200, 3, 3, 90, 0.7, 1.4 },
    { "340 nodes, 1,500 servers in 16 zones", 340, 1'500, 16, 10, 80, 0.6, 1.5 },
    { "one node", 1, 20, 3, 1, 20, 0.99, 1.01 },
};

TEST_CASE("all servers are assigned the same number of nodes and nearly the same load")
{
    for (const auto& row : distributionCases) {
        CAPTURE(std::string(row.name));
        const auto nodes = makeNodes(row.nodes, row.zones);
        const auto servers = makeServers(row.servers, row.zones);
        const auto distribution = distributionOf(nodes, servers, selectAll(nodes, servers));
        CHECK(distribution.fewestNodes == row.nodesPerServer);
        CHECK(distribution.mostNodes == row.nodesPerServer);
        CHECK(distribution.smallestSubset > 0);
        CHECK(distribution.largestSubset <= row.largestSubset);
        CHECK(distribution.lowestLoad >= row.lowestLoad);
        CHECK(distribution.highestLoad <= row.highestLoad);
        MESSAGE(row.name, ": subsets of ", distribution.smallestSubset, " to ", distribution.largestSubset, ", load of a server ", distribution.lowestLoad, " to ",
            distribution.highestLoad, ", pairs of one zone ", distribution.localShare);
    }
}

TEST_CASE("about half of the nodes of a server are in its zone")
{
    const auto nodes = makeNodes(340, 16);
    const auto servers = makeServers(1'500, 16);
    const auto distribution = distributionOf(nodes, servers, selectAll(nodes, servers));
    CHECK(distribution.localShare >= 0.35);
    CHECK(distribution.localShare <= 0.6);
}

auto changedPairs(const std::map<std::string, BackendSubsetIds>& before, const std::map<std::string, BackendSubsetIds>& after) -> std::size_t
{
    std::size_t changed = 0;
    for (const auto& [node, subset] : after) {
        const auto earlier = before.find(node);
        if (earlier == before.end())
            continue;
        std::vector<std::string> difference;
        std::set_symmetric_difference(subset.begin(), subset.end(), earlier->second.begin(), earlier->second.end(), std::back_inserter(difference));
        changed += difference.size();
    }
    return changed;
}

struct ChurnCase {
    const char* name;
    std::size_t nodesAfter;
    std::size_t serversAfter;
    std::size_t maxChangedPairs; ///< Upper bound of the changed pairs of about 13,600, without those of the added or removed node.
};

const ChurnCase churnCases[] = {
    { "nothing changes", 340, 1'500, 0 },
    { "a node is removed", 339, 1'500, 120 },
    { "a node is added", 341, 1'500, 120 },
    { "a server is removed", 340, 1'499, 20 },
    { "a server is added", 340, 1'501, 20 },
};

TEST_CASE("few assignments change when a node or a server is added or removed")
{
    const auto before = selectAll(makeNodes(340, 16), makeServers(1'500, 16));
    for (const auto& row : churnCases) {
        CAPTURE(std::string(row.name));
        const auto changed = changedPairs(before, selectAll(makeNodes(row.nodesAfter, 16), makeServers(row.serversAfter, 16)));
        CHECK(changed <= row.maxChangedPairs);
        MESSAGE(row.name, ": ", changed, " pairs changed");
    }
}

TEST_CASE("a wider subset contains the narrower one and is about twice as large")
{
    const auto nodes = makeNodes(340, 16);
    const auto servers = makeServers(1'500, 16);
    const auto narrow = selectAll(nodes, servers);
    const auto wide = selectAll(nodes, servers, 1);
    for (const auto& entry : narrow) {
        const auto& id = entry.first;
        CAPTURE(id);
        CHECK(std::includes(wide.at(id).begin(), wide.at(id).end(), entry.second.begin(), entry.second.end()));
    }
    CHECK(distributionOf(nodes, servers, wide).fewestNodes == 20);
    const auto widest = BackendSubset().select("node-0", nodes, servers, 6);
    CHECK(widest.size() == 1'500);
}

TEST_CASE("each pool has a subset of its own, and nodes of another region serve a region without nodes")
{
    auto servers = makeServers(4, 2);
    servers["engine-0"].pool = "other";
    servers["engine-1"].region = "east";
    const std::vector<SubsetNode> nodes { { "node-0", "zone-0", "west" }, { "node-1", "zone-1", "west" } };
    CHECK(BackendSubset().select("node-0", nodes, servers) == BackendSubsetIds { "engine-0", "engine-1", "engine-2", "engine-3" });

    const std::vector<SubsetNode> withEast { { "node-0", "zone-0", "west" }, { "node-1", "zone-1", "west" }, { "node-2", "zone-1", "east" } };
    CHECK(BackendSubset().select("node-0", withEast, servers) == BackendSubsetIds { "engine-0", "engine-2", "engine-3" });
    CHECK(BackendSubset().select("node-2", withEast, servers) == BackendSubsetIds { "engine-1" });
}

TEST_CASE("a zone with few nodes and many servers does not overload its nodes")
{
    std::vector<SubsetNode> nodes = makeNodes(100, 4);
    nodes.push_back({ "lonely", "zone-far", "west" });
    auto servers = makeServers(400, 4);
    for (std::size_t index = 400; index < 700; ++index) {
        BackendServer server;
        server.id = "engine-" + std::to_string(index);
        server.zone = "zone-far";
        server.region = "west";
        server.pool = "assistant";
        servers[server.id] = server;
    }
    CHECK(BackendSubset().select("lonely", nodes, servers).size() <= 80);
}

} // namespace
