#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int serverPort = 18321;

struct SingleServerFixture : GatewayFixture {
    SingleServerFixture()
        : server(loop, { "127.0.0.1", serverPort }, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "hello") }; })
    {
        this->configure(1);
        this->registerServer("i-1", "app", serverPort);
    }

    auto requestStatus() -> std::string
    {
        static int count = 0;
        return this->sendRequest(GatewayFixture::makeRequest("/read/", "k" + std::to_string(++count))).substr(9, 3);
    }

    ScriptedServer server;
};

TEST_CASE("a node without a configuration answers 503 and forwards nothing")
{
    SingleServerFixture fixture;
    fixture.platform.failureStatus = 503;
    CHECK_FALSE([&] {
        fixture.settings.bounds.configuration = 300ms;
        fixture.node = std::make_unique<GatewayNode>(fixture.loop, fixture.settings, makePlatformSystems(fixture.client, fixture.settings));
        return static_cast<bool>(fixture.node->begin());
    }());
    CHECK(fixture.requestStatus() == "503");
    CHECK(fixture.server.requests.empty());
}

TEST_CASE("a revoked credential is refused within the time for changes")
{
    SingleServerFixture fixture;
    REQUIRE(fixture.start());
    CHECK(fixture.requestStatus() == "200");
    fixture.configure(2, R"(["k2"])");
    const auto change = EventLoop::now();
    CHECK(fixture.runUntil([&] { return fixture.requestStatus() == "401"; }, 2s));
    CHECK(EventLoop::now() - change < fixture.settings.bounds.configuration);
}

TEST_CASE("a change is applied although the watch does not deliver it")
{
    SingleServerFixture fixture;
    fixture.platform.holdsWatches = true;
    REQUIRE(fixture.start());
    fixture.configure(2, R"(["k2"])");
    const auto change = EventLoop::now();
    CHECK(fixture.runUntil([&] { return fixture.requestStatus() == "401"; }, 3s));
    CHECK(EventLoop::now() - change < fixture.settings.bounds.configuration);
}

TEST_CASE("a node that can't confirm its configuration stops serving credentials until the store answers again")
{
    SingleServerFixture fixture;
    fixture.settings.bounds.configuration = 300ms;
    fixture.settings.bounds.revocation = 1s;
    REQUIRE(fixture.start());
    fixture.platform.failureStatus = 503;
    fixture.runFor(400ms);
    CHECK(fixture.requestStatus() == "200");
    fixture.runFor(800ms);
    CHECK(fixture.requestStatus() == "503");
    fixture.platform.failureStatus = 0;
    fixture.runFor(600ms);
    CHECK(fixture.requestStatus() == "200");
}

TEST_CASE("an older configuration does not replace a newer one")
{
    SingleServerFixture fixture;
    REQUIRE(fixture.start());
    fixture.configure(5, R"(["k2"])");
    REQUIRE(fixture.runUntil([&] { return fixture.node->board().traffic.value().table->configuration().version == 5; }));
    fixture.configure(4, R"(["k1"])");
    fixture.runFor(1'500ms);
    CHECK(fixture.node->board().traffic.value().table->configuration().version == 5);
}

TEST_CASE("a server that is leaving gets no more requests")
{
    SingleServerFixture fixture;
    REQUIRE(fixture.start());
    fixture.registerServer("i-1", "app", serverPort, "draining");
    fixture.runFor(200ms);
    CHECK(fixture.requestStatus() == "503");
    CHECK(fixture.server.requests.empty());
}

TEST_CASE("an unreadable registration removes its own server and no other")
{
    SingleServerFixture fixture;
    REQUIRE(fixture.start());
    fixture.platform.put("servers/i-7", "{torn");
    fixture.platform.put("servers/i-8", R"({"backend":"app","address":7})");
    fixture.runFor(200ms);
    CHECK(fixture.requestStatus() == "200");
    fixture.platform.put("servers/i-1", "{torn");
    fixture.runFor(200ms);
    CHECK(fixture.requestStatus() == "503");
}

struct OddEntryCase {
    const char* name;
    std::string value;
};

const OddEntryCase oddEntryCases[] = {
    { "very deeply nested lists", std::string(200'000, '[') + std::string(200'000, ']') },
    { "very deeply nested objects", [] {
         std::string text = R"({"backend":"app","address":"127.0.0.1:18398","capacity":6,"state":"ready","zone":)";
         for (int depth = 0; depth < 100'000; ++depth)
             text += R"({"a":)";
         return text + "1" + std::string(100'001, '}');
     }() },
    { "nested without an end", std::string(200'000, '[') },
    { "a capacity beyond every type", R"({"backend":"app","address":"127.0.0.1:18398","zone":"a","capacity":1e400,"state":"ready"})" },
    { "a capacity beyond 64 bits", R"({"backend":"app","address":"127.0.0.1:18398","zone":"a","capacity":99999999999999999999,"state":"ready"})" },
    { "a negative capacity", R"({"backend":"app","address":"127.0.0.1:18398","zone":"a","capacity":-9223372036854775808,"state":"ready"})" },
    { "a start beyond 64 bits", R"({"backend":"app","address":"127.0.0.1:18398","zone":"a","capacity":6,"state":"ready","born":18446744073709551615})" },
    { "a time to leave beyond every type", R"({"backend":"app","address":"127.0.0.1:18398","zone":"a","capacity":6,"state":"draining","leaves_ms":1e308})" },
    { "a port out of range", R"({"backend":"app","address":"127.0.0.1:65536","zone":"a","capacity":6,"state":"ready"})" },
    { "a negative port", R"({"backend":"app","address":"127.0.0.1:-1","zone":"a","capacity":6,"state":"ready"})" },
    { "a port that is a long number", R"({"backend":"app","address":"127.0.0.1:99999999999999999999","zone":"a","capacity":6,"state":"ready"})" },
    { "bytes that are no text", std::string("\xff\x00\x80{", 4) },
    { "nothing", "" },
};

// Guards against an entry of another writer that ends the node, or ends its following of the others.
TEST_CASE("an odd entry among the registrations names no server, and the others are followed on")
{
    for (const auto& row : oddEntryCases) {
        CAPTURE(std::string(row.name));
        SingleServerFixture fixture;
        fixture.platform.put("servers/i-0", row.value); // Listed at the start.
        REQUIRE(fixture.start());
        fixture.platform.put("servers/i-7", row.value); // Delivered by the watch.
        fixture.registerServer("i-2", "app", serverPort);
        CHECK(fixture.runUntil([&] { return fixture.node->board().backendServers.value().contains("i-2"); }, 1s));
        CHECK(fixture.node->board().backendServers.value().size() == 2);
        fixture.platform.remove("servers/i-2");
        CHECK(fixture.runUntil([&] { return !fixture.node->board().backendServers.value().contains("i-2"); }, 1s));
        CHECK(fixture.requestStatus() == "200");
    }
}

TEST_CASE("a server whose registration expired during an outage of the store is kept for a limited time")
{
    SingleServerFixture fixture;
    REQUIRE(fixture.start());
    fixture.platform.failureStatus = 503;
    fixture.runFor(300ms);
    fixture.platform.dropHistory();
    fixture.platform.failureStatus = 0;
    fixture.platform.remove("servers/i-1");
    fixture.runFor(700ms);
    const auto isListed = [&] { return fixture.node->board().backendServers.value().contains("i-1"); };
    // The watch may have been in flight during the outage and have delivered the removal like any other.
    if (isListed())
        CHECK(fixture.runUntil([&] { return !isListed(); }, fixture.settings.bounds.drain));
    CHECK_FALSE(isListed());
}

TEST_CASE("changes are found after the store dropped its history")
{
    SingleServerFixture fixture;
    REQUIRE(fixture.start());
    fixture.platform.holdsWatches = true;
    fixture.platform.put("servers/i-2", R"({"backend":"app","address":"127.0.0.1:18399","zone":"a","capacity":6,"state":"ready"})");
    fixture.platform.dropHistory();
    fixture.platform.holdsWatches = false;
    fixture.platform.put("servers/i-3", R"({"backend":"app","address":"127.0.0.1:18398","zone":"a","capacity":6,"state":"ready"})");
    CHECK(fixture.runUntil([&] { return fixture.node->board().backendServers.value().size() == 3; }, 3s));
}

TEST_CASE("a leaving server is noticed within the drain time although the node's watch hangs")
{
    SingleServerFixture fixture;
    REQUIRE(fixture.start());
    fixture.runFor(500ms);
    // Watches that wait now are never answered; later ones are.
    fixture.platform.dropsWatches = true;
    fixture.registerServer("i-1", "app", serverPort, "draining");
    fixture.platform.dropsWatches = false;
    const auto change = EventLoop::now();
    const auto isLeaving = [&] { return fixture.node->board().backendServers.value().at("i-1").state == InstanceState::Leaving; };
    CHECK(fixture.runUntil(isLeaving, 3s));
    CHECK(EventLoop::now() - change < fixture.settings.bounds.drain);
}

TEST_CASE("a node lists the registry again when the leader has seen a newer revision")
{
    SingleServerFixture fixture;
    fixture.platform.holdsWatches = true;
    REQUIRE(fixture.start());
    GatewayBoard board;
    EventLog log { "error" };
    auto systems = makePlatformSystems(fixture.client, fixture.settings);
    auto bounds = fixture.settings.bounds;
    bounds.drain = 16s;
    RegistryController registry(fixture.loop, *systems.store, *systems.documents, bounds, board, log);
    registry.begin();
    REQUIRE(fixture.runUntil([&] { return board.backendServers.value().contains("i-1"); }));
    fixture.registerServer("i-2", "app", serverPort);
    registry.leaderRevisionReceived(registry.storeWatcher().changes().newestChange(), BootClock::now());
    fixture.runFor(500ms);
    CHECK_FALSE(board.backendServers.value().contains("i-2"));
    registry.leaderRevisionReceived(fixture.platform.lastRevision(), BootClock::now());
    // The node first waits for its own watch, which may still deliver the change.
    CHECK(fixture.runUntil([&] { return board.backendServers.value().contains("i-2"); }, 4s));
}

/** The traffic controller of a node that does not lead, with watches that deliver nothing. */
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
    StoreEpochMonitor epochs { *systems.store, metrics, log };
    TrafficController traffic { loop, *systems.store, *systems.documents, settings.bounds, board, epochs, metrics, log };
};

TEST_CASE("a node that gets the leader's confirmations does not read the configuration itself")
{
    Follower follower;
    REQUIRE(follower.runUntil([&] { return follower.version() == 1; }));
    const auto before = follower.platform.keyReads;
    BootClock::time_point confirmedAt;
    for (int confirmation = 0; confirmation < 10; ++confirmation) {
        confirmedAt = BootClock::now() - 500ms;
        follower.traffic.peerConfirmed(follower.board.traffic.value().revision, confirmedAt);
        follower.runFor(400ms);
    }
    CHECK(follower.platform.keyReads == before);
    CHECK(follower.board.traffic.value().confirmed == confirmedAt);
}

TEST_CASE("a node without the leader's confirmations reads the configuration itself")
{
    Follower follower;
    REQUIRE(follower.runUntil([&] { return follower.version() == 1; }));
    const auto before = follower.platform.keyReads;
    follower.runFor(4s);
    CHECK(follower.platform.keyReads >= before + 2);
    CHECK(BootClock::now() - follower.board.traffic.value().confirmed < follower.settings.bounds.configuration);
}

TEST_CASE("a newer revision that the leader has read is read at once")
{
    Follower follower;
    REQUIRE(follower.runUntil([&] { return follower.version() == 1; }));
    follower.configure(2);
    const auto newer = follower.board.traffic.value().revision + 1;
    follower.traffic.peerConfirmed(newer, BootClock::now());
    CHECK(follower.runUntil([&] { return follower.version() == 2; }, 200ms));
}

TEST_CASE("a confirmation of an older revision by the leader is ignored")
{
    Follower follower;
    REQUIRE(follower.runUntil([&] { return follower.version() == 1; }));
    const auto before = follower.board.traffic.value().confirmed;
    follower.traffic.peerConfirmed(follower.board.traffic.value().revision - 1, BootClock::now());
    CHECK(follower.board.traffic.value().confirmed == before);
}

} // namespace
