#include "roomshare.h"

#include <cmath>
#include <doctest/doctest.h>
#include <optional>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

const RoomShare::TimePoint start { 1h };

auto room(const char* zone, std::int64_t servers, std::int64_t slots, std::int64_t open, double perSecond, std::int64_t waiting = 0) -> ZoneRoom
{
    ZoneRoom result;
    result.service = "s";
    result.zone = zone;
    result.servers = servers;
    result.slots = slots;
    result.openRequests = open;
    result.requestsPerSecond = perSecond;
    result.waitingRequests = waiting;
    return result;
}

/** Checks that \a limit is \a expected or, when that is a fraction of a request, one of the whole numbers beside it. */
auto checkRounded(double limit, double expected) -> void
{
    CHECK(limit >= std::floor(expected));
    CHECK(limit <= std::ceil(expected));
}

struct LimitCase {
    const char* name;
    RoomShare::Input input;
    std::optional<double> expected;
    bool isReported;
};

const LimitCase limitCases[] = {
    { "leader away: an equal share", { 112, 2'688, 80, 5, 0, {}, "a", {} }, 42.0, false },
    { "leader away, one node", { 1, 6, 1, 0, 0, {}, "a", {} }, 7.0, false },
    { "leader away, more nodes than slots", { 7, 42, 86, 0, 0, {}, "a", {} }, 1.0, false },
    { "leader away, no node known", { 1, 6, 0, 0, 0, {}, "a", {} }, 7.0, false },
    { "the share of the demand is not known", { 7, 42, 7, 0, 0, { room("a", 7, 42, 42, 100) }, "a", {} }, 7.0, false },
    { "the room of the own zone is not known", { 7, 42, 7, 0, 0, { room("b", 7, 42, 42, 100) }, "a", 0.5 }, 7.0, false },
    { "half of the slots are free", { 7, 42, 7, 3, 0, { room("a", 7, 42, 21, 100) }, "a", 0.1 }, {}, true },
    { "some slots are free", { 7, 42, 7, 8, 0, { room("a", 7, 42, 32, 100) }, "a", 0.1 }, 9.7, true },
    { "a plain service with 7 servers of 6 slots under double load", { 7, 42, 86, 3, 0, { room("a", 7, 42, 84, 100) }, "a", 0.1 }, 4.9, true },
    { "the same, a node with little demand", { 7, 42, 86, 0, 0, { room("a", 7, 42, 84, 100) }, "a", 0.01 }, 1.0, true },
    { "the only node that waits", { 7, 42, 86, 4, 6, { room("a", 7, 42, 32, 100, 6) }, "a", 0.01 }, 12.5, true },
    { "one of many that wait", { 7, 42, 86, 4, 6, { room("a", 7, 42, 32, 100, 60) }, "a", 0.01 }, 4.85, true },
    { "demand in two zones", { 4, 24, 9, 4, 0, { room("a", 2, 12, 10, 30), room("b", 2, 12, 10, 10) }, "a", 0.4 }, 8.4, true },
    { "loss of half of the servers, reported", { 56, 1'344, 80, 30, 9, { room("a", 56, 1'344, 2'400, 800, 720) }, "a", 0.0125 }, 21.0, true },
    { "loss of half of the servers, only in the registry", { 56, 1'344, 80, 30, 0, { room("a", 112, 2'688, 2'400, 800) }, "a", 0.0125 }, 21.0, true },
};

// Guards against a node that takes more than its part of what is free, one that gets nothing, and one that holds requests while slots are free.
TEST_CASE("a node's part of the room follows the leader's answer, or the number of nodes without one")
{
    for (const auto& row : limitCases) {
        CAPTURE(row.name);
        RoomShare share;
        const auto limit = share.limit(row.input, start);
        CHECK(limit.isReported == row.isReported);
        REQUIRE(limit.openRequests.has_value() == row.expected.has_value());
        if (row.expected)
            checkRounded(*limit.openRequests, *row.expected);
    }
}

// Guards against nodes that spend the same free slots again while the report that names them is in force.
TEST_CASE("free slots are spent once for each report")
{
    RoomShare share;
    RoomShare::Input input { 7, 42, 7, 8, 0, { room("a", 7, 42, 32, 100) }, "a", 0.1 };
    checkRounded(*share.limit(input, start).openRequests, 9.7);
    input.openRequests = 10;
    checkRounded(*share.limit(input, start + 400ms).openRequests, 9.7);
    checkRounded(*share.limit(input, start + 500ms).openRequests, 11.7);
    input.rooms[0].openRequests = 49;
    checkRounded(*share.limit(input, start + 510ms).openRequests, 10);
}

// Guards against nodes that together overload a plain service, or leave its slots idle, while more than it can take arrives at all of them.
TEST_CASE("many nodes under double load keep the slots busy and the servers' queues short")
{
    constexpr std::int64_t nodes = 20;
    constexpr std::int64_t slots = 42;
    std::vector<RoomShare> shares;
    for (std::uint64_t node = 0; node < nodes; ++node)
        shares.emplace_back(node * 7'919 + 1);
    std::int64_t sum = 0;
    std::vector<std::int64_t> open(nodes, 0);
    std::int64_t reported = 0;
    for (int step = 0; step < 200; ++step) {
        const auto now = start + step * 100ms;
        std::int64_t total = 0;
        for (const auto count : open)
            total += count;
        if (step % 5 == 0)
            reported = total;
        for (std::size_t node = 0; node < nodes; ++node) {
            const RoomShare::Input input { 7, slots, nodes, open[node], 5, { room("a", 7, slots, reported, 200, 100) }, "a", 0.05 };
            const auto limit = shares[node].limit(input, now);
            while (!limit.openRequests || static_cast<double>(open[node] + 1) <= *limit.openRequests) {
                ++open[node];
                if (!limit.openRequests)
                    break;
            }
        }
        total = 0;
        for (const auto count : open)
            total += count;
        if (step > 20) {
            sum += total;
            CHECK(total >= slots * 8 / 10);
            CHECK(total <= 2 * slots);
        }
        // In 100 ms, a third of the running requests ends.
        for (std::int64_t ended = 0; ended < slots / 3; ++ended) {
            auto& count = open[static_cast<std::size_t>((std::int64_t { step } * 7 + ended) % nodes)];
            count -= count > 0 ? 1 : 0;
        }
    }
    CHECK(sum / 179 >= slots);
    CHECK(sum / 179 <= slots * 3 / 2);
}

} // namespace
