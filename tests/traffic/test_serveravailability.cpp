#include "serveravailability.h"

#include <doctest/doctest.h>
#include <functional>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = ServerAvailability::TimePoint;

constexpr TimePoint start = TimePoint {} + 1h;
constexpr auto drain = 2s;

auto makeServer(const std::string& id, std::int64_t startedAt = 1'000) -> BackendServer
{
    BackendServer server;
    server.id = id;
    server.startedAt = startedAt;
    return server;
}

auto registry(const std::vector<BackendServer>& list) -> BackendServers
{
    BackendServers servers;
    for (const auto& server : list)
        servers[server.id] = server;
    return servers;
}

struct AvailabilityCase {
    const char* name;
    std::function<void(ServerAvailability&)> events; ///< What happens to the server "i-1" that started at 1000.
    std::chrono::milliseconds after; ///< Time since the start at which it is looked at.
    std::int64_t startedAt; ///< Start time with which it is registered then.
    bool isAvailable;
};

const AvailabilityCase availabilityCases[] = {
    { "nothing was stated", [](auto&) {}, 0ms, 1'000, true },
    { "leaving, at once", [](auto& servers) { servers.leavingReported(makeServer("i-1"), start); }, 0ms, 1'000, false },
    { "leaving, a day later", [](auto& servers) { servers.leavingReported(makeServer("i-1"), start); }, 24h, 1'000, false },
    { "leaving, started anew", [](auto& servers) { servers.leavingReported(makeServer("i-1"), start); }, 0ms, 2'000, true },
    { "leaving, the start time is not known", [](auto& servers) { servers.leavingReported(makeServer("i-1", 0), start); }, 24h, 0, false },
    { "another server is leaving", [](auto& servers) { servers.leavingReported(makeServer("i-2"), start); }, 0ms, 1'000, true },
    { "the server before it under its id is leaving", [](auto& servers) {
         servers.pauseRequested(makeServer("i-1"), 1s, start);
         servers.leavingReported(makeServer("i-1", 500), start);
     },
        1s, 1'000, true },
    { "a pause, at once", [](auto& servers) { servers.pauseRequested(makeServer("i-1"), 1s, start); }, 0ms, 1'000, false },
    { "a pause, just before its end", [](auto& servers) { servers.pauseRequested(makeServer("i-1"), 1s, start); }, 999ms, 1'000, false },
    { "a pause, at its end", [](auto& servers) { servers.pauseRequested(makeServer("i-1"), 1s, start); }, 1s, 1'000, true },
    { "a pause, started anew", [](auto& servers) { servers.pauseRequested(makeServer("i-1"), 1s, start); }, 0ms, 2'000, true },
    { "a shorter pause after a longer one", [](auto& servers) {
         servers.pauseRequested(makeServer("i-1"), 2s, start);
         servers.pauseRequested(makeServer("i-1"), 100ms, start);
     },
        1'999ms, 1'000, false },
    { "no pause at all", [](auto& servers) { servers.pauseRequested(makeServer("i-1"), 0ms, start); }, 0ms, 1'000, true },
    { "a negative pause", [](auto& servers) { servers.pauseRequested(makeServer("i-1"), -5s, start); }, 0ms, 1'000, true },
    { "a pause of a day, within the limit", [](auto& servers) { servers.pauseRequested(makeServer("i-1"), 24h, start); }, 599'999ms, 1'000, false },
    { "a pause of a day, at the limit", [](auto& servers) { servers.pauseRequested(makeServer("i-1"), 24h, start); }, 600s, 1'000, true },
    { "the longest time there is", [](auto& servers) { servers.pauseRequested(makeServer("i-1"), std::chrono::milliseconds::max(), start); }, 600s, 1'000, true },
    { "the address is taken, just before the end", [](auto& servers) { servers.addressTaken("i-1", start); }, 999ms, 1'000, false },
    { "the address is taken, at the end", [](auto& servers) { servers.addressTaken("i-1", start); }, 1s, 1'000, true },
    { "the address is taken, started anew", [](auto& servers) { servers.addressTaken("i-1", start); }, 500ms, 2'000, false },
    { "leaving after the address was taken", [](auto& servers) {
         servers.addressTaken("i-1", start);
         servers.leavingReported(makeServer("i-1"), start);
     },
        2s, 1'000, false },
};

TEST_CASE("a server is unavailable for as long as its statements hold")
{
    for (const auto& row : availabilityCases) {
        CAPTURE(row.name);
        ServerAvailability servers;
        row.events(servers);
        CHECK(servers.isAvailable(makeServer("i-1", row.startedAt), start + row.after) == row.isAvailable);
    }
}

struct NextCase {
    const char* name;
    std::vector<std::string> leaving;
    std::vector<std::pair<std::string, std::chrono::milliseconds>> pauses;
    std::vector<std::string> taken;
    std::optional<std::chrono::milliseconds> next; ///< For the servers "i-1" and "i-2".
};

const NextCase nextCases[] = {
    { "both take requests", {}, {}, {}, {} },
    { "one is paused", {}, { { "i-1", 3s } }, {}, {} },
    { "both are paused", {}, { { "i-1", 3s }, { "i-2", 2s } }, {}, 2s },
    { "one is paused, the other is leaving", { "i-2" }, { { "i-1", 3s } }, {}, 3s },
    { "one is paused, the other is paused and leaving", { "i-2" }, { { "i-1", 3s }, { "i-2", 1s } }, {}, 3s },
    { "both are leaving", { "i-1", "i-2" }, {}, {}, {} },
    { "one is paused, another server is at the address of the other", {}, { { "i-1", 3s } }, { "i-2" }, {} },
};

TEST_CASE("the next server is available when the first of the pauses ends, if all servers are paused")
{
    const auto first = makeServer("i-1");
    const auto second = makeServer("i-2");
    const std::vector<const BackendServer*> both { &first, &second };
    for (const auto& row : nextCases) {
        CAPTURE(row.name);
        ServerAvailability servers;
        for (const auto& id : row.leaving)
            servers.leavingReported(makeServer(id), start);
        for (const auto& [id, duration] : row.pauses)
            servers.pauseRequested(makeServer(id), duration, start);
        for (const auto& id : row.taken)
            servers.addressTaken(id, start);
        const auto next = servers.nextAvailable(both, start);
        REQUIRE(next.has_value() == row.next.has_value());
        if (next)
            CHECK(*next == start + *row.next);
    }
    CHECK_FALSE(ServerAvailability().nextAvailable({}, start).has_value());
}

struct RetainCase {
    const char* name;
    std::int64_t reportedStart; ///< Start time of the server that stated that it leaves.
    std::optional<std::int64_t> registeredStart; ///< Start time in the registry afterwards; empty when the server is not there.
    std::chrono::milliseconds after; ///< Time between its removal and the next change of the registry.
    std::size_t kept;
};

const RetainCase retainCases[] = {
    { "registered as before", 1'000, 1'000, 24h, 1 },
    { "started anew", 1'000, 2'000, 0ms, 0 },
    { "started anew, with an earlier time", 1'000, 900, 0ms, 0 },
    { "gone for a short while", 1'000, {}, 59s, 1 },
    { "gone for a long while", 1'000, {}, 60s, 0 },
    { "gone, without a start time", 0, {}, 0ms, 0 },
};

TEST_CASE("statements of servers that are gone are discarded")
{
    for (const auto& row : retainCases) {
        CAPTURE(row.name);
        ServerAvailability servers;
        servers.leavingReported(makeServer("i-1", row.reportedStart), start);
        const auto present = row.registeredStart ? registry({ makeServer("i-1", *row.registeredStart) }) : BackendServers {};
        servers.retain(present, start);
        servers.retain(present, start + row.after);
        CHECK(servers.size() == row.kept);
    }
}

// A registration that lapses while the store is away must not bring a leaving server back.
TEST_CASE("a server that leaves is still out when its registration was missing for a while")
{
    ServerAvailability servers;
    servers.leavingReported(makeServer("i-1"), start);
    servers.retain({}, start + 1s);
    servers.retain(registry({ makeServer("i-1") }), start + 20s);
    servers.retain({}, start + 70s);
    CHECK_FALSE(servers.isAvailable(makeServer("i-1"), start + 80s));
}

TEST_CASE("pauses that are over are discarded at the next change of the registry")
{
    ServerAvailability servers;
    servers.pauseRequested(makeServer("i-1"), 1s, start);
    servers.addressTaken("i-2", start);
    const auto present = registry({ makeServer("i-1"), makeServer("i-2") });
    servers.retain(present, start + 500ms);
    CHECK(servers.size() == 2);
    servers.retain(present, start + 1s);
    CHECK(servers.size() == 0);
}

struct ResumeCase {
    const char* name;
    std::function<void(ServerAvailability&)> events; ///< What happens to the server that holds the copy.
    std::chrono::milliseconds after;
    bool mayResume;
};

const ResumeCase resumeCases[] = {
    { "nothing was stated", [](auto&) {}, 0ms, true },
    { "leaving, within the drain time", [](auto& servers) { servers.leavingReported(makeServer("i-1"), start); }, 1'999ms, true },
    { "leaving, after the drain time", [](auto& servers) { servers.leavingReported(makeServer("i-1"), start); }, 2s, false },
    { "paused", [](auto& servers) { servers.pauseRequested(makeServer("i-1"), 1s, start); }, 500ms, false },
    { "paused before", [](auto& servers) { servers.pauseRequested(makeServer("i-1"), 1s, start); }, 1s, true },
};

TEST_CASE("a run continues from a copy at a server that is leaving within the drain time only, and at no paused one")
{
    for (const auto& row : resumeCases) {
        CAPTURE(row.name);
        ServerAvailability servers;
        row.events(servers);
        CHECK(servers.mayResumeCopy(makeServer("i-1"), drain, start + row.after) == row.mayResume);
    }
}

TEST_CASE("a statement is reported as new once, and a pause again when it gets noticeably longer")
{
    ServerAvailability servers;
    const auto server = makeServer("i-1");
    CHECK(servers.leavingReported(server, start));
    CHECK_FALSE(servers.leavingReported(server, start + 1s));
    CHECK(servers.pauseRequested(server, 1s, start));
    CHECK_FALSE(servers.pauseRequested(server, 1s, start + 20ms));
    CHECK(servers.pauseRequested(server, 5s, start + 20ms));
    CHECK(servers.pauseRequested(server, 100ms, start + 6s));
    CHECK(servers.addressTaken("i-2", start));
    CHECK_FALSE(servers.addressTaken("i-2", start + 500ms));
}

TEST_CASE("the servers that get no requests are listed with the reason that lasts longest")
{
    ServerAvailability servers;
    servers.leavingReported(makeServer("i-1"), start);
    servers.pauseRequested(makeServer("i-1"), 1s, start);
    servers.pauseRequested(makeServer("i-2"), 1s, start);
    servers.addressTaken("i-3", start);
    const auto list = servers.entries(start);
    REQUIRE(list.size() == 3);
    CHECK(list[0].reason == UnavailableReason::Leaving);
    CHECK_FALSE(list[0].until.has_value());
    CHECK(list[1].reason == UnavailableReason::Paused);
    CHECK(list[1].until == start + 1s);
    CHECK(list[2].reason == UnavailableReason::AddressTaken);
    CHECK(list[2].until == start + 1s);
    CHECK(servers.entries(start + 1s).size() == 1);
}

} // namespace
