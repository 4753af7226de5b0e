#include "loadaccount.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = LoadAccount::TimePoint;

constexpr TimePoint start = TimePoint {} + 1h;

auto makeServers(int count, const std::string& service = "llm", std::int64_t slots = 32) -> BackendServers
{
    BackendServers servers;
    for (int index = 0; index < count; ++index) {
        BackendServer server;
        server.id = service + std::to_string(index);
        server.pool = service;
        server.zone = index % 2 == 0 ? "a" : "b";
        server.slots = slots;
        servers[server.id] = server;
    }
    return servers;
}

auto at(const std::string& id, std::int64_t open, std::int64_t pending = 0) -> BackendLoad
{
    return { loadKeyOf(id), open, pending };
}

/** Returns an account of \a servers on which four nodes have reported \a loads each. */
auto makeAccount(const BackendServers& servers, const std::vector<BackendLoad>& loads) -> LoadAccount
{
    LoadAccount account;
    account.begin(start);
    account.setServers(servers);
    for (const auto* node : { "n1", "n2", "n3", "n4" })
        account.reportReceived(node, { "a", loads, { { "llm", 1, 2.5 } } }, start);
    account.update(4, start);
    return account;
}

/** A change of an account of two servers with 10 and 0 open requests of each of four nodes, and the sum at the first one that follows. */
struct SumCase {
    const char* name;
    std::function<void(LoadAccount&)> change;
    std::chrono::milliseconds updatedAfter;
    std::int64_t openRequests;
};

const SumCase sumCases[] = {
    { "no change", [](LoadAccount&) {}, 500ms, 40 },
    { "a node with less load", [](LoadAccount& account) { account.reportReceived("n1", { "a", { at("llm0", 3) }, {} }, start + 400ms); }, 500ms, 33 },
    { "a node that reports the same again", [](LoadAccount& account) { account.reportReceived("n1", { "a", { at("llm0", 10) }, {} }, start + 400ms); }, 500ms, 40 },
    { "a node without load", [](LoadAccount& account) { account.reportReceived("n1", { "a", {}, {} }, start + 400ms); }, 500ms, 30 },
    { "a server twice in a report", [](LoadAccount& account) { account.reportReceived("n1", { "a", { at("llm0", 3), at("llm0", 2) }, {} }, start + 400ms); }, 500ms, 35 },
    { "silent nodes just before they are dropped", [](LoadAccount& account) { account.reportReceived("n1", { "a", { at("llm0", 10) }, {} }, start + 2s); }, 2'999ms, 40 },
    { "silent nodes are dropped", [](LoadAccount& account) { account.reportReceived("n1", { "a", { at("llm0", 10) }, {} }, start + 2s); }, 3s, 10 },
    { "another leadership", [](LoadAccount& account) { account.begin(start + 100ms); account.reportReceived("n1", { "a", { at("llm0", 7) }, {} }, start + 400ms); }, 2s, 7 },
};

// Guards against load that is counted twice or stays after its node is gone, which would keep all nodes away from an idle server.
TEST_CASE("the load of a server is the sum of the last reports of the live nodes")
{
    for (const auto& row : sumCases) {
        CAPTURE(row.name);
        auto account = makeAccount(makeServers(2), { at("llm0", 10) });
        row.change(account);
        account.update(4, start + row.updatedAfter);
        CHECK(account.busiest("llm") == std::vector { at("llm0", row.openRequests) });
    }
}

/** What a new leader has heard, and whether it tells the nodes the sums. */
struct BeginCase {
    const char* name;
    std::size_t expectedNodes;
    int heardNodes;
    std::chrono::milliseconds after;
    bool isComplete;
};

const BeginCase beginCases[] = {
    { "nobody", 77, 0, 500ms, false },
    { "too few nodes", 77, 69, 500ms, false },
    { "90 in 100", 77, 70, 500ms, true },
    { "too few for long enough", 77, 69, 1'200ms, true },
    { "just before that", 77, 69, 1'199ms, false },
    { "no record of the number", 0, 69, 500ms, false },
};

// Guards against a new leader that shows servers as idle because their nodes have not reported to it yet.
TEST_CASE("a new leader lists nothing until it has heard of most nodes")
{
    for (const auto& row : beginCases) {
        CAPTURE(row.name);
        auto account = makeAccount(makeServers(2), { at("llm0", 10) });
        account.begin(start + 10s);
        for (int node = 0; node < row.heardNodes; ++node)
            account.reportReceived("node" + std::to_string(node), { "a", { at("llm0", 1) }, {} }, start + 10s);
        account.update(row.expectedNodes, start + 10s + row.after);
        CHECK(account.isComplete() == row.isComplete);
        CHECK(account.busiest("llm").empty() == !row.isComplete);
        CHECK(account.rooms().empty() == !row.isComplete);
        CHECK(account.answerFor("node0").has_value() == row.isComplete);
    }
}

TEST_CASE("only live servers above the mean of their service are listed")
{
    auto servers = makeServers(4);
    for (const auto& [id, server] : makeServers(2, "plain", 6))
        servers[id] = server;
    servers["llm3"].state = InstanceState::Leaving;
    // The mean is 8 open requests; prompts that wait for their prefill count, too.
    const auto account = makeAccount(servers, { at("llm0", 2), at("llm1", 1, 900), at("llm2", 3), at("llm3", 9), at("plain1", 1), at("unknown", 50) });
    CHECK(account.busiest("llm") == std::vector { at("llm1", 4, 3'600) });
    CHECK(account.busiest("plain") == std::vector { at("plain1", 4) });
    CHECK(account.listedCount() == 2);
}

TEST_CASE("an answer has the load of the other nodes")
{
    auto account = makeAccount(makeServers(4), { at("llm0", 5, 800) });
    account.reportReceived("n1", { "a", { at("llm0", 50, 8'000) }, {} }, start + 100ms);
    const auto own = account.answerFor("n1");
    REQUIRE(own.has_value());
    CHECK(own->busiest == std::vector { at("llm0", 15, 2'400) });
    const auto other = account.answerFor("n2");
    REQUIRE(other.has_value());
    CHECK(other->busiest == std::vector { at("llm0", 60, 9'600) });
    // The total of 20 open requests is that of the last update, less the node's own 5.
    CHECK(other->means == std::vector<MeanLoad> { { "llm", 3.75, 600, 10 } });
    CHECK_FALSE(account.answerFor("n5").has_value());
}

// With few nodes, a node sees enough of the load itself, and its choices stay as they were.
TEST_CASE("fewer than four nodes get rooms only")
{
    LoadAccount account;
    account.begin(start);
    account.setServers(makeServers(2));
    for (const auto* node : { "n1", "n2", "n3" })
        account.reportReceived(node, { "a", { at("llm0", 10) }, {} }, start);
    account.update(3, start);
    const auto answer = account.answerFor("n1");
    REQUIRE(answer.has_value());
    CHECK(answer->busiest.empty());
    CHECK(answer->means.empty());
    CHECK(answer->rooms.size() == 2);
}

TEST_CASE("rooms have the servers of a zone and the callers of its nodes")
{
    auto account = makeAccount(makeServers(3), { at("llm0", 1, 10), at("llm1", 2), at("llm2", 3) });
    account.reportReceived("n4", { "b", { at("llm1", 2) }, { { "llm", 3, 4 }, { "gone", 1, 1 } } }, start);
    account.update(4, start);
    const std::vector<ZoneRoom> expected {
        { "gone", "b", 0, 0, 0, 0, 1, 1 },
        { "llm", "a", 2, 64, 12, 30, 3, 7.5 },
        { "llm", "b", 1, 32, 8, 0, 3, 4 },
    };
    CHECK(account.rooms() == expected);
    const auto answer = account.answerFor("n4");
    REQUIRE(answer.has_value());
    CHECK(answer->rooms == std::vector { expected[0], expected[2], expected[1] });
}

// Guards against reports and answers that grow with the servers and exceed the 3 KB a second of a node.
TEST_CASE("lists are bounded")
{
    std::vector<BackendLoad> loads;
    loads.reserve(100);
    for (int index = 0; index < 100; ++index)
        loads.push_back(at("llm" + std::to_string(index), 10 + index));
    const auto tooMany = makeAccount(makeServers(maxSharedServers + 1), loads);
    CHECK(tooMany.listedCount() == 0);
    CHECK(std::none_of(tooMany.rooms().begin(), tooMany.rooms().end(), [](const auto& room) { return room.service == "llm"; }));
    auto account = makeAccount(makeServers(maxSharedServers), loads);
    CHECK(account.listedCount() == LoadAccount::maxBusiestServers);
    CHECK(account.busiest("llm").front() == at("llm63", 292));
    keepLargest(loads, LoadAccount::maxReportedServers);
    CHECK(loads.size() == LoadAccount::maxReportedServers);
    CHECK(loads.front() == at("llm99", 109));
    CHECK(loads.back() == at("llm36", 46));
}

} // namespace
