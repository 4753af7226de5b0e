#include "streamtest.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::StreamTest;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;
using Testkit::Cluster;
using Testkit::ClusterOptions;

struct StopCase {
    std::string name;
    std::int64_t tokens; ///< Of 20 ms each.
    std::chrono::milliseconds notice; ///< Of the node's reclaim; 0 is none.
    int terminations; ///< SIGTERMs sent at once.
    bool isKilled; ///< At the end of the notice, or at once.
    std::int64_t asks; ///< Least and most of each caller.
    bool endsItself;
};

const StopCase stopCases[] = {
    { "SIGTERM, streams that finish", 300, 0ms, 1, false, 1, true },
    { "SIGTERM twice, streams that finish", 300, 0ms, 2, false, 1, true },
    { "own reclaim, streams that finish", 150, 10s, 0, false, 1, true },
    { "own reclaim, streams longer than the notice", 500, 4s, 0, true, 2, true },
    { "SIGTERM and then its own reclaim", 500, 4s, 1, true, 2, true },
    { "killed without notice", 300, 0ms, 0, true, 2, false },
};

TEST_CASE("a node that stops leaves every caller with the whole answer")
{
    for (const auto& row : stopCases) {
        CAPTURE(std::string(row.name));
        ClusterOptions options;
        options.nodes = 2;
        options.engines = 6;
        options.engine = { { "slots", 40 } };
        Cluster cluster(options);
        REQUIRE(cluster.start());
        Callers callers;
        for (int index = 0; index < 100; ++index) {
            addCaller(callers, cluster, { 0, 1 }, row.tokens);
        }
        REQUIRE(cluster.client().waitUntil([&] { return haveAllBegun(callers); }, 20s));

        for (int count = 0; count < row.terminations; ++count)
            cluster.node(0).sendSignal(SIGTERM);
        if (row.notice > 0ms)
            notice(cluster, { Cluster::nodeId(0) }, row.notice);
        const auto reclaim = EventLoop::now() + row.notice;
        if (row.endsItself) {
            const auto isUnready = [&] { return cluster.client().get(cluster.callers(0), "/health/ready").response.status != HttpStatus::ok; };
            CHECK(cluster.client().waitUntil(isUnready, 1500ms));
        }
        if (row.isKilled) {
            cluster.client().waitUntil([&] { return EventLoop::now() >= reclaim; }, row.notice + 1s);
            CHECK(cluster.node(0).isRunning() != row.endsItself);
            cluster.node(0).sendSignal(SIGKILL);
        }

        REQUIRE(cluster.client().waitUntil([&] { return areAllWhole(callers); }, 60s));
        checkRight(callers);
        for (std::size_t index = 0; index < callers.size(); ++index)
            CHECK(callers[index]->record().asks <= (index % 2 == 0 ? row.asks : 1));
        if (row.endsItself)
            CHECK(cluster.node(0).waitForExit(30s) == 0);
    }
}

TEST_CASE("a node that is stopped during its start ends at once")
{
    ClusterOptions options;
    Cluster cluster(options);
    REQUIRE(cluster.startStandins());
    cluster.control(cluster.keyValueService(), { { "down", true } });
    cluster.startNode(0);
    REQUIRE(cluster.client().waitUntil([&] { return !cluster.client().get(cluster.callers(0), "/health/live").error; }, 10s));
    cluster.node(0).sendSignal(SIGTERM);
    cluster.node(0).sendSignal(SIGTERM);
    CHECK(cluster.node(0).waitForExit(5s) == 0);
}

TEST_CASE("a zone of nodes and engines is reclaimed and every caller gets the whole answer")
{
    ClusterOptions options;
    options.nodes = 3;
    options.engines = 6;
    options.hasProcessPerZone = true;
    options.engine = { { "slots", 20 } };
    Cluster cluster(options);
    REQUIRE(cluster.start());
    Callers callers;
    for (int index = 0; index < 45; ++index)
        addCaller(callers, cluster, { 0, 1, 2 }, 400);
    REQUIRE(cluster.client().waitUntil([&] { return haveAllBegun(callers); }, 20s));

    notice(cluster, { Cluster::nodeId(0), Cluster::engineId(0), Cluster::engineId(3) }, 4s);
    runFor(cluster, 4s);
    // Machines that are taken back say nothing to their connections.
    cluster.engines(0).sendSignal(SIGSTOP);
    cluster.node(0).sendSignal(SIGSTOP);

    REQUIRE(cluster.client().waitUntil([&] { return areAllWhole(callers); }, 60s));
    checkRight(callers);
    CHECK(Testkit::totalsOf(callers).longestStall.count() <= maxStall);
}

} // namespace
