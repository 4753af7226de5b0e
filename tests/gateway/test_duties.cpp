#include "gatewayfixture.h"

#include "wallclock.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

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

    [[nodiscard]] auto isLeading() const -> bool { return this->node->board().leadership.value().isOwn; }

    ScriptedServer server;
};

TEST_CASE("the only node leads, and its fence is the revision of the store")
{
    Path path;
    REQUIRE(path.start());
    REQUIRE(path.runUntil([&] { return path.isLeading(); }));
    CHECK(path.node->board().leadership.value().fence > 1);
}

TEST_CASE("a leader whose lease lapsed leads again with a higher fence")
{
    Path path;
    REQUIRE(path.start());
    REQUIRE(path.runUntil([&] { return path.isLeading(); }));
    const auto first = path.node->board().leadership.value().fence;
    path.platform.endLeases();
    REQUIRE(path.runUntil([&] { return !path.isLeading(); }));
    REQUIRE(path.runUntil([&] { return path.isLeading(); }));
    CHECK(path.node->board().leadership.value().fence > first);
}

TEST_CASE("a node does not lead while another one does")
{
    Path path;
    path.platform.put("primrosefork/leader", R"({"id":"node-2","address":"127.0.0.1:18399","incarnation":"x"})");
    REQUIRE(path.start());
    path.runFor(1s);
    CHECK_FALSE(path.isLeading());
    CHECK(path.node->board().leadership.value().leaderId == "node-2");
    path.platform.remove("primrosefork/leader");
    CHECK(path.runUntil([&] { return path.isLeading(); }, 2s));
}

struct EarlierCase {
    const char* name;
    const char* key;
    bool isTaken;
};

const EarlierCase earlierCases[] = {
    { "of this node's process before", R"({"id":"node-1","address":"PEERS","incarnation":"x"})", true },
    { "of a node of the same name at another address", R"({"id":"node-1","address":"127.0.0.9:18399","incarnation":"x"})", false },
    { "of another node", R"({"id":"node-2","address":"PEERS","incarnation":"x"})", false },
};

TEST_CASE("a node that starts again does not wait for the lease of its process before")
{
    for (const auto& row : earlierCases) {
        CAPTURE(row.name);
        Path path;
        std::string key = row.key;
        if (const auto place = key.find("PEERS"); place != std::string::npos)
            key.replace(place, 5, path.settings.peers.toString());
        path.platform.put("primrosefork/leader", key);
        REQUIRE(path.start());
        CHECK(path.runUntil([&] { return path.isLeading(); }, 1s) == row.isTaken);
    }
}

TEST_CASE("a take whose answer was lost is settled by what the store holds")
{
    Path path;
    path.platform.losesWrites = true;
    REQUIRE(path.start());
    path.runFor(800ms);
    path.platform.losesWrites = false;
    CHECK(path.runUntil([&] { return path.isLeading(); }, 5s));
}

TEST_CASE("each window is reported with what began in it, and a repeat says the same")
{
    Path path;
    REQUIRE(path.start());
    REQUIRE(path.runUntil([&] { return path.isLeading(); }));
    constexpr int requests = 12;
    for (int index = 0; index < requests; ++index) {
        static_cast<void>(path.sendRequest(GatewayFixture::makeRequest("/read/", "u" + std::to_string(index))));
        path.runFor(100ms);
    }
    path.runFor(4s);
    std::map<std::int64_t, std::set<std::string>> reports;
    std::uint64_t sum = 0;
    for (const auto& call : path.platform.fleetCalls) {
        if (call.path != "/usage")
            continue;
        const auto body = nlohmann::json::parse(call.body);
        const auto window = body["window-id"].get<std::int64_t>();
        if (reports[window].insert(body["counts"].dump()).second)
            sum += body["counts"].value("salon", 0);
        CHECK(call.holder == "node-1");
    }
    CHECK(sum == requests);
    for (const auto& [window, counts] : reports)
        CHECK(counts.size() == 1);
}

TEST_CASE("a window that an earlier leader stored is reported as it stands")
{
    Path path;
    REQUIRE(path.start());
    const auto now = WallClock::machineTime() / path.settings.bounds.usageWindow;
    nlohmann::json stored;
    for (auto window = now - 4; window <= now + 8; ++window)
        stored[std::to_string(window)] = { { "salon", 777 } };
    path.platform.put("primrosefork/usage", stored.dump());
    REQUIRE(path.runUntil([&] { return path.isLeading(); }));
    const auto usageCall = [&] {
        return std::find_if(path.platform.fleetCalls.begin(), path.platform.fleetCalls.end(), [](const auto& call) { return call.path == "/usage"; });
    };
    REQUIRE(path.runUntil([&] { return usageCall() != path.platform.fleetCalls.end(); }));
    CHECK(nlohmann::json::parse(usageCall()->body)["counts"]["salon"] == 777);
}

TEST_CASE("a clock that jumps and jumps back moves nothing")
{
    WallClock clock;
    WallClock::Steady steady {};
    for (int second = 0; second < 40; ++second) {
        const auto jump = second >= 20 && second < 26 ? 2'400ms : 0ms;
        clock.sample(steady, std::chrono::milliseconds(1'000'000 + second * 1'000) + jump);
        CHECK(clock.at(steady) == std::chrono::milliseconds(1'000'000 + second * 1'000));
        steady += 1s;
    }
}

} // namespace
