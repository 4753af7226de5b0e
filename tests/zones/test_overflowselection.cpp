#include "overflowselection.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <set>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = OverflowSelection::TimePoint;

constexpr TimePoint start = TimePoint {} + 1h;

struct Server {
    const char* zone;
    const char* region;
    std::int64_t slots;
    InstanceState state;
};

auto makeServers(const std::vector<Server>& list) -> BackendServers
{
    BackendServers servers;
    for (const auto& entry : list) {
        BackendServer server;
        server.id = "s" + std::to_string(servers.size());
        server.pool = "llm";
        server.zone = entry.zone;
        server.region = entry.region;
        server.slots = entry.slots;
        server.state = entry.state;
        servers[server.id] = server;
    }
    return servers;
}

/** Returns how many of 8,000 prompts are selected. */
auto countSelected(const OverflowSelection& selection, TimePoint now) -> int
{
    int count = 0;
    for (std::uint64_t prefix = 1; prefix <= 8'000; ++prefix)
        count += selection.targetFor("llm", prefix, 1, now).empty() ? 0 : 1;
    return count;
}

struct AgeCase {
    const char* name;
    std::chrono::milliseconds age;
    int eighths;
};

const AgeCase ageCases[] = {
    { "at once", 0ms, 5 },
    { "the leader has been away for 2 s", 2'000ms, 5 },
    { "the first step", 2'001ms, 4 },
    { "still the first step", 3'000ms, 4 },
    { "the second step", 3'001ms, 3 },
    { "the last step", 6'001ms, 0 },
    { "an hour later", 1h, 0 },
};

// Guards against a share that stays in force for ever, or ends at once, when the leader is away.
TEST_CASE("the share of the last answer is held for two seconds and then goes down by a step a second")
{
    OverflowSelection selection("a", "r");
    selection.answerReceived({ { "llm", "a", "b", 5 } }, start);
    for (const auto& row : ageCases) {
        CAPTURE(row.name);
        const auto shares = selection.shares(start + row.age);
        CHECK((shares.empty() ? 0 : shares.front().eighths) == row.eighths);
        CHECK(std::abs(countSelected(selection, start + row.age) - row.eighths * 1'000) < 200);
    }
}

// 40 nodes with 25 prompts each per second; guards against nodes that together send more than the share.
TEST_CASE("nodes that decide alone keep to the share together")
{
    std::minstd_rand random(1);
    for (std::uint8_t eighths = 0; eighths <= wholeOverflow; ++eighths) {
        CAPTURE(static_cast<int>(eighths));
        int selected = 0;
        for (int node = 0; node < 40; ++node) {
            OverflowSelection selection("a", "r");
            selection.answerReceived({ { "llm", "a", "b", eighths } }, start);
            for (std::uint64_t request = 1; request <= 25; ++request)
                selected += selection.targetFor("llm", request % 2 == 0 ? random() : 0, request + random(), start).empty() ? 0 : 1;
        }
        CHECK(std::abs(selected - eighths * 125) <= 60);
    }
}

// Guards against cached prompt parts that are lost with each step.
TEST_CASE("a larger share keeps the prompts of a smaller one, and all nodes select the same")
{
    std::set<std::uint64_t> earlier;
    for (std::uint8_t eighths = 1; eighths <= wholeOverflow; ++eighths) {
        OverflowSelection first("a", "r");
        OverflowSelection second("c", "r");
        first.answerReceived({ { "llm", "a", "b", eighths } }, start);
        second.answerReceived({ { "llm", "c", "b", eighths } }, start);
        std::set<std::uint64_t> selected;
        for (std::uint64_t prefix = 1; prefix <= 500; ++prefix) {
            CHECK(first.targetFor("llm", prefix, prefix, start) == second.targetFor("llm", prefix, prefix * 7, start));
            if (!first.targetFor("llm", prefix, 1, start).empty())
                selected.insert(prefix);
        }
        CHECK(std::includes(selected.begin(), selected.end(), earlier.begin(), earlier.end()));
        earlier = selected;
    }
    CHECK(earlier.size() == 500);
}

struct ZoneCase {
    const char* name;
    std::vector<Server> servers;
    const char* target;
};

const ZoneCase zoneCases[] = {
    { "a live server in the own zone", { { "a", "r", 4, InstanceState::Live }, { "b", "r", 24, InstanceState::Live } }, "" },
    { "the only server of the own zone is leaving", { { "a", "r", 4, InstanceState::Leaving }, { "b", "r", 24, InstanceState::Live } }, "b" },
    { "a zone of the same region goes before a larger one", { { "b", "r", 4, InstanceState::Live }, { "c", "s", 24, InstanceState::Live } }, "b" },
    { "the larger one of two in the region", { { "b", "r", 4, InstanceState::Live }, { "c", "r", 24, InstanceState::Live } }, "c" },
    { "no live server anywhere", { { "b", "r", 4, InstanceState::Leaving } }, "" },
    { "no server at all", {}, "" },
};

// Guards against requests that wait for servers of their own zone after it has lost all of them.
TEST_CASE("a zone without any live server of the service sends everything to the nearest zone, without the leader")
{
    for (const auto& row : zoneCases) {
        CAPTURE(row.name);
        OverflowSelection selection("a", "r");
        selection.serversChanged(makeServers(row.servers));
        CHECK(selection.targetFor("llm", 1, 1, start) == row.target);
        CHECK(selection.targetFor("llm", 0, 1, start) == row.target);
        CHECK(selection.targetFor("desk", 1, 1, start).empty());
    }
}

// Guards against an answer to a node of another zone, which a former leader may send.
TEST_CASE("shares of other zones and to the own zone are ignored")
{
    OverflowSelection selection("a", "r");
    selection.answerReceived({ { "llm", "b", "a", 8 }, { "llm", "a", "a", 8 } }, start);
    CHECK(selection.shares(start).empty());
    CHECK(countSelected(selection, start) == 0);
}

} // namespace
