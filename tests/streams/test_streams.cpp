#include "cluster.h"
#include "streamcaller.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <doctest/doctest.h>
#include <functional>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;
using Testkit::Cluster;
using Testkit::ClusterOptions;
using Testkit::StreamCaller;

using Callers = std::vector<std::unique_ptr<StreamCaller>>;

constexpr std::int64_t maxStall = 1500; ///< Milliseconds: the bound of a move, and half a second for a busy machine.
constexpr auto leavingLimit = 3s; ///< For a leaving backend server to get no new work any more.

auto addCaller(Callers& callers, Cluster& cluster, std::vector<std::size_t> nodes, std::int64_t tokens) -> StreamCaller&
{
    Testkit::StreamOrder order;
    for (const auto node : nodes)
        order.nodes.push_back(cluster.callers(node));
    order.prompt = "stream " + std::to_string(callers.size()) + " of a salon's schedule";
    order.tokens = tokens;
    order.firstNode = callers.size();
    callers.push_back(std::make_unique<StreamCaller>(cluster.client(), std::move(order)));
    callers.back()->begin();
    return *callers.back();
}

auto haveAllBegun(const Callers& callers) -> bool
{
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->record().received > 0; });
}

auto areAllWhole(const Callers& callers) -> bool
{
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->record().isWhole; });
}

auto runningOn(Cluster& cluster, std::size_t engine) -> std::int64_t
{
    return cluster.control(cluster.engine(engine), Json::object()).value("running", std::int64_t { -1 });
}

auto startedOn(Cluster& cluster, std::size_t engine) -> std::int64_t
{
    return cluster.control(cluster.engine(engine), Json::object()).value("started_streams", std::int64_t { -1 });
}

auto metric(Cluster& cluster, const std::string& name) -> double
{
    return Testkit::readMetric(cluster.client(), cluster.operators(0), name);
}

auto notice(Cluster& cluster, const Json& instances, std::chrono::milliseconds remaining) -> void
{
    cluster.control(cluster.cloudApi(), { { "reclaim", instances }, { "remaining_ms", remaining.count() } });
}

auto checkRight(const Callers& callers) -> void
{
    const auto totals = Testkit::totalsOf(callers);
    CHECK(totals.whole == static_cast<std::int64_t>(callers.size()));
    CHECK(totals.wrongTokens == 0);
    CHECK(totals.gaps == 0);
    CHECK(totals.repeats == 0);
}

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
        CAPTURE(row.name);
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
        const auto reclaim = EventLoop::now() + row.remaining;
        cluster.client().waitUntil([&] { return EventLoop::now() >= reclaim; }, row.remaining + 1s);
        cluster.engines(0).sendSignal(SIGKILL);

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
    { "silent in the middle", { { "frozen", true } }, true, 1000, 2000 },
    { "out of order and twice", { { "shuffle", true } }, false, 1000, 500 },
    { "answers of another stream", { { "misroute", 100 } }, false, 1000, 500 },
};

TEST_CASE("each caller gets the whole answer to its own request from faulty engines")
{
    for (const auto& row : faultCases) {
        CAPTURE(row.name);
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
    CHECK(Testkit::totalsOf(callers).longestStall.count() <= 2000);
    CHECK(cluster.client().waitUntil([&] { return runningOn(cluster, 0) == 0; }, 10s));
}

struct LeavingCase {
    std::string name;
    std::function<void(Cluster&)> announce; ///< That engine 0 leaves.
    Json instanceList; ///< Fault of the instance list.
    Json store; ///< Fault of the store.
};

const LeavingCase leavingCases[] = {
    { "leaving by the instance list, store down",
        [](Cluster& cluster) {
            cluster.control(cluster.instanceList(), { { "put", { { { "id", Cluster::engineId(0) }, { "state", "leaving" } } } } });
        },
        { { "lag_ms", 0 } }, { { "down", true } } },
    { "noticed, instance list lagging, store down",
        [](Cluster& cluster) { notice(cluster, { Cluster::engineId(0) }, 20s); },
        { { "lag_ms", 60'000 } }, { { "down", true } } },
    { "noticed, instance list down, store down",
        [](Cluster& cluster) { notice(cluster, { Cluster::engineId(0) }, 20s); },
        { { "down", true } }, { { "down", true } } },
};

TEST_CASE("a leaving engine gets no new work from any node")
{
    for (const auto& row : leavingCases) {
        CAPTURE(row.name);
        ClusterOptions options;
        options.nodes = 3;
        Cluster cluster(options);
        REQUIRE(cluster.start());
        cluster.control(cluster.instanceList(), row.instanceList);
        cluster.control(cluster.keyValueService(), row.store);
        Callers callers;
        const auto ask = [&] {
            for (std::size_t node = 0; node < 3; ++node)
                addCaller(callers, cluster, { node }, 2);
            return cluster.client().waitUntil([&] { return areAllWhole(callers); }, 10s);
        };
        for (int round = 0; round < 5; ++round)
            REQUIRE(ask());
        REQUIRE(startedOn(cluster, 0) > 0);

        row.announce(cluster);
        const auto end = EventLoop::now() + leavingLimit;
        while (EventLoop::now() < end)
            REQUIRE(ask());
        const auto before = startedOn(cluster, 0);
        for (int round = 0; round < 20; ++round)
            REQUIRE(ask());

        CHECK(startedOn(cluster, 0) == before);
        checkRight(callers);
    }
}

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
        CAPTURE(row.name);
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
    const auto reclaim = EventLoop::now() + 4s;
    cluster.client().waitUntil([&] { return EventLoop::now() >= reclaim; }, 5s);
    cluster.engines(0).sendSignal(SIGKILL);
    cluster.node(0).sendSignal(SIGKILL);

    REQUIRE(cluster.client().waitUntil([&] { return areAllWhole(callers); }, 60s));
    checkRight(callers);
    CHECK(Testkit::totalsOf(callers).longestStall.count() <= maxStall);
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
    const auto reclaim = EventLoop::now() + 2s;
    cluster.client().waitUntil([&] { return EventLoop::now() >= reclaim; }, 3s);
    cluster.engines(0).sendSignal(SIGKILL);
    cluster.control(cluster.instanceList(), { { "put", { { { "id", Cluster::engineId(1) }, { "state", "live" } } } } });

    REQUIRE(cluster.client().waitUntil([&] { return areAllWhole(callers); }, 40s));
    checkRight(callers);
    CHECK(Testkit::totalsOf(callers).asks == 4);
}

/**
 * A caller with little room for what it does not read.
 */
class SlowCaller {
public:
    SlowCaller(const Address& node, const std::string& body)
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int receiveBytes = 4096;
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(node.port);
        inet_pton(AF_INET, node.ip.c_str(), &name.sin_addr);
        const auto request = "POST /v1/services/desk/draft HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer " + std::string(Cluster::callerKey)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        this->isConnected = connect(this->descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0
            && send(this->descriptor, request.data(), request.size(), 0) == static_cast<ssize_t>(request.size());
    }

    ~SlowCaller() { close(this->descriptor); }
    SlowCaller(const SlowCaller&) = delete;
    auto operator=(const SlowCaller&) -> SlowCaller& = delete;

    [[nodiscard]] auto hasAsked() const -> bool { return this->isConnected; }

private:
    int descriptor;
    bool isConnected = false;
};

TEST_CASE("a caller that reads nothing holds its stream back, and its stream ends with it")
{
    // For each caller the stream buffer, the text kept to go on elsewhere, and what was read before the pause; its answer has 30 MiB.
    constexpr std::size_t memoryLimit = 16 * 1024 * 1024;
    constexpr std::size_t callerCount = 4;
    ClusterOptions options;
    options.engines = 1;
    options.engine = { { "step_us", 1000 }, { "prefill_tokens_per_second", 100'000 }, { "tokens_per_step", 50 } };
    options.settings = { { "limits", { { "stream_buffer", "64KiB" } } } };
    Cluster cluster(options);
    REQUIRE(cluster.start());
    const auto before = cluster.node(0).residentBytes();
    std::vector<std::unique_ptr<SlowCaller>> callers;
    for (std::size_t index = 0; index < callerCount; ++index) {
        const Json body { { "prompt", "slow " + std::to_string(index) }, { "max_tokens", 1'000'000 }, { "stream", true } };
        callers.push_back(std::make_unique<SlowCaller>(cluster.callers(0), body.dump()));
        REQUIRE(callers.back()->hasAsked());
    }

    std::int64_t last = -1;
    auto lastChange = EventLoop::now();
    const auto standsStill = [&] {
        const auto made = cluster.control(cluster.engine(0), Json::object()).value("generated_tokens", std::int64_t { 0 });
        if (std::exchange(last, made) != made)
            lastChange = EventLoop::now();
        return last > 0 && EventLoop::now() - lastChange > 2s;
    };
    CHECK(cluster.client().waitUntil(standsStill, 60s));
    CHECK(cluster.node(0).residentBytes() < before + memoryLimit);
    MESSAGE("tokens made: " << last << ", memory grown: " << (cluster.node(0).residentBytes() - before) / 1024 << " KiB");

    callers.clear();
    CHECK(cluster.client().waitUntil([&] { return runningOn(cluster, 0) == 0; }, 10s));
}

} // namespace
