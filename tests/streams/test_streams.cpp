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
    std::int64_t tokens; ///< Length of each answer; an engine takes 20 ms for a token.
    std::chrono::milliseconds remaining; ///< Time from the notice to the reclaim.
    std::int64_t exportRate; ///< Rate at which an engine exports its KV cache, in tokens per second; 0 for no export.
    bool moves; ///< Whether streams are expected to move to another engine.
};

const ReclaimCase reclaimCases[] = {
    { "streams that cannot finish move", 500, 5s, 0, true },
    { "streams that cannot finish move with their KV cache", 500, 5s, 100'000, true },
    { "streams that can finish stay", 100, 8s, 0, false },
    { "notice too short to spread the moves", 300, 1s, 0, true },
};

TEST_CASE("each caller gets its complete answer when its engine is reclaimed")
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

        announceReclaim(cluster, { Cluster::engineId(0) }, row.remaining);
        runFor(cluster, row.remaining);
        // A reclaimed machine disappears without closing its connections, which SIGSTOP simulates.
        cluster.engineProcess(0).sendSignal(SIGSTOP);

        REQUIRE(cluster.client().waitUntil([&] { return areAllComplete(callers); }, 30s));
        checkAnswers(callers);
        const auto totals = Testkit::totalsOf(callers);
        CHECK(totals.requests == 12);
        CHECK(totals.longestStall.count() <= maxStallMilliseconds);
        CHECK((metricValue(cluster, "second_attempts_total{reason=\"reclaim\"}") > 0) == row.moves);
        CHECK(cluster.node(0).output().find("attemptFailed") == std::string::npos);
    }
}

struct FaultCase {
    std::string name;
    Json control; ///< Body of the control request to engine 0, setting its fault.
    bool afterFirstToken; ///< Whether the fault is set after every caller has its first token, instead of before the requests.
    std::int64_t longestFirstToken; ///< Largest accepted time to the first token, in milliseconds.
    std::int64_t longestStall; ///< Largest accepted time between two tokens, in milliseconds.
};

const FaultCase faultCases[] = {
    { "silent before the first token", { { "frozen", true } }, false, 3000, 500 },
    { "silent after the first token", { { "frozen", true } }, true, 1000, maxStallMilliseconds },
    { "tokens out of order and duplicated", { { "shuffle", true } }, false, 1000, 500 },
    { "answers to another request", { { "misroute", 100 } }, false, 1000, 500 },
};

TEST_CASE("each caller gets the complete answer to its own request despite a faulty engine")
{
    for (const auto& row : faultCases) {
        CAPTURE(std::string(row.name));
        Cluster cluster({});
        REQUIRE(cluster.start());
        if (!row.afterFirstToken)
            cluster.control(cluster.engineAddress(0), row.control);
        Callers callers;
        for (int index = 0; index < 9; ++index)
            addCaller(callers, cluster, { 0 }, 100);
        if (row.afterFirstToken) {
            REQUIRE(cluster.client().waitUntil([&] { return haveAllBegun(callers); }, 10s));
            cluster.control(cluster.engineAddress(0), row.control);
        }

        REQUIRE(cluster.client().waitUntil([&] { return areAllComplete(callers); }, 40s));
        checkAnswers(callers);
        const auto totals = Testkit::totalsOf(callers);
        CHECK(totals.requests == 9);
        CHECK(totals.longestFirstToken.count() <= row.longestFirstToken);
        CHECK(totals.longestStall.count() <= row.longestStall);
    }
}

TEST_CASE("a silent engine is found within the limit of one silence, however often one falls silent")
{
    constexpr std::int64_t maxSilenceMilliseconds = 970; // 0.5 s without a token, 0.1 s until the next check and 0.37 s to the first token of another engine.
    constexpr std::size_t rounds = 6;
    ClusterOptions options;
    options.engine = { { "slots", 20 } };
    Cluster cluster(options);
    REQUIRE(cluster.start());
    Callers callers;
    for (int index = 0; index < 9; ++index)
        addCaller(callers, cluster, { 0 }, 500);
    REQUIRE(cluster.client().waitUntil([&] { return haveAllBegun(callers); }, 10s));

    for (std::size_t round = 0; round < rounds; ++round) {
        const auto engine = cluster.engineAddress(round % options.engines);
        cluster.control(engine, { { "frozen", true } });
        runFor(cluster, 1200ms);
        cluster.control(engine, { { "frozen", false } });
    }

    REQUIRE(cluster.client().waitUntil([&] { return areAllComplete(callers); }, 40s));
    checkAnswers(callers);
    CHECK(Testkit::totalsOf(callers).requests == 9);
    CHECK(Testkit::totalsOf(callers).longestStall.count() <= maxSilenceMilliseconds);
}

TEST_CASE("streams stall no longer than the limit when the process of their engine stops")
{
    ClusterOptions options;
    options.hasProcessPerZone = true;
    Cluster cluster(options);
    REQUIRE(cluster.start());
    Callers callers;
    for (int index = 0; index < 9; ++index)
        addCaller(callers, cluster, { 0 }, 300);
    REQUIRE(cluster.client().waitUntil([&] { return haveAllBegun(callers); }, 10s));

    cluster.engineProcess(0).sendSignal(SIGSTOP);
    REQUIRE(cluster.client().waitUntil([&] { return areAllComplete(callers); }, 40s));
    cluster.engineProcess(0).sendSignal(SIGCONT);

    checkAnswers(callers);
    CHECK(Testkit::totalsOf(callers).longestStall.count() <= maxStallMilliseconds);
    CHECK(cluster.client().waitUntil([&] { return runningStreams(cluster, 0) == 0; }, 10s));
}

TEST_CASE("streams wait for a replacement when their last engine is reclaimed")
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

    announceReclaim(cluster, { Cluster::engineId(0) }, 2s);
    runFor(cluster, 2s);
    cluster.engineProcess(0).sendSignal(SIGKILL);
    cluster.control(cluster.instanceList(), { { "put", { { { "id", Cluster::engineId(1) }, { "state", "live" } } } } });

    REQUIRE(cluster.client().waitUntil([&] { return areAllComplete(callers); }, 40s));
    checkAnswers(callers);
    CHECK(Testkit::totalsOf(callers).requests == 4);
}

struct ConsistencyCase {
    std::string name;
    bool isReclaimed; ///< Whether engine 0 is reclaimed; otherwise it is frozen for a while.
    std::int64_t prefillRate; ///< Prompt tokens that an engine computes per second; at a low rate moves are abandoned and tried again.
    std::int64_t received; ///< Tokens that each caller has before the fault; if there are more than the rate, a move cannot produce its first token within its limit of 1 s.
};

const ConsistencyCase consistencyCases[] = {
    { "reclaimed", true, 8000, 1 },
    { "reclaimed, moves abandoned", true, 50, 60 },
    { "silent, then continued", false, 8000, 1 },
};

TEST_CASE("an answer is consistent although each engine generates different tokens")
{
    for (const auto& row : consistencyCases) {
        CAPTURE(std::string(row.name));
        ClusterOptions options;
        options.engine = { { "prefill_tokens_per_second", row.prefillRate } };
        Cluster cluster(options);
        REQUIRE(cluster.start());
        const auto variants = { "a", "b", "c" };
        std::size_t engine = 0;
        for (const auto* variant : variants)
            cluster.control(cluster.engineAddress(engine++), { { "variant", variant } });
        Callers callers;
        for (int index = 0; index < 6; ++index)
            addCaller(callers, cluster, { 0 }, 300, true);
        REQUIRE(cluster.client().waitUntil([&] { return haveAllReceived(callers, row.received); }, 20s));

        if (row.isReclaimed) {
            announceReclaim(cluster, { Cluster::engineId(0) }, 5s);
        } else {
            cluster.control(cluster.engineAddress(0), { { "frozen", true } });
            const auto hasSecondAttempt = [&] { return metricValue(cluster, "second_attempts_total{reason=\"silence\"}") > 0; };
            REQUIRE(cluster.client().waitUntil(hasSecondAttempt, 10s));
            cluster.control(cluster.engineAddress(0), { { "frozen", false } });
        }

        REQUIRE(cluster.client().waitUntil([&] { return areAllComplete(callers); }, 60s));
        checkAnswers(callers);
        const auto* reason = row.isReclaimed ? "reclaim" : "silence";
        CHECK(metricValue(cluster, std::string("second_attempts_total{reason=\"") + reason + "\"}") > 0);
        if (row.prefillRate < 100)
            CHECK(metricValue(cluster, "moves_abandoned_total") > 0);
    }
}

} // namespace
