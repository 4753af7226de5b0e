#include "rolloutgate.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

const RolloutGate::TimePoint start(1h);

auto makeServers(const std::vector<std::string>& versions) -> BackendServers
{
    BackendServers servers;
    for (std::size_t index = 0; index < versions.size(); ++index) {
        BackendServer server;
        server.id = "i-" + std::to_string(index);
        server.pool = "app";
        server.version = versions[index];
        server.startedAt = static_cast<std::int64_t>(index + 1);
        servers[server.id] = server;
    }
    return servers;
}

auto makeShare(RolloutPhase phase, double share, std::chrono::milliseconds left = 60s) -> RolloutShare
{
    return { "app", "v2", 5, 3, phase, share, left, 10s };
}

struct SideCase {
    const char* name;
    std::vector<std::string> versions;
    RolloutShare share;
    bool isRepeat;
    std::vector<RolloutSide> expected;
};

using Sides = std::vector<RolloutSide>;

const SideCase sideCases[] = {
    { "before any request may go there", { "v1", "v2" }, makeShare(RolloutPhase::Waiting, 0), false, { RolloutSide::Earlier } },
    { "the version has no servers", { "v1" }, makeShare(RolloutPhase::Raising, 0.5), false, { RolloutSide::Earlier } },
    { "only the new version is left", { "v2" }, makeShare(RolloutPhase::Canary, 0), false, { RolloutSide::Next } },
    { "all requests", { "v1", "v2" }, makeShare(RolloutPhase::Full, 1), false, { RolloutSide::Next } },
    { "all requests, no new server", { "v1" }, makeShare(RolloutPhase::Full, 1), false, { RolloutSide::Earlier } },
    { "a repeat goes to the old version", { "v1", "v2" }, makeShare(RolloutPhase::Raising, 0.999), true, { RolloutSide::Earlier } },
    { "rolled back", { "v1", "v2" }, makeShare(RolloutPhase::RolledBack, 0), false, { RolloutSide::Any } },
    { "completed", { "v1", "v2" }, makeShare(RolloutPhase::Completed, 1), false, { RolloutSide::Next, RolloutSide::Any } },
    { "no time for a long answer at an old server", { "v1", "v2" }, makeShare(RolloutPhase::Shifting, 0.01, 8s), false, { RolloutSide::Next, RolloutSide::Earlier } },
    { "time enough for it", { "v1", "v2" }, makeShare(RolloutPhase::Shifting, 0.01, 20s), false, { RolloutSide::Earlier } },
};

TEST_CASE("requests go to the side that the leader's word names")
{
    for (const auto& row : sideCases) {
        CAPTURE(row.name);
        RolloutGate gate(2s, 1);
        gate.serversChanged(makeServers(row.versions), start);
        gate.answerReceived({ row.share }, true, start + 1ms, start + 1ms);
        CHECK(gate.sidesFor("app", 1, row.isRepeat, start + 9s, start + 1ms) == row.expected);
    }
}

// Guards against requests to a version that was rolled back, also when nothing else is left.
TEST_CASE("a version that was rolled back gets nothing")
{
    RolloutGate gate(2s, 1);
    const auto servers = makeServers({ "v1", "v2" });
    gate.serversChanged(servers, start);
    gate.answerReceived({ makeShare(RolloutPhase::RolledBack, 0) }, true, start + 1ms, start + 1ms);
    for (const auto side : { RolloutSide::Any, RolloutSide::Earlier, RolloutSide::Next })
        CHECK_FALSE(gate.accepts(servers.at("i-1"), side));
    CHECK(gate.accepts(servers.at("i-0"), RolloutSide::Any));
}

struct ShareCase {
    double share;
    int requests;
};

const ShareCase shareCases[] = { { 0.05, 1'000 }, { 0.025, 1'000 }, { 0.25, 200 }, { 0.5, 100 } };

// Guards against a node that sends more to the new version than its share.
TEST_CASE("a node holds its share exactly, also for requests that wait for a server")
{
    for (const auto& row : shareCases) {
        CAPTURE(row.share);
        RolloutGate gate(2s, 7);
        gate.serversChanged(makeServers({ "v1", "v2" }), start);
        gate.answerReceived({ makeShare(RolloutPhase::Raising, row.share) }, true, start + 1ms, start + 1ms);
        int sent = 0;
        for (int request = 0; request < row.requests; ++request) {
            Sides sides;
            for (int attempt = 0; attempt < 3; ++attempt)
                sides = gate.sidesFor("app", static_cast<std::uint64_t>(request), false, start + 1s, start + 1ms);
            sent += sides.front() == RolloutSide::Next ? 1 : 0;
            gate.requestEnded(static_cast<std::uint64_t>(request));
        }
        CHECK(sent <= row.share * row.requests + 1);
        CHECK(sent >= row.share * row.requests - 1);
    }
}

// Guards against a restarted node that spreads its requests over all versions before it knows of the roll-out.
TEST_CASE("a version of unknown role gets nothing until the leader has spoken, at most for a while")
{
    RolloutGate gate(2s, 1);
    auto servers = makeServers({ "v1", "v2" });
    gate.serversChanged(servers, start);
    const auto& next = servers.at("i-1");
    CHECK(gate.accepts(servers.at("i-0"), RolloutSide::Any));
    CHECK_FALSE(gate.accepts(next, RolloutSide::Any));
    SUBCASE("an answer to an earlier report says nothing")
    {
        gate.answerReceived({}, true, start - 1ms, start + 100ms);
        CHECK_FALSE(gate.accepts(next, RolloutSide::Any));
    }
    SUBCASE("an answer of a leader that does not know all roll-outs says nothing")
    {
        gate.answerReceived({}, false, start + 1ms, start + 100ms);
        CHECK_FALSE(gate.accepts(next, RolloutSide::Any));
    }
    SUBCASE("no roll-out")
    {
        gate.answerReceived({}, true, start + 1ms, start + 100ms);
        CHECK(gate.accepts(next, RolloutSide::Any));
    }
    SUBCASE("no answer at all")
    {
        CHECK_FALSE(gate.update(start + 1'999ms));
        CHECK(gate.update(start + 2s));
        CHECK(gate.accepts(next, RolloutSide::Any));
    }
}

// Guards against requests to a version that fails everything while the leader is silent.
TEST_CASE("a node stops using a version after failures in a row until the leader's next word")
{
    RolloutGate gate(2s, 1);
    gate.serversChanged(makeServers({ "v1", "v2" }), start);
    gate.answerReceived({ makeShare(RolloutPhase::Full, 1) }, true, start + 1ms, start + 1ms);
    CHECK_FALSE(gate.attemptEnded("app", "v2", true, start + 2ms));
    CHECK_FALSE(gate.attemptEnded("app", "v2", true, start + 2ms));
    CHECK_FALSE(gate.attemptEnded("app", "v1", false, start + 2ms));
    CHECK(gate.attemptEnded("app", "v2", true, start + 3ms));
    CHECK(gate.sidesFor("app", 1, false, start + 1s, start + 4ms) == Sides { RolloutSide::Earlier });
    gate.answerReceived({ makeShare(RolloutPhase::Full, 1) }, true, start + 2ms, start + 5ms);
    CHECK(gate.sidesFor("app", 2, false, start + 1s, start + 5ms) == Sides { RolloutSide::Earlier });
    gate.answerReceived({ makeShare(RolloutPhase::Full, 1) }, true, start + 4ms, start + 6ms);
    CHECK(gate.sidesFor("app", 3, false, start + 1s, start + 6ms) == Sides { RolloutSide::Next });
}

} // namespace
