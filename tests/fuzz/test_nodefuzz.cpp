#include "fleetsamples.h"
#include "gatewayfixture.h"
#include "mutator.h"
#include "peerkeyring.h"
#include "udpsocket.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

const Address serverAddress { "127.0.0.1", 18321 };
constexpr std::uint32_t seeds[] = { 1, 2 };
constexpr int inputsPerSeed = 1'500;

const std::vector<std::string> requests {
    "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r1\r\nAuthorization: Token k1\r\nX-Deadline-Ms: 300\r\nX-Token-Counts: 10,2\r\nContent-Length: 4\r\n\r\nbody",
    "POST /read/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: r2\r\nAuthorization: Token k1\r\nX-Deadline-Ms: 300\r\nX-Prompt-Prefix: a1:800,b2:1\r\nContent-Length: 4\r\n\r\nbody",
};

struct Record {
    const char* key;
    std::vector<std::string> values;
};

const Record records[] = {
    { "primrosefork/quarantine", { R"([{"service":"app","part":"a1","left_ms":600000}])" } },
    { "primrosefork/nodes", { "3" } },
    { "servers/i-2", { R"({"backend":"app","address":"127.0.0.1:18322","zone":"a","capacity":6,"state":"ready","born":3})" } },
};

/** A node that leads, with a server whose answers are altered while \a isAltering is set. */
struct NodeFixture : GatewayFixture {
    explicit NodeFixture(std::uint32_t seed)
        : mutator(seed)
        , server(loop, serverAddress, [this](const std::string& request) { return this->answer(request); })
        , socket(loop, [](const Address&, std::span<const std::uint8_t>) {})
    {
        this->configure(1);
        this->registerServer("i-1", "app", serverAddress.port);
    }

    auto answer(const std::string& request) -> ScriptedAnswer
    {
        const std::vector<std::string> whole { GatewayFixture::answerTo(request, 200, "hello", "X-Instance-Load: 1,0,6,100\r\nKeep-Alive: timeout=5\r\n") };
        return this->isAltering ? ScriptedAnswer { this->mutator.mutate(whole), true } : ScriptedAnswer { whole.front() };
    }

    auto sendDatagram(const PeerKeyring& keyring) -> void
    {
        static const auto messages = makeFleetMessages();
        this->socket.send(this->settings.peers, keyring.sign(this->mutator.mutate(messages), this->settings.peers.toString()));
    }

    auto operatorText(const std::string& path) -> std::string
    {
        std::string text;
        auto isDone = false;
        this->client.fetch(this->settings.operators, { "GET", path, "", {}, "" }, {}, [&](std::error_code, const HttpResponse& response) {
            text = response.body;
            isDone = true;
        });
        this->runUntil([&isDone] { return isDone; });
        return text;
    }

    Mutator mutator;
    bool isAltering = true;
    ScriptedServer server;
    UdpSocket socket;
};

TEST_CASE("a node serves after altered messages of nodes, callers, servers and records")
{
    for (const auto seed : seeds) {
        CAPTURE(seed);
        NodeFixture fixture(seed);
        REQUIRE(fixture.start());
        REQUIRE(fixture.runUntil([&] { return fixture.node->board().leadership.value().isOwn && !fixture.platform.valueOf("primrosefork/peer-key").empty(); }));
        const PeerKeyring keyring({ { 1, fixture.platform.valueOf("primrosefork/peer-key") } });
        REQUIRE_FALSE(fixture.socket.bind({ "127.0.0.1", 18323 }));
        for (int input = 0; input < inputsPerSeed; ++input) {
            fixture.sendDatagram(keyring);
            if (input % 20 == 0) {
                const auto& record = records[fixture.mutator.below(std::size(records))];
                fixture.platform.put(record.key, fixture.mutator.mutate(record.values));
            }
            if (input % 10 == 0)
                static_cast<void>(fixture.sendRequest(fixture.mutator.mutate(requests), 30ms));
            fixture.loop.runOnce();
        }
        fixture.isAltering = false;
        fixture.platform.remove("servers/i-2");
        fixture.runFor(1s);
        const auto isServed = [&fixture] { return fixture.sendRequest(GatewayFixture::makeRequest("/read/", "last")).starts_with("HTTP/1.1 200"); };
        CHECK(fixture.runUntil(isServed, 5s));
        const auto state = nlohmann::json::parse(fixture.operatorText("/state"), nullptr, false);
        CHECK(state.is_object());
    }
}

} // namespace
