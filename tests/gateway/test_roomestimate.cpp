#include "roomestimate.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr EventLoop::TimePoint start = EventLoop::TimePoint {} + 1h;

auto makeService() -> TrafficService
{
    TrafficService service;
    service.name = "llm";
    service.engine = EngineTraits { 24, 0, 1, false };
    return service;
}

auto makeServers() -> BackendServers
{
    BackendServers servers;
    const auto add = [&servers](const std::string& id, const std::string& pool, const std::string& zone, InstanceState state) {
        BackendServer server;
        server.id = id;
        server.pool = pool;
        server.zone = zone;
        server.state = state;
        servers[id] = server;
    };
    add("e1", "llm", "a", InstanceState::Live);
    add("e2", "llm", "a", InstanceState::Leaving);
    add("e3", "llm", "b", InstanceState::Live);
    add("e4", "llm", "b", InstanceState::Live);
    add("d1", "desk", "c", InstanceState::Live);
    return servers;
}

auto makeNodes() -> NodeRecords
{
    NodeRecords nodes;
    nodes["n1"].report.zone = "a";
    nodes["n1"].report.services = { { "llm", 40'000, 30'000, 16, 2, 0, 20, 75'000 } };
    nodes["n2"].report.zone = "b";
    nodes["n2"].report.services = { { "llm", 20'000, 28'000, 8, 0, 0, 10 }, { "desk", 0, 0, 3, 0, 0, 1 } };
    nodes["gone"] = nodes["n2"];
    nodes["n1"].receivedAt = nodes["n2"].receivedAt = start - 1s;
    nodes["gone"].receivedAt = start - 3s;
    return nodes;
}

struct RoomCase {
    const char* name;
    std::vector<OverflowShare> shares;
    std::vector<ZoneRoom> expected;
};

const RoomCase roomCases[] = {
    { "no share", {}, { { "llm", "a", 1, 24, 16, 0, 2, 20 }, { "llm", "b", 2, 48, 8, 0, 0, 10 } } },
    { "half of a zone's requests are at another one", { { "llm", "a", "b", 4 } }, { { "llm", "a", 1, 24, 8, 0, 2, 20 }, { "llm", "b", 2, 48, 16, 0, 0, 10 } } },
    { "a share of another service", { { "desk", "a", "b", 4 } }, { { "llm", "a", 1, 24, 16, 0, 2, 20 }, { "llm", "b", 2, 48, 8, 0, 0, 10 } } },
};

// Guards against nodes that are gone and servers that leave and still count.
TEST_CASE("rooms are estimated from the registry and the reports of live nodes")
{
    for (const auto& row : roomCases) {
        CAPTURE(row.name);
        CHECK(estimateRooms(makeService(), makeServers(), makeNodes(), row.shares, start) == row.expected);
    }
}

TEST_CASE("the mean request is that of all live nodes")
{
    const auto nodes = makeNodes();
    const auto rooms = estimateRooms(makeService(), makeServers(), nodes, {}, start);
    const auto rates = serviceRatesOf("llm", rooms, nodes, start);
    CHECK(rates.engineTokensPerSecond == 30'000);
    CHECK(rates.readTokens == 2'000);
    CHECK(rates.cachedTokens == 500);
    CHECK(rates.callTime == std::chrono::duration<double>(0.8));
    CHECK(serviceRatesOf("unknown", {}, nodes, start).callTime == std::chrono::duration<double>(0));
    CHECK(serviceRatesOf("llm", rooms, nodes, start + 1min).engineTokensPerSecond == 0);
}

} // namespace
