#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int serverPort = 18321;

struct Path : GatewayFixture {
    Path()
        : server(loop, { "127.0.0.1", serverPort }, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "hello") }; })
    {
        this->configure(1);
        this->registerServer("i-1", "app", serverPort);
    }

    auto statusOfAsk() -> std::string
    {
        static int count = 0;
        return this->sendRequest(GatewayFixture::makeRequest("/read/", "k" + std::to_string(++count))).substr(9, 3);
    }

    ScriptedServer server;
};

TEST_CASE("a node without a configuration says that a request did not run")
{
    Path path;
    path.platform.failure = 503;
    CHECK_FALSE([&] {
        path.settings.bounds.configuration = 300ms;
        path.node = std::make_unique<GatewayNode>(path.loop, path.settings, makePlatformSystems(path.client, path.settings));
        return static_cast<bool>(path.node->begin());
    }());
    CHECK(path.statusOfAsk() == "503");
    CHECK(path.server.requests.empty());
}

TEST_CASE("a credential that was taken away is refused within the time for changes")
{
    Path path;
    REQUIRE(path.start());
    CHECK(path.statusOfAsk() == "200");
    path.configure(2, R"(["k2"])");
    const auto change = EventLoop::now();
    CHECK(path.runUntil([&] { return path.statusOfAsk() == "401"; }, 2s));
    CHECK(EventLoop::now() - change < path.settings.bounds.configuration);
}

TEST_CASE("a change is found although the watch says nothing")
{
    Path path;
    path.platform.holdsWatches = true;
    REQUIRE(path.start());
    path.configure(2, R"(["k2"])");
    const auto change = EventLoop::now();
    CHECK(path.runUntil([&] { return path.statusOfAsk() == "401"; }, 3s));
    CHECK(EventLoop::now() - change < path.settings.bounds.configuration);
}

TEST_CASE("a node that can't know of a credential any more serves none, and comes back")
{
    Path path;
    path.settings.bounds.configuration = 300ms;
    path.settings.bounds.revocation = 1s;
    REQUIRE(path.start());
    path.platform.failure = 503;
    path.runFor(400ms);
    CHECK(path.statusOfAsk() == "200");
    path.runFor(800ms);
    CHECK(path.statusOfAsk() == "503");
    path.platform.failure = 0;
    path.runFor(600ms);
    CHECK(path.statusOfAsk() == "200");
}

TEST_CASE("an older configuration is never put in force again")
{
    Path path;
    REQUIRE(path.start());
    path.configure(5, R"(["k2"])");
    REQUIRE(path.runUntil([&] { return path.node->board().traffic.value().table->configuration().version == 5; }));
    path.configure(4, R"(["k1"])");
    path.runFor(1'500ms);
    CHECK(path.node->board().traffic.value().table->configuration().version == 5);
}

TEST_CASE("a server that is leaving gets nothing more")
{
    Path path;
    REQUIRE(path.start());
    path.registerServer("i-1", "app", serverPort, "draining");
    path.runFor(200ms);
    CHECK(path.statusOfAsk() == "503");
    CHECK(path.server.requests.empty());
}

TEST_CASE("a registration that can't be read takes its server out and leaves the others")
{
    Path path;
    REQUIRE(path.start());
    path.platform.put("servers/i-7", "{torn");
    path.platform.put("servers/i-8", R"({"backend":"app","address":7})");
    path.runFor(200ms);
    CHECK(path.statusOfAsk() == "200");
    path.platform.put("servers/i-1", "{torn");
    path.runFor(200ms);
    CHECK(path.statusOfAsk() == "503");
}

TEST_CASE("a registration that lapsed with the store away is waited for, but not for long")
{
    Path path;
    REQUIRE(path.start());
    path.platform.failure = 503;
    path.runFor(300ms);
    path.platform.dropHistory();
    path.platform.failure = 0;
    path.platform.remove("servers/i-1");
    path.runFor(700ms);
    const auto isThere = [&] { return path.node->board().backendServers.value().contains("i-1"); };
    // The watch was under way all the time here and may have told of the removal as of any other.
    if (isThere())
        CHECK(path.runUntil([&] { return !isThere(); }, path.settings.bounds.drain));
    CHECK_FALSE(isThere());
}

TEST_CASE("changes are found after the store dropped its history")
{
    Path path;
    REQUIRE(path.start());
    path.platform.holdsWatches = true;
    path.platform.put("servers/i-2", R"({"backend":"app","address":"127.0.0.1:18399","zone":"a","capacity":6,"state":"ready"})");
    path.platform.dropHistory();
    path.platform.holdsWatches = false;
    path.platform.put("servers/i-3", R"({"backend":"app","address":"127.0.0.1:18398","zone":"a","capacity":6,"state":"ready"})");
    CHECK(path.runUntil([&] { return path.node->board().backendServers.value().size() == 3; }, 3s));
}

TEST_CASE("a server that leaves gets nothing more although its node's watch hangs")
{
    Path path;
    REQUIRE(path.start());
    path.runFor(500ms);
    // Watches that wait now are never answered; later ones are.
    path.platform.forgetsWatches = true;
    path.registerServer("i-1", "app", serverPort, "draining");
    path.platform.forgetsWatches = false;
    const auto change = EventLoop::now();
    const auto isLeaving = [&] { return path.node->board().backendServers.value().at("i-1").state == InstanceState::Leaving; };
    CHECK(path.runUntil(isLeaving, 3s));
    CHECK(EventLoop::now() - change < path.settings.bounds.drain);
}

TEST_CASE("a node is told that it has missed a change of the registry")
{
    Path path;
    path.platform.holdsWatches = true;
    REQUIRE(path.start());
    GatewayBoard board;
    EventLog log { "error" };
    auto systems = makePlatformSystems(path.client, path.settings);
    auto bounds = path.settings.bounds;
    bounds.drain = 16s;
    RegistryController registry(path.loop, *systems.store, *systems.documents, bounds, board, log);
    registry.begin();
    REQUIRE(path.runUntil([&] { return board.backendServers.value().contains("i-1"); }));
    path.registerServer("i-2", "app", serverPort);
    registry.leaderRevisionReceived(board.registryRevision.value());
    path.runFor(500ms);
    CHECK_FALSE(board.backendServers.value().contains("i-2"));
    registry.leaderRevisionReceived(board.registryRevision.value() + 1);
    // After the pause in which its own watch may still bring the change.
    CHECK(path.runUntil([&] { return board.backendServers.value().contains("i-2"); }, 4s));
}

/** The configuration's controller of a node that does not lead. */
struct Follower : GatewayFixture {
    Follower()
    {
        this->configure(1);
        this->platform.holdsWatches = true;
        this->traffic.begin();
    }

    [[nodiscard]] auto version() const -> std::uint64_t
    {
        const auto& table = this->board.traffic.value().table;
        return table ? table->configuration().version : 0;
    }

    GatewaySystems systems = makePlatformSystems(client, settings);
    GatewayBoard board;
    Metrics metrics;
    EventLog log { "error" };
    TrafficController traffic { loop, *systems.store, *systems.documents, settings.bounds, board, metrics, log };
};

TEST_CASE("a node that hears of the leader's reads makes none")
{
    Follower follower;
    REQUIRE(follower.runUntil([&] { return follower.version() == 1; }));
    const auto before = follower.platform.keyReads;
    BootClock::time_point told;
    for (int word = 0; word < 10; ++word) {
        told = BootClock::now() - 500ms;
        follower.traffic.leaderConfirmed(follower.board.traffic.value().revision, told);
        follower.runFor(400ms);
    }
    CHECK(follower.platform.keyReads == before);
    CHECK(follower.board.traffic.value().confirmed == told);
}

TEST_CASE("a node that hears nothing of the leader reads by itself")
{
    Follower follower;
    REQUIRE(follower.runUntil([&] { return follower.version() == 1; }));
    const auto before = follower.platform.keyReads;
    follower.runFor(4s);
    CHECK(follower.platform.keyReads >= before + 2);
    CHECK(BootClock::now() - follower.board.traffic.value().confirmed < follower.settings.bounds.configuration);
}

TEST_CASE("a change that the leader has seen is read at once")
{
    Follower follower;
    REQUIRE(follower.runUntil([&] { return follower.version() == 1; }));
    follower.configure(2);
    const auto newer = follower.board.traffic.value().revision + 1;
    follower.traffic.leaderConfirmed(newer, BootClock::now());
    CHECK(follower.runUntil([&] { return follower.version() == 2; }, 200ms));
}

TEST_CASE("an older word of the leader confirms nothing")
{
    Follower follower;
    REQUIRE(follower.runUntil([&] { return follower.version() == 1; }));
    const auto before = follower.board.traffic.value().confirmed;
    follower.traffic.leaderConfirmed(follower.board.traffic.value().revision - 1, BootClock::now());
    CHECK(follower.board.traffic.value().confirmed == before);
}

} // namespace
