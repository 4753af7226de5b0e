#include "slowdowndetector.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr SlowdownDetector::TimePoint start { 1h };
constexpr auto usualGap = 30ms;

auto makeServers(std::size_t count) -> std::vector<BackendServer>
{
    std::vector<BackendServer> servers(count);
    for (std::size_t index = 0; index < count; ++index)
        servers[index].id = "e" + std::to_string(index);
    return servers;
}

/** Lets each server show \a rounds times, the first \a slowed of them \a factor times the usual. */
auto observe(SlowdownDetector& detector, const std::vector<BackendServer>& servers, std::size_t slowed, int factor, int rounds,
    SlowdownDetector::TimePoint from) -> SlowdownDetector::TimePoint
{
    auto now = from;
    for (int round = 0; round < rounds; ++round) {
        now += 150ms;
        for (std::size_t index = 0; index < servers.size(); ++index)
            detector.observe(servers[index], index < slowed ? usualGap * factor : usualGap, now);
    }
    return now;
}

auto slowCount(const SlowdownDetector& detector, const std::vector<BackendServer>& servers) -> std::size_t
{
    std::size_t slow = 0;
    for (const auto& server : servers)
        slow += detector.slowness(server) > 1 ? 1 : 0;
    return slow;
}

struct SlowCase {
    const char* name;
    std::size_t servers;
    std::size_t slowed;
    int factor;
    int rounds; ///< Of slow times, after ten usual ones.
    std::size_t found;
};

const SlowCase slowCases[] = {
    { "none slowed", 12, 0, 5, 10, 0 },
    { "two of twelve, first times", 12, 2, 5, 2, 2 },
    { "two of twelve, for long", 12, 2, 5, 40, 2 },
    { "slightly slower", 12, 2, 1, 40, 0 },
    { "five of twelve: only a third is taken out", 12, 5, 5, 20, 4 },
    { "all slow at once is overload", 12, 12, 5, 20, 0 },
    { "one of two", 2, 1, 5, 20, 1 },
    { "a server without peers", 1, 1, 5, 20, 0 },
};

TEST_CASE("servers slower than their peers are found")
{
    for (const auto& row : slowCases) {
        CAPTURE(std::string(row.name));
        SlowdownDetector detector;
        const auto servers = makeServers(row.servers);
        const auto now = observe(detector, servers, 0, 1, 10, start);
        observe(detector, servers, row.slowed, row.factor, row.rounds, now);
        CHECK(slowCount(detector, servers) == row.found);
    }
}

TEST_CASE("the measure of the slowness is that against the peers")
{
    SlowdownDetector detector;
    const auto servers = makeServers(12);
    observe(detector, servers, 2, 5, 40, start);
    CHECK(detector.slowness(servers[0]) == doctest::Approx(5.0).epsilon(0.1));
    CHECK(detector.slowness(servers[5]) == 1);
}

TEST_CASE("a server that recovered is no longer slow")
{
    SlowdownDetector detector;
    const auto servers = makeServers(12);
    const auto now = observe(detector, servers, 2, 5, 20, start);
    REQUIRE(slowCount(detector, servers) == 2);
    observe(detector, servers, 0, 1, 20, now);
    CHECK(slowCount(detector, servers) == 0);
}

TEST_CASE("a server that showed nothing for long is forgotten")
{
    SlowdownDetector detector;
    const auto servers = makeServers(4);
    observe(detector, servers, 1, 5, 20, start);
    REQUIRE(detector.slowness(servers[0]) > 1);
    detector.observe(servers[1], usualGap, start + 11min);
    CHECK(detector.slowness(servers[0]) == 1);
}

struct ProbeCase {
    const char* name;
    std::chrono::milliseconds after; ///< The server was found slow.
    int probesBefore;
    bool isDue;
};

const ProbeCase probeCases[] = {
    { "just found", 1s, 0, false },
    { "after the first interval", 5s, 0, true },
    { "soon after a probe", 6s, 1, false },
    { "after twice the interval", 14s, 1, true },
    { "soon after two probes", 20s, 2, false },
};

TEST_CASE("a slow server is probed after growing intervals")
{
    for (const auto& row : probeCases) {
        CAPTURE(std::string(row.name));
        SlowdownDetector detector;
        const auto servers = makeServers(12);
        const auto found = observe(detector, servers, 1, 5, 10, start);
        constexpr std::chrono::milliseconds probeMoments[] = { 5s, 14s };
        for (int probe = 0; probe < row.probesBefore; ++probe)
            detector.probeSent(servers[0], found + probeMoments[probe]);
        CHECK(detector.isProbeDue(servers[0], found + row.after) == row.isDue);
        CHECK_FALSE(detector.isProbeDue(servers[1], found + row.after));
    }
}

struct FailureCase {
    const char* name;
    int failures;
    bool succeeds;
    std::chrono::milliseconds after;
    bool isFailing;
};

const FailureCase failureCases[] = {
    { "one failure, at once", 1, false, 0ms, true },
    { "one failure, a while after", 1, false, 1000ms, false },
    { "three failures last longer", 3, false, 3900ms, true },
    { "three failures, later", 3, false, 4000ms, false },
    { "many failures have a bound", 40, false, 30'000ms, false },
    { "a success ends it", 3, true, 0ms, false },
};

TEST_CASE("a server that fails is avoided for growing times")
{
    for (const auto& row : failureCases) {
        CAPTURE(std::string(row.name));
        SlowdownDetector detector;
        const auto servers = makeServers(1);
        for (int failure = 0; failure < row.failures; ++failure)
            detector.failed(servers[0], start);
        if (row.succeeds)
            detector.succeeded(servers[0]);
        CHECK(detector.isFailing(servers[0], start + row.after) == row.isFailing);
    }
}

} // namespace
