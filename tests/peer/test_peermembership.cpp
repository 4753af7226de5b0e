#include "membershipnetwork.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

struct DeathCase {
    const char* name;
    std::size_t nodes;
    double loss;
    int victims; ///< Number of nodes that are killed, one after the other.
};

const DeathCase deathCases[] = {
    { "9 nodes", 9, 0.0, 5 },
    { "9 nodes, a tenth of the messages lost", 9, 0.1, 5 },
    { "200 nodes", 200, 0.0, 4 },
    { "200 nodes, 3 in 100 messages lost", 200, 0.03, 2 },
};

TEST_CASE("all nodes detect the death of a node within 5 s")
{
    for (const auto& row : deathCases) {
        CAPTURE(std::string(row.name));
        MembershipNetwork network({ .nodes = row.nodes, .loss = row.loss });
        REQUIRE(network.runUntil([&] { return network.hasConverged(); }, 60s) >= 0ms);
        network.run(5s);
        auto longest = 0ms;
        for (int victim = 1; victim <= row.victims; ++victim) {
            const auto index = static_cast<std::size_t>(victim);
            network.kill(index);
            const auto time = network.runUntil([&] { return network.allReport(index, PeerState::Dead); }, 20s);
            CHECK(time >= 0ms);
            CHECK(time <= 5s);
            longest = std::max(longest, time);
        }
        CHECK(network.falseDeaths() == 0);
        MESSAGE(row.name, ": longest ", longest.count(), " ms");
    }
}

struct PauseCase {
    const char* name;
    std::size_t nodes;
    double loss;
    std::chrono::milliseconds duration;
};

const PauseCase pauseCases[] = {
    { "9 nodes for ten minutes", 9, 0.0, 10min },
    { "9 nodes with loss for ten minutes", 9, 0.02, 10min },
    { "60 nodes for two minutes", 60, 0.0, 2min },
};

TEST_CASE("pauses of up to 1 s cause no death")
{
    for (const auto& row : pauseCases) {
        CAPTURE(std::string(row.name));
        MembershipNetwork network({ .nodes = row.nodes, .loss = row.loss });
        REQUIRE(network.runUntil([&] { return network.hasConverged(); }, 60s) >= 0ms);
        std::minstd_rand generator(7);
        for (const auto end = network.now() + row.duration; network.now() < end;) {
            const auto index = std::uniform_int_distribution<std::size_t>(0, row.nodes - 1)(generator);
            network.pause(index, std::chrono::milliseconds(std::uniform_int_distribution<int>(200, 1000)(generator)));
            network.run(400ms);
        }
        CHECK(network.falseDeaths() == 0);
        network.run(10s);
        CHECK(network.hasConverged());
    }
}

TEST_CASE("a dead node that restarts with a higher incarnation is recorded as alive")
{
    MembershipNetwork network({ .nodes = 9 });
    REQUIRE(network.runUntil([&] { return network.hasConverged(); }, 30s) >= 0ms);
    network.kill(4);
    REQUIRE(network.runUntil([&] { return network.allReport(4, PeerState::Dead); }, 10s) >= 0ms);
    network.restart(4);
    CHECK(network.runUntil([&] { return network.hasConverged(); }, 5s) >= 0ms);
}

TEST_CASE("a restart before the death is detected causes no false death")
{
    MembershipNetwork network({ .nodes = 9 });
    REQUIRE(network.runUntil([&] { return network.hasConverged(); }, 30s) >= 0ms);
    network.kill(4);
    network.run(500ms);
    network.restart(4);
    CHECK(network.runUntil([&] { return network.hasConverged(); }, 5s) >= 0ms);
    CHECK(network.falseDeaths() == 0);
}

TEST_CASE("all nodes record a leave within 1 s and still do after the node has ended")
{
    for (const std::size_t nodes : { std::size_t { 9 }, std::size_t { 200 } }) {
        CAPTURE(nodes);
        MembershipNetwork network({ .nodes = nodes });
        REQUIRE(network.runUntil([&] { return network.hasConverged(); }, 60s) >= 0ms);
        network.run(5s);
        network.leave(5);
        CHECK(network.runUntil([&] { return network.allReport(5, PeerState::Left); }, 5s) <= 1s);
        network.kill(5);
        network.run(20s);
        CHECK(network.allReport(5, PeerState::Left));
    }
}

TEST_CASE("a reclaim notice reaches all nodes within 1 s")
{
    for (const std::size_t nodes : { std::size_t { 9 }, std::size_t { 200 } }) {
        CAPTURE(nodes);
        MembershipNetwork network({ .nodes = nodes });
        REQUIRE(network.runUntil([&] { return network.hasConverged(); }, 60s) >= 0ms);
        network.run(5s);
        network.node(3).announceNotice("engine-7", network.now() + 20s, network.now());
        const auto isKnownToAll = [&] {
            for (std::size_t index = 0; index < nodes; ++index) {
                if (!network.node(index).notices().contains("engine-7"))
                    return false;
            }
            return true;
        };
        const auto time = network.runUntil(isKnownToAll, 5s);
        CHECK(time >= 0ms);
        CHECK(time <= 1s);
        const auto deadline = network.node(8).notices().at("engine-7").deadline;
        CHECK(deadline <= network.now() - time + 21s);
        CHECK(deadline >= network.now() - time + 19s);
    }
}

struct PartitionCase {
    const char* name;
    std::size_t nodes;
    std::size_t first;
    std::chrono::milliseconds partitionTime;
};

const PartitionCase partitionCases[] = {
    { "9 nodes partitioned for an hour", 9, 4, 1h },
    { "60 nodes partitioned for two minutes", 60, 20, 2min },
    { "60 nodes partitioned for four seconds", 60, 20, 4s },
};

TEST_CASE("partitioned groups converge again without a message storm")
{
    for (const auto& row : partitionCases) {
        CAPTURE(std::string(row.name));
        MembershipNetwork network({ .nodes = row.nodes });
        REQUIRE(network.runUntil([&] { return network.hasConverged(); }, 60s) >= 0ms);
        network.partition(row.first);
        network.run(row.partitionTime);
        const auto deathsBefore = network.falseDeaths();
        static_cast<void>(network.takeSentBytes());
        const auto gossipBefore = network.messageCount(PeerMessageKind::Gossip);
        const auto syncBefore = network.messageCount(PeerMessageKind::Sync);
        network.heal();
        const auto time = network.runUntil([&] { return network.hasConverged(); }, 2min);
        CHECK(time >= 0ms);
        network.run(10s);
        CHECK(network.hasConverged());
        const auto bytes = network.takeSentBytes();
        const auto seconds = std::chrono::duration<double>(time + 10s).count();
        MESSAGE(row.name, ": converged after ", time.count(), " ms; false deaths after the end of the partition ", network.falseDeaths() - deathsBefore, "; bytes a second for each node, mean ", bytes.mean / seconds, ", highest ", bytes.most / seconds,
            "; gossip messages ", network.messageCount(PeerMessageKind::Gossip) - gossipBefore, ", sync messages ", network.messageCount(PeerMessageKind::Sync) - syncBefore);
        CHECK(bytes.most / seconds < 6'000);
    }
}

TEST_CASE("all nodes learn which nodes have a configuration revision in force")
{
    MembershipNetwork network({ .nodes = 60 });
    REQUIRE(network.runUntil([&] { return network.hasConverged(); }, 60s) >= 0ms);
    network.run(5s);
    for (std::size_t index = 0; index < 60; ++index) {
        if (index != 17)
            network.node(index).setConfigurationRevision(5, network.now());
    }
    const auto confirmedCount = [&](std::size_t observer) {
        const auto& peers = network.node(observer).peers();
        return std::count_if(peers.begin(), peers.end(), [](const auto& entry) { return entry.second.configurationRevision == 5; });
    };
    CHECK(network.runUntil([&] { return confirmedCount(3) == 58 && confirmedCount(17) == 59; }, 6s) >= 0ms);
    network.run(2s);
    CHECK(network.node(3).peers().at("node-17").configurationRevision == 0);
    network.node(17).setConfigurationRevision(5, network.now());
    CHECK(network.runUntil([&] { return confirmedCount(3) == 59; }, 6s) >= 0ms);
}

TEST_CASE("the bytes sent by an idle node do not grow with the number of nodes")
{
    double baselineBytes = 0;
    for (const std::size_t nodes : { std::size_t { 9 }, std::size_t { 60 }, std::size_t { 200 } }) {
        CAPTURE(nodes);
        MembershipNetwork network({ .nodes = nodes });
        REQUIRE(network.runUntil([&] { return network.hasConverged(); }, 90s) >= 0ms);
        network.run(30s);
        static_cast<void>(network.takeSentBytes());
        network.run(20s);
        const auto bytes = network.takeSentBytes();
        MESSAGE(nodes, " nodes: bytes a second sent by each node, mean ", bytes.mean / 20, ", highest ", bytes.most / 20);
        CHECK(bytes.mean / 20 < 1'500);
        if (baselineBytes == 0)
            baselineBytes = bytes.mean;
        CHECK(bytes.mean < baselineBytes * 1.15);
    }
}

} // namespace
