#include "cluster.h"

#include <algorithm>
#include <arpa/inet.h>
#include <csignal>
#include <doctest/doctest.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

auto stateOf(Testkit::Cluster& cluster, std::size_t index) -> Json
{
    const auto result = cluster.client().get(
        cluster.operatorsAddress(index), "/admin/v1/state", { { "Authorization", std::string("Bearer ") + Testkit::Cluster::operatorKey } });
    auto state = Json::parse(result.response.body, nullptr, false);
    return state.is_object() ? state : Json::object();
}

auto peerState(Testkit::Cluster& cluster, std::size_t observer, std::size_t peer) -> std::string
{
    const auto state = stateOf(cluster, observer);
    const Json::json_pointer place("/peers/known/" + Testkit::Cluster::nodeId(peer) + "/state");
    return state.contains(place) ? state.at(place).get<std::string>() : "unknown";
}

auto allReport(Testkit::Cluster& cluster, std::vector<std::size_t> observers, std::size_t peer, const std::string& expected) -> bool
{
    return std::all_of(observers.begin(), observers.end(), [&](std::size_t observer) { return peerState(cluster, observer, peer) == expected; });
}

auto isConfirmed(Testkit::Cluster& cluster, std::size_t index, std::uint64_t revision) -> bool
{
    const auto state = stateOf(cluster, index);
    return state.contains("peers") && state["peers"]["newest_revision"] == revision && state["peers"]["unconfirmed"].empty();
}

auto answersChat(Testkit::Cluster& cluster, std::size_t index) -> bool
{
    const auto result = cluster.client().post(cluster.callersAddress(index), "/v1/services/desk/chat", R"({"prompt":"hello","max_tokens":3})",
        { { "Authorization", std::string("Bearer ") + Testkit::Cluster::callerKey } });
    return !result.error && result.response.status == HttpStatus::ok;
}

struct ShutdownCase {
    const char* name;
    int signal;
    const char* state;
    std::chrono::milliseconds limit;
};

const ShutdownCase shutdownCases[] = {
    { "killed with SIGKILL", SIGKILL, "dead", 5s },
    { "stopped with SIGTERM", SIGTERM, "left", 2s },
};

TEST_CASE("nodes record a killed node as dead, a stopped node as left, and a restarted one as alive")
{
    for (const auto& row : shutdownCases) {
        CAPTURE(std::string(row.name));
        Testkit::Cluster cluster({ .nodes = 3, .hasPeers = true });
        REQUIRE(cluster.start());
        auto& client = cluster.client();
        REQUIRE(client.waitUntil([&] { return allReport(cluster, { 1, 2 }, 0, "alive") && allReport(cluster, { 0 }, 1, "alive"); }, 10s));

        cluster.node(0).sendSignal(row.signal);

        CHECK(client.waitUntil([&] { return allReport(cluster, { 1, 2 }, 0, row.state); }, row.limit));
        REQUIRE(cluster.node(0).waitForExit(10s).has_value());
        cluster.startNode(0);
        CHECK(client.waitUntil([&] { return allReport(cluster, { 1, 2 }, 0, "alive"); }, 10s));
    }
}

TEST_CASE("a node that starts while the store is down serves with the configuration of its peers")
{
    Testkit::Cluster cluster({ .nodes = 3, .hasPeers = true });
    REQUIRE(cluster.start());
    auto& client = cluster.client();
    REQUIRE(client.waitUntil([&] { return allReport(cluster, { 1, 2 }, 0, "alive"); }, 10s));
    cluster.control(cluster.keyValueService(), { { "down", true } });
    cluster.node(0).sendSignal(SIGKILL);
    REQUIRE(cluster.node(0).waitForExit(5s).has_value());

    cluster.startNode(0);

    CHECK(cluster.waitUntilReady(0, 6s));
    CHECK(answersChat(cluster, 0));
    CHECK(stateOf(cluster, 0)["configuration"]["revisions"] == stateOf(cluster, 1)["configuration"]["revisions"]);
}

TEST_CASE("every node knows when a configuration change is in force on all nodes")
{
    Testkit::Cluster cluster({ .nodes = 3, .hasPeers = true });
    REQUIRE(cluster.start());
    auto& client = cluster.client();
    REQUIRE(client.waitUntil([&] { return allReport(cluster, { 0, 1 }, 2, "alive"); }, 10s));
    const Json record { { "revision", 1 }, { "content", { { "key_sha256", std::string(64, 'e') } } } };
    REQUIRE(cluster.putRecord("config/workspaces/other", record));
    const auto revision = cluster.control(cluster.keyValueService(), Json::object())["revision"].get<std::uint64_t>();

    CHECK(client.waitUntil([&] { return isConfirmed(cluster, 0, revision) && isConfirmed(cluster, 1, revision) && isConfirmed(cluster, 2, revision); }, 6s));

    cluster.node(2).sendSignal(SIGSTOP);
    const Json later { { "revision", 1 }, { "content", { { "key_sha256", std::string(64, 'd') } } } };
    REQUIRE(cluster.putRecord("config/workspaces/third", later));
    REQUIRE(client.waitUntil([&] { return stateOf(cluster, 0)["peers"]["newest_revision"] == revision + 1; }, 2s));
    REQUIRE(client.waitUntil([&] { return stateOf(cluster, 0)["peers"]["unconfirmed"] == Json::array({ "node-2" }); }, 1s));
    cluster.node(2).sendSignal(SIGCONT);
    CHECK(client.waitUntil([&] { return isConfirmed(cluster, 0, revision + 1); }, 6s));
}

auto reportedEngines(Testkit::Cluster& cluster, std::size_t index) -> std::set<std::string>
{
    const auto state = stateOf(cluster, index);
    std::set<std::string> engines;
    if (!state.contains("load_reports"))
        return engines;
    for (const auto& [id, report] : state["load_reports"].items())
        engines.insert(id);
    return engines;
}

TEST_CASE("each node polls a part of the engines, and the parts cover all engines")
{
    constexpr std::size_t nodes = 5;
    constexpr std::size_t engines = 100;
    Testkit::Cluster cluster({ .nodes = nodes, .engines = engines, .hasPeers = true });
    REQUIRE(cluster.start());
    const auto isDivided = [&] {
        std::set<std::string> all;
        for (std::size_t index = 0; index < nodes; ++index) {
            const auto part = reportedEngines(cluster, index);
            if (part.size() < 30 || part.size() > 90)
                return false;
            all.insert(part.begin(), part.end());
        }
        return all.size() == engines;
    };
    CHECK(cluster.client().waitUntil(isDivided, 10s));
}

TEST_CASE("a datagram that is not from a peer changes nothing and is counted")
{
    Testkit::Cluster cluster({ .nodes = 2, .hasPeers = true });
    REQUIRE(cluster.start());
    auto& client = cluster.client();
    REQUIRE(client.waitUntil([&] { return allReport(cluster, { 0 }, 1, "alive"); }, 10s));
    const auto refused = [&] { return stateOf(cluster, 0)["peers"]["refused_datagrams"].get<std::uint64_t>(); };
    REQUIRE(refused() == 0);

    const auto descriptor = socket(AF_INET, SOCK_DGRAM, 0);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(cluster.peersAddress(0).port);
    inet_pton(AF_INET, cluster.peersAddress(0).ip.c_str(), &name.sin_addr);
    const std::string datagram(200, 'x');
    sendto(descriptor, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&name), sizeof name);
    close(descriptor);

    CHECK(client.waitUntil([&] { return refused() == 1; }, 3s));
    CHECK(peerState(cluster, 0, 1) == "alive");
}

} // namespace
