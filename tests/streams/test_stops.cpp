#include "bookingclient.h"
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
    std::int64_t tokens; ///< Length of each answer; an engine takes 20 ms for a token.
    std::chrono::milliseconds notice; ///< Time from the reclaim notice of node 0 to its reclaim; 0 for no notice.
    int terminations; ///< Number of SIGTERMs sent to node 0 in succession.
    bool isKilled; ///< Whether node 0 gets SIGKILL, at the end of its notice or at once without one.
    std::int64_t maxRequests; ///< Largest number of requests by each caller that started at node 0.
    bool exitsItself; ///< Whether node 0 is expected to drain and exit by itself.
};

const StopCase stopCases[] = {
    { "SIGTERM, streams finish", 300, 0ms, 1, false, 1, true },
    { "SIGTERM twice, streams finish", 300, 0ms, 2, false, 1, true },
    { "reclaim notice, streams finish", 150, 10s, 0, false, 1, true },
    { "reclaim notice, streams longer than the notice", 500, 4s, 0, true, 2, true },
    { "SIGTERM, then reclaim notice", 500, 4s, 1, true, 2, true },
    { "killed without notice", 300, 0ms, 0, true, 2, false },
};

TEST_CASE("every caller gets its complete answer when its node stops or is killed")
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
            announceReclaim(cluster, { Cluster::nodeId(0) }, row.notice);
        const auto reclaim = EventLoop::now() + row.notice;
        if (row.exitsItself) {
            const auto isUnready = [&] { return cluster.client().get(cluster.callersAddress(0), "/health/ready").response.status != HttpStatus::ok; };
            CHECK(cluster.client().waitUntil(isUnready, 1500ms));
        }
        if (row.isKilled) {
            cluster.client().waitUntil([&] { return EventLoop::now() >= reclaim; }, row.notice + 1s);
            CHECK(cluster.node(0).isRunning() != row.exitsItself);
            cluster.node(0).sendSignal(SIGKILL);
        }

        REQUIRE(cluster.client().waitUntil([&] { return areAllComplete(callers); }, 60s));
        checkAnswers(callers);
        for (std::size_t index = 0; index < callers.size(); ++index)
            CHECK(callers[index]->record().requests <= (index % 2 == 0 ? row.maxRequests : 1));
        if (row.exitsItself)
            CHECK(cluster.node(0).waitForExit(30s) == 0);
    }
}

// Guards against plain calls that are cut off without an answer at the end of a planned stop.
TEST_CASE("plain calls that have no answer at the end of a planned stop are answered, without a claim that they did not run")
{
    ClusterOptions options;
    options.plainServices = 1;
    options.settings = { { "timeouts", { { "drain", "1500ms" } } } };
    Cluster cluster(options);
    REQUIRE(cluster.start());
    cluster.control(cluster.plainServiceAddress(0), { { "silent", true } });
    Testkit::BookingClient client(cluster);
    const auto answer = client.begin(0, "k1", "{}");
    REQUIRE(cluster.client().waitUntil([&] { return cluster.control(cluster.plainServiceAddress(0), Json::object())["silent"] == 1; }, 5s));
    cluster.node(0).sendSignal(SIGTERM);
    CHECK(client.waitFor(*answer));
    CHECK_FALSE(answer->transportError);
    CHECK(answer->status == HttpStatus::unavailable);
    CHECK(answer->error == "node_leaving");
    CHECK(answer->execution == "unknown");
    CHECK(cluster.node(0).waitForExit(5s) == 0);
}

TEST_CASE("an answer goes on at another node that has no capacity for new long work")
{
    ClusterOptions options;
    options.nodes = 2;
    options.engines = 1;
    options.engine = { { "slots", 2 } }; // One of them is for long work.
    Cluster cluster(options);
    REQUIRE(cluster.start());
    Callers callers;
    addCaller(callers, cluster, { 0, 1 }, 300);
    addCaller(callers, cluster, { 0, 1 }, 500);
    REQUIRE(cluster.client().waitUntil([&] { return haveAllBegun(callers); }, 20s));

    cluster.node(0).sendSignal(SIGKILL);

    REQUIRE(cluster.client().waitUntil([&] { return areAllComplete(callers); }, 60s));
    checkAnswers(callers);
    CHECK(Testkit::totalsOf(callers).requests == 3);
    CHECK(Testkit::totalsOf(callers).longestStall.count() <= maxStallMilliseconds);
}

TEST_CASE("a node that receives SIGTERM twice while it starts exits within 5 s")
{
    ClusterOptions options;
    Cluster cluster(options);
    REQUIRE(cluster.startStandins());
    cluster.control(cluster.keyValueService(), { { "down", true } });
    cluster.startNode(0);
    REQUIRE(cluster.client().waitUntil([&] { return !cluster.client().get(cluster.callersAddress(0), "/health/live").error; }, 10s));
    cluster.node(0).sendSignal(SIGTERM);
    cluster.node(0).sendSignal(SIGTERM);
    CHECK(cluster.node(0).waitForExit(5s) == 0);
}

TEST_CASE("every caller gets its complete answer when a zone of nodes and engines is reclaimed")
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

    announceReclaim(cluster, { Cluster::nodeId(0), Cluster::engineId(0), Cluster::engineId(3) }, 4s);
    runFor(cluster, 4s);
    // Reclaimed machines disappear without closing their connections, which SIGSTOP simulates.
    cluster.engineProcess(0).sendSignal(SIGSTOP);
    cluster.node(0).sendSignal(SIGSTOP);

    REQUIRE(cluster.client().waitUntil([&] { return areAllComplete(callers); }, 60s));
    checkAnswers(callers);
    CHECK(Testkit::totalsOf(callers).longestStall.count() <= maxStallMilliseconds);
}

} // namespace
