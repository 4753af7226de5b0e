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

struct ReclaimCase {
    std::string name;
    std::int64_t tokens; ///< Of 20 ms each.
    std::chrono::milliseconds remaining;
    std::int64_t exportRate; ///< Tokens of KV cache a second; 0 is no export.
    bool moves;
};

const ReclaimCase reclaimCases[] = {
    { "streams that can't finish move", 500, 5s, 0, true },
    { "streams that can't finish move with their KV cache", 500, 5s, 100'000, true },
    { "streams that can finish stay", 100, 8s, 0, false },
    { "a notice too short to spread the moves", 300, 1s, 0, true },
};

TEST_CASE("streams survive the reclaim of their engine")
{
    for (const auto& row : reclaimCases) {
        CAPTURE(std::string(row.name));
        ClusterOptions options;
        options.hasProcessPerZone = true;
        options.engine = { { "export_tokens_per_second", row.exportRate } };
        Cluster cluster(options);
        REQUIRE(cluster.start());
        Callers callers;
        for (int index = 0; index < 12; ++index)
            addCaller(callers, cluster, { 0 }, row.tokens);
        REQUIRE(cluster.client().waitUntil([&] { return haveAllBegun(callers); }, 10s));

        notice(cluster, { Cluster::engineId(0) }, row.remaining);
        runFor(cluster, row.remaining);
        // A machine that is taken back says nothing to its connections.
        cluster.engines(0).sendSignal(SIGSTOP);

        REQUIRE(cluster.client().waitUntil([&] { return areAllWhole(callers); }, 30s));
        checkRight(callers);
        const auto totals = Testkit::totalsOf(callers);
        CHECK(totals.asks == 12);
        CHECK(totals.longestStall.count() <= maxStall);
        CHECK((metric(cluster, "second_attempts_total{reason=\"reclaim\"}") > 0) == row.moves);
        CHECK(cluster.node(0).output().find("attemptFailed") == std::string::npos);
    }
}

struct FaultCase {
    std::string name;
    Json control; ///< Of the faulty engine.
    bool afterFirstToken;
    std::int64_t longestFirstToken; ///< Milliseconds.
    std::int64_t longestStall;
};

const FaultCase faultCases[] = {
    { "silent before the first token", { { "frozen", true } }, false, 3000, 500 },
    { "silent in the middle", { { "frozen", true } }, true, 1000, maxStall },
    { "out of order and twice", { { "shuffle", true } }, false, 1000, 500 },
    { "answers of another stream", { { "misroute", 100 } }, false, 1000, 500 },
};

TEST_CASE("each caller gets the whole answer to its own request from faulty engines")
{
    for (const auto& row : faultCases) {
        CAPTURE(std::string(row.name));
        Cluster cluster({});
        REQUIRE(cluster.start());
        if (!row.afterFirstToken)
            cluster.control(cluster.engine(0), row.control);
        Callers callers;
        for (int index = 0; index < 9; ++index)
            addCaller(callers, cluster, { 0 }, 100);
        if (row.afterFirstToken) {
            REQUIRE(cluster.client().waitUntil([&] { return haveAllBegun(callers); }, 10s));
            cluster.control(cluster.engine(0), row.control);
        }

        REQUIRE(cluster.client().waitUntil([&] { return areAllWhole(callers); }, 40s));
        checkRight(callers);
        const auto totals = Testkit::totalsOf(callers);
        CHECK(totals.asks == 9);
        CHECK(totals.longestFirstToken.count() <= row.longestFirstToken);
        CHECK(totals.longestStall.count() <= row.longestStall);
    }
}

TEST_CASE("a stopped process of engines costs its streams no more than the stated silence")
{
    ClusterOptions options;
    options.hasProcessPerZone = true;
    Cluster cluster(options);
    REQUIRE(cluster.start());
    Callers callers;
    for (int index = 0; index < 9; ++index)
        addCaller(callers, cluster, { 0 }, 300);
    REQUIRE(cluster.client().waitUntil([&] { return haveAllBegun(callers); }, 10s));

    cluster.engines(0).sendSignal(SIGSTOP);
    REQUIRE(cluster.client().waitUntil([&] { return areAllWhole(callers); }, 40s));
    cluster.engines(0).sendSignal(SIGCONT);

    checkRight(callers);
    CHECK(Testkit::totalsOf(callers).longestStall.count() <= maxStall);
    CHECK(cluster.client().waitUntil([&] { return runningOn(cluster, 0) == 0; }, 10s));
}

TEST_CASE("the last engine is noticed before its replacement comes")
{
    ClusterOptions options;
    options.engines = 2;
    options.zones = 2;
    options.hasProcessPerZone = true;
    Cluster cluster(options);
    REQUIRE(cluster.start());
    cluster.control(cluster.instanceList(), { { "lag_ms", 0 }, { "put", { { { "id", Cluster::engineId(1) }, { "state", "leaving" } } } } });
    const auto isLeaving = [&] { return cluster.node(0).output().find("backendLeaving") != std::string::npos; };
    REQUIRE(cluster.client().waitUntil(isLeaving, 5s));
    Callers callers;
    for (int index = 0; index < 4; ++index)
        addCaller(callers, cluster, { 0 }, 300);
    REQUIRE(cluster.client().waitUntil([&] { return haveAllBegun(callers); }, 10s));

    notice(cluster, { Cluster::engineId(0) }, 2s);
    runFor(cluster, 2s);
    cluster.engines(0).sendSignal(SIGKILL);
    cluster.control(cluster.instanceList(), { { "put", { { { "id", Cluster::engineId(1) }, { "state", "live" } } } } });

    REQUIRE(cluster.client().waitUntil([&] { return areAllWhole(callers); }, 40s));
    checkRight(callers);
    CHECK(Testkit::totalsOf(callers).asks == 4);
}

struct OnePieceCase {
    std::string name;
    bool isReclaimed; ///< Or falls silent.
    std::int64_t prefillRate; ///< Tokens a second; a slow one gives a move up and tries again.
    std::int64_t received; ///< Tokens that each caller has before; more than the rate, a move can't begin within the second that it is given.
};

const OnePieceCase onePieceCases[] = {
    { "reclaimed", true, 8000, 1 },
    { "reclaimed, slow to move", true, 50, 60 },
    { "silent and speaking again", false, 8000, 1 },
};

TEST_CASE("an answer stays of one piece with engines that never choose the same tokens")
{
    for (const auto& row : onePieceCases) {
        CAPTURE(std::string(row.name));
        ClusterOptions options;
        options.engine = { { "prefill_tokens_per_second", row.prefillRate } };
        Cluster cluster(options);
        REQUIRE(cluster.start());
        const auto variants = { "a", "b", "c" };
        std::size_t engine = 0;
        for (const auto* variant : variants)
            cluster.control(cluster.engine(engine++), { { "variant", variant } });
        Callers callers;
        for (int index = 0; index < 6; ++index)
            addCaller(callers, cluster, { 0 }, 300, true);
        REQUIRE(cluster.client().waitUntil([&] { return haveAllReceived(callers, row.received); }, 20s));

        if (row.isReclaimed) {
            notice(cluster, { Cluster::engineId(0) }, 5s);
        } else {
            cluster.control(cluster.engine(0), { { "frozen", true } });
            const auto isAskedAgain = [&] { return metric(cluster, "second_attempts_total{reason=\"silence\"}") > 0; };
            REQUIRE(cluster.client().waitUntil(isAskedAgain, 10s));
            cluster.control(cluster.engine(0), { { "frozen", false } });
        }

        REQUIRE(cluster.client().waitUntil([&] { return areAllWhole(callers); }, 60s));
        checkRight(callers);
        const auto* reason = row.isReclaimed ? "reclaim" : "silence";
        CHECK(metric(cluster, std::string("second_attempts_total{reason=\"") + reason + "\"}") > 0);
        if (row.prefillRate < 100)
            CHECK(metric(cluster, "moves_abandoned_total") > 0);
    }
}

} // namespace
