#include "leastcostpolicy.h"

#include <doctest/doctest.h>
#include <map>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr RoutingPolicy::TimePoint start { 1h };

auto makeServers(std::size_t count) -> std::vector<BackendServer>
{
    std::vector<BackendServer> servers(count);
    for (std::size_t index = 0; index < count; ++index) {
        servers[index].id = "e" + std::to_string(index);
        servers[index].zone = index % 2 == 0 ? "a" : "b";
    }
    return servers;
}

auto makeList(const std::vector<BackendServer>& servers) -> CandidateList
{
    std::vector<const BackendServer*> pointers;
    pointers.reserve(servers.size());
    for (const auto& server : servers)
        pointers.push_back(&server);
    return CandidateList(pointers);
}

auto makeRequest(std::uint64_t id, WorkClass workClass = WorkClass::Short) -> RoutingRequest
{
    RoutingRequest request;
    request.id = id;
    request.workClass = workClass;
    request.promptTokens = 100;
    request.expectedTokens = 50;
    request.zone = "a";
    return request;
}

struct LoadCase {
    const char* name;
    std::int64_t nearPromptTokens; ///< Prompt tokens of an open request at the server in the own zone; 0 for none.
    int nearRequests; ///< Number of open requests there, with short prompts that are already computed.
    std::int64_t nearReported; ///< Running requests that the server reports.
    const char* chosen;
};

const LoadCase loadCases[] = {
    { "no load: server in the own zone", 0, 0, 0, "e0" },
    { "a long prompt that is not computed yet", 4000, 0, 0, "e1" },
    { "a few requests cost more than another zone", 0, 5, 0, "e1" },
    { "one request costs less than another zone", 0, 1, 0, "e0" },
    { "reported work of other nodes", 0, 0, 8, "e1" },
};

TEST_CASE("the server in the own zone is chosen until its load costs more than another zone")
{
    for (const auto& row : loadCases) {
        CAPTURE(std::string(row.name));
        const auto servers = makeServers(2);
        const auto list = makeList(servers);
        // The random cost may exceed the cost of another zone, so the majority of the choices counts.
        std::map<std::string, int> chosen;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            LeastCostPolicy policy(seed);
            if (row.nearReported > 0)
                policy.loadReported({ { "e0", { row.nearReported, 0, 0, start } } }, start);
            std::uint64_t id = 100;
            for (int open = 0; open < row.nearRequests; ++open) {
                policy.requestSent(makeRequest(id), servers[0], start);
                policy.firstPieceReceived(makeRequest(id++), servers[0], start);
            }
            if (row.nearPromptTokens > 0) {
                auto large = makeRequest(id);
                large.promptTokens = row.nearPromptTokens;
                policy.requestSent(large, servers[0], start);
            }
            ++chosen[policy.choose(makeRequest(1), list, start)->id];
        }
        CHECK(chosen[row.chosen] >= 15);
    }
}

TEST_CASE("nodes with the same view do not all choose the same server")
{
    const auto servers = makeServers(40);
    const auto list = makeList(servers);
    std::map<std::string, int> chosen;
    for (std::uint64_t node = 1; node <= 40; ++node) {
        LeastCostPolicy policy(node * 1000);
        ++chosen[policy.choose(makeRequest(1), list, start)->id];
    }
    CHECK(chosen.size() >= 12);
    for (const auto& [id, count] : chosen)
        CHECK(count <= 6);
}

TEST_CASE("no server is chosen when there are no candidates")
{
    LeastCostPolicy policy(1);
    CHECK(policy.choose(makeRequest(1), CandidateList({}), start) == nullptr);
    CHECK(policy.choose(makeRequest(1), std::span<const BackendServer* const> {}, start) == nullptr);
}

TEST_CASE("an excluded server is not chosen")
{
    const auto servers = makeServers(3);
    const auto list = makeList(servers);
    const std::set<std::string> excluded { "e0", "e2" };
    LeastCostPolicy policy(1);
    auto request = makeRequest(1);
    request.excluded = &excluded;
    for (int step = 0; step < 20; ++step)
        CHECK(policy.choose(request, list, start)->id == "e1");
}

struct LongCase {
    const char* name;
    std::size_t nodes;
    std::chrono::milliseconds waited;
    std::chrono::milliseconds sinceShortWork; ///< Time since the last short request.
    int admitted; ///< Number of 200 long requests that get a server; 4 of the 12 servers with 8 slots each are for long work.
};

const LongCase longCases[] = {
    { "one node", 1, 0ms, 1s, 28 },
    { "three nodes share the slots", 3, 0ms, 1s, 8 },
    { "many nodes: one slot of each server for each node", 100, 0ms, 1s, 4 },
    { "requests that waited too long are not limited", 3, 30'000ms, 1s, 200 },
    { "no recent short work: all but one slot of each server", 1, 0ms, 30s, 84 },
    { "no recent short work, three nodes", 3, 0ms, 30s, 24 },
};

TEST_CASE("long work is limited to its servers and slots")
{
    for (const auto& row : longCases) {
        CAPTURE(std::string(row.name));
        const auto servers = makeServers(12);
        const auto list = makeList(servers);
        LeastCostPolicy policy(1);
        policy.setNodeCount(row.nodes);
        policy.choose(makeRequest(1000), list, start);
        const auto now = start + row.sinceShortWork;
        int admitted = 0;
        for (std::uint64_t id = 1; id <= 200; ++id) {
            auto request = makeRequest(id, WorkClass::Long);
            request.waited = row.waited;
            const auto* server = policy.choose(request, list, now);
            if (!server)
                continue;
            ++admitted;
            if (row.sinceShortWork < 30s)
                CHECK(list.isLongWorkServer(*server));
            policy.requestSent(request, *server, now);
            policy.firstPieceReceived(request, *server, now);
        }
        CHECK(admitted == row.admitted);
    }
}

struct LongServersCase {
    const char* name;
    BackendKind shortKind; ///< Kind of the servers that run short work.
    std::size_t excluded; ///< Number of servers for long work that are excluded.
    bool isResumed;
    bool isComputing; ///< Whether all servers for long work compute a prompt.
    bool isServed; ///< Whether the request gets a server.
    bool isLongWorkServer; ///< Whether that is one for long work.
};

// Two of six engines are for long work.
const LongServersCase longServersCases[] = {
    { "short work at engines: long work stays on its servers", BackendKind::Engine, 0, false, false, true, true },
    { "a server for long work is excluded", BackendKind::Engine, 1, false, false, true, true },
    { "all servers for long work are excluded", BackendKind::Engine, 2, false, false, true, false },
    { "all servers for long work are excluded, resumed request", BackendKind::Engine, 2, true, false, true, false },
    { "all servers for long work compute a prompt", BackendKind::Engine, 0, false, true, false, false },
    { "all servers for long work compute a prompt, resumed request", BackendKind::Engine, 0, true, true, true, true },
    { "short work at plain services, servers for long work compute a prompt", BackendKind::Plain, 0, false, true, true, false },
};

TEST_CASE("long work gets another server when its own ones are excluded or no short work needs the others")
{
    for (const auto& row : longServersCases) {
        CAPTURE(std::string(row.name));
        const auto servers = makeServers(6);
        const auto list = makeList(servers);
        auto shortServers = makeServers(2);
        for (auto& server : shortServers)
            server.kind = row.shortKind;
        LeastCostPolicy policy(1);
        policy.choose(makeRequest(1000), makeList(shortServers), start);
        std::set<std::string> excluded;
        std::uint64_t id = 100;
        for (const auto* server : list.longWorkServers()) {
            if (excluded.size() < row.excluded)
                excluded.insert(server->id);
            if (row.isComputing)
                policy.requestSent(makeRequest(id++, WorkClass::Long), *server, start);
        }
        auto request = makeRequest(1, WorkClass::Long);
        request.excluded = &excluded;
        request.isResumed = row.isResumed;

        const auto* chosen = policy.choose(request, list, start + 1s);

        CHECK((chosen != nullptr) == row.isServed);
        if (chosen) {
            CHECK_FALSE(excluded.contains(chosen->id));
            CHECK(list.isLongWorkServer(*chosen) == row.isLongWorkServer);
        }
    }
}

TEST_CASE("prompts of long work are computed one at a time")
{
    const auto servers = makeServers(1);
    const auto list = makeList(servers);
    LeastCostPolicy policy(1);
    const auto first = makeRequest(1, WorkClass::Long);
    REQUIRE(policy.choose(first, list, start));
    policy.requestSent(first, servers[0], start);
    CHECK_FALSE(policy.choose(makeRequest(2, WorkClass::Long), list, start));
    policy.firstPieceReceived(first, servers[0], start + 1s);
    CHECK(policy.choose(makeRequest(2, WorkClass::Long), list, start + 1s));
}

TEST_CASE("a resumed request gets a server that has no capacity for a new one")
{
    const auto servers = makeServers(1);
    const auto list = makeList(servers);
    LeastCostPolicy policy(1);
    policy.requestSent(makeRequest(1, WorkClass::Long), servers[0], start);
    auto request = makeRequest(2, WorkClass::Long);
    CHECK_FALSE(policy.choose(request, list, start));

    request.isResumed = true;

    CHECK(policy.choose(request, list, start) == &servers[0]);
}

TEST_CASE("short work avoids the servers for long work after a long request")
{
    const auto servers = makeServers(12);
    const auto list = makeList(servers);
    LeastCostPolicy policy(1);
    policy.choose(makeRequest(1, WorkClass::Long), list, start);
    for (std::uint64_t id = 2; id < 42; ++id)
        CHECK_FALSE(list.isLongWorkServer(*policy.choose(makeRequest(id), list, start)));
}

TEST_CASE("calls of plain services do not avoid servers for long work after a long request at an engine")
{
    const auto engines = makeServers(6);
    auto services = makeServers(6);
    for (auto& service : services)
        service.kind = BackendKind::Plain;
    const auto list = makeList(services);
    LeastCostPolicy policy(1);
    policy.choose(makeRequest(1, WorkClass::Long), makeList(engines), start);
    int sentToLongWorkServers = 0;
    for (std::uint64_t id = 2; id < 62; ++id)
        sentToLongWorkServers += list.isLongWorkServer(*policy.choose(makeRequest(id), list, start)) ? 1 : 0;
    CHECK(sentToLongWorkServers > 0);
}

TEST_CASE("a slow server is sent nothing but probes")
{
    const auto servers = makeServers(6);
    const auto list = makeList(servers);
    LeastCostPolicy policy(1);
    auto now = start;
    for (std::uint64_t index = 0; index < servers.size(); ++index) {
        policy.requestSent(makeRequest(100 + index), servers[index], now);
        policy.firstPieceReceived(makeRequest(100 + index), servers[index], now);
    }
    auto lastSlowPiece = now;
    for (int step = 0; step < 60; ++step) {
        now += 30ms;
        for (std::uint64_t index = 1; index < servers.size(); ++index)
            policy.pieceReceived(makeRequest(100 + index), servers[index], 1, now);
        if (now - lastSlowPiece >= 150ms) {
            policy.pieceReceived(makeRequest(100), servers[0], 1, now);
            lastSlowPiece = now;
        }
    }
    int sent = 0;
    for (std::uint64_t id = 200; id < 1200; ++id) {
        now += 10ms;
        sent += policy.choose(makeRequest(id), list, now)->id == "e0" ? 1 : 0;
    }
    CHECK(sent >= 1);
    CHECK(sent <= 2);
}

TEST_CASE("a failing server is avoided while there are others")
{
    const auto servers = makeServers(2);
    const auto list = makeList(servers);
    LeastCostPolicy policy(1);
    policy.requestSent(makeRequest(1), servers[0], start);
    policy.requestEnded(makeRequest(1), servers[0], AttemptEnd::Failed, start);
    CHECK(policy.choose(makeRequest(2), list, start + 10ms)->id == "e1");
    const std::set<std::string> excluded { "e1" };
    auto request = makeRequest(3);
    request.excluded = &excluded;
    CHECK(policy.choose(request, list, start + 10ms)->id == "e0");
}

TEST_CASE("short work has a higher engine priority than long work")
{
    const LeastCostPolicy policy(1);
    CHECK(policy.enginePriority(makeRequest(1)) == 11);
    CHECK(policy.enginePriority(makeRequest(1, WorkClass::Long)) == 10);
}

struct NameCase {
    const char* name;
    bool isKnown;
};

const NameCase nameCases[] = {
    { "product", true },
    { "round-robin", true },
    { "least-outstanding", true },
    { "least-reported-load", true },
    { "", false },
    { "other", false },
};

TEST_CASE("policies are created by name")
{
    for (const auto& row : nameCases) {
        CAPTURE(std::string(row.name));
        CHECK((makeRoutingPolicy(row.name) != nullptr) == row.isKnown);
    }
}

} // namespace
