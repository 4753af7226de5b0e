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

/** Records \a rounds times of each server, \a factor times the usual one for the first \a slowed servers, and returns the time of the last. */
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
    int rounds; ///< Number of rounds with slow times, after ten rounds with usual ones.
    std::size_t detected;
};

const SlowCase slowCases[] = {
    { "none slowed", 12, 0, 5, 10, 0 },
    { "two of twelve, after two slow times", 12, 2, 5, 2, 2 },
    { "two of twelve, after many slow times", 12, 2, 5, 40, 2 },
    { "slightly slower", 12, 2, 1, 40, 0 },
    { "five of twelve: only a third is marked as slow", 12, 5, 5, 20, 4 },
    { "all slow at once: overload, none is marked as slow", 12, 12, 5, 20, 0 },
    { "one of two", 2, 1, 5, 20, 1 },
    { "a server without peers", 1, 1, 5, 20, 0 },
};

TEST_CASE("servers slower than their peers are detected")
{
    for (const auto& row : slowCases) {
        CAPTURE(std::string(row.name));
        SlowdownDetector detector;
        const auto servers = makeServers(row.servers);
        const auto now = observe(detector, servers, 0, 1, 10, start);
        observe(detector, servers, row.slowed, row.factor, row.rounds, now);
        CHECK(slowCount(detector, servers) == row.detected);
    }
}

TEST_CASE("the slowness is relative to the peers")
{
    SlowdownDetector detector;
    const auto servers = makeServers(12);
    observe(detector, servers, 2, 5, 40, start);
    CHECK(detector.slowness(servers[0]) == doctest::Approx(5.0).epsilon(0.1));
    CHECK(detector.slowness(servers[5]) == 1);
}

TEST_CASE("a server that has recovered is no longer marked as slow")
{
    SlowdownDetector detector;
    const auto servers = makeServers(12);
    const auto now = observe(detector, servers, 2, 5, 20, start);
    REQUIRE(slowCount(detector, servers) == 2);
    observe(detector, servers, 0, 1, 20, now);
    CHECK(slowCount(detector, servers) == 0);
}

TEST_CASE("a server without times for more than ten minutes is forgotten")
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
    std::chrono::milliseconds after; ///< Time since the server was marked as slow.
    int probesBefore;
    bool isDue;
};

const ProbeCase probeCases[] = {
    { "just marked as slow", 1s, 0, false },
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
        const auto detected = observe(detector, servers, 1, 5, 10, start);
        constexpr std::chrono::milliseconds probeMoments[] = { 5s, 14s };
        for (int probe = 0; probe < row.probesBefore; ++probe)
            detector.probeSent(servers[0], detected + probeMoments[probe]);
        CHECK(detector.isProbeDue(servers[0], detected + row.after) == row.isDue);
        CHECK_FALSE(detector.isProbeDue(servers[1], detected + row.after));
    }
}

struct FailureCase {
    const char* name;
    int failures;
    bool succeeds;
    std::chrono::milliseconds after; ///< Time since the failures.
    bool isFailing;
};

const FailureCase failureCases[] = {
    { "one failure, immediately after", 1, false, 0ms, true },
    { "one failure, after the avoidance period", 1, false, 1000ms, false },
    { "three failures, within a longer avoidance period", 3, false, 3900ms, true },
    { "three failures, after the longer avoidance period", 3, false, 4000ms, false },
    { "many failures, after the maximum avoidance period", 40, false, 30'000ms, false },
    { "a success after failures", 3, true, 0ms, false },
};

TEST_CASE("a failing server is avoided for growing periods")
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
