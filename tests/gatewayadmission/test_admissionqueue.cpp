#include "admissionqueue.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

const WaitingRequest::TimePoint start { 1h };

/** Requests of one kind that arrive together. */
struct Group {
    const char* workspace = "w";
    std::int64_t priority = 0;
    std::int64_t tokens = 500;
    int count = 1;
    std::chrono::milliseconds arrival { 0 };
    std::chrono::milliseconds limit { 8'000 }; ///< From arrival to deadline.
    std::chrono::milliseconds objective { 1'000 };
};

auto makeRequest(const Group& group, std::uint64_t id) -> WaitingRequest
{
    WaitingRequest request;
    request.id = id;
    request.service = "s";
    request.workspace = group.workspace;
    request.priority = group.priority;
    request.tokens = group.tokens;
    request.bytes = 1'000;
    request.received = start + group.arrival;
    request.deadline = request.received + group.limit;
    request.latestStart = request.deadline - 100ms;
    request.objectiveStart = request.received + group.objective;
    return request;
}

/** The ids of the requests of a group begin with 1,000 times its index. */
auto fill(AdmissionQueue& queue, const std::vector<Group>& groups) -> void
{
    for (std::size_t index = 0; index < groups.size(); ++index) {
        for (int request = 0; request < groups[index].count; ++request)
            static_cast<void>(queue.add(makeRequest(groups[index], 1'000 * index + static_cast<std::uint64_t>(request)), start + groups[index].arrival));
    }
}

struct OrderCase {
    const char* name;
    std::vector<Group> groups;
    std::chrono::milliseconds now; ///< Time at which requests are started, one after the other.
    std::size_t watched; ///< Index of the group that is watched.
    int starts; ///< Requests that start.
    int least; ///< Of these, at least so many are of the watched group.
    int most; ///< And at most so many.
};

const OrderCase orderCases[] = {
    { "a burst of long prompts beside short ones", { { "long", 0, 20'000, 40 }, { "short", 0, 500, 8, 10ms } }, 20ms, 1, 9, 8, 8 },
    { "long prompts get their turn beside a flood of short ones", { { "long", 0, 20'000, 2 }, { "short", 0, 500, 100, 10ms } }, 20ms, 0, 42, 1, 2 },
    { "a workspace that sends ten times its usual", { { "loud", 0, 500, 200 }, { "quiet", 0, 500, 20, 50ms } }, 100ms, 1, 40, 20, 20 },
    { "a workspace that sends ten times its usual and has waited for long", { { "loud", 0, 500, 200 }, { "quiet", 0, 500, 20, 2'500ms } }, 2'600ms, 1, 40, 20, 20 },
    { "a higher priority first", { { "w", 3, 500, 10 }, { "w", 0, 500, 10, 50ms } }, 100ms, 1, 10, 10, 10 },
    { "a low priority that was deferred for a quarter of its time", { { "w", 3, 500, 10 }, { "w", 0, 500, 100, 1'990ms } }, 2s, 0, 10, 10, 10 },
    { "a low priority of another workspace that was deferred takes turns", { { "low", 3, 500, 10 }, { "high", 0, 500, 100, 1'990ms } }, 2s, 0, 20, 10, 10 },
    { "requests that can meet their objective before those that cannot", { { "w", 0, 500, 10, 0ms, 20s, 200ms }, { "w", 0, 500, 10, 100ms, 20s } }, 300ms, 1, 10, 10, 10 },
    { "the oldest first of those that cannot", { { "w", 0, 500, 10, 0ms, 20s, 200ms }, { "w", 0, 500, 10, 100ms, 20s, 150ms } }, 300ms, 0, 10, 10, 10 },
    { "callers that return together, after older ones of the same workspace", { { "w", 0, 500, 10, 200ms }, { "w", 0, 500, 30, 210ms } }, 300ms, 0, 10, 10, 10 },
};

// Guards against one kind of load that takes the place of others, in each of the named situations.
TEST_CASE("requests start by priority, turns of their workspaces and benefit")
{
    for (const auto& row : orderCases) {
        CAPTURE(row.name);
        AdmissionQueue queue(512, 1'000'000);
        fill(queue, row.groups);
        int watched = 0;
        for (int taken = 0; taken < row.starts; ++taken) {
            const auto request = queue.take("s", start + row.now);
            REQUIRE(request);
            watched += request->id / 1'000 == row.watched ? 1 : 0;
        }
        CHECK(watched >= row.least);
        CHECK(watched <= row.most);
    }
}

// Guards against a low priority that starves: under twice the load, new requests of the first priority arrive faster than any start.
TEST_CASE("no request is deferred by others for much longer than a quarter of its time")
{
    AdmissionQueue queue(512, 1'000'000);
    const Group low { "low", 5, 500, 1, 0ms, 4'000ms };
    static_cast<void>(queue.add(makeRequest(low, 1), start));
    std::uint64_t next = 100;
    auto now = start;
    while (queue.contains(1)) {
        for (int arrival = 0; arrival < 2; ++arrival)
            static_cast<void>(queue.add(makeRequest({ "high", 0, 500, 1, std::chrono::duration_cast<std::chrono::milliseconds>(now - start), 4'000ms }, next++), now));
        REQUIRE(queue.take("s", now));
        now += 10ms;
    }
    CHECK(now - start >= 1'000ms);
    CHECK(now - start <= 1'040ms);
}

struct AheadCase {
    const char* name;
    std::vector<Group> waiting;
    const char* workspace;
    std::int64_t priority;
    std::size_t ahead;
};

const AheadCase aheadCases[] = {
    { "nobody waits", {}, "quiet", 0, 0 },
    { "behind its own workspace", { { "loud", 0, 500, 100 } }, "loud", 0, 100 },
    { "beside a workspace that sends ten times its usual", { { "loud", 0, 500, 100 } }, "quiet", 0, 1 },
    { "the same with requests of its own", { { "loud", 0, 500, 100 }, { "quiet", 0, 500, 10 } }, "quiet", 0, 21 },
    { "behind higher priorities", { { "loud", 0, 500, 100 } }, "quiet", 3, 100 },
    { "before lower priorities", { { "loud", 3, 500, 100 } }, "quiet", 0, 0 },
    { "beside the deferred of another workspace", { { "loud", 3, 500, 100, -3'000ms } }, "quiet", 0, 1 },
};

// Guards against a quiet workspace that is refused since a loud one has many requests in the queue.
TEST_CASE("the requests ahead of a new one follow the turns of the workspaces")
{
    for (const auto& row : aheadCases) {
        CAPTURE(row.name);
        AdmissionQueue queue(512, 1'000'000);
        for (const auto& group : row.waiting)
            for (int request = 0; request < group.count; ++request)
                static_cast<void>(queue.add(makeRequest(group, static_cast<std::uint64_t>(queue.size())), start));
        CHECK(queue.countAhead("s", row.workspace, row.priority) == row.ahead);
    }
}

struct FullCase {
    const char* name;
    std::size_t maxRequests;
    std::size_t maxBytes;
    std::vector<Group> waiting;
    Group next;
    bool isAdded;
    std::vector<std::uint64_t> displaced;
};

const FullCase fullCases[] = {
    { "there is place", 3, 10'000, { { "a", 0, 1, 2 } }, { "a" }, true, {} },
    { "full with the same workspace and priority", 3, 10'000, { { "a", 0, 1, 3 } }, { "a" }, false, {} },
    { "full of a lower priority", 3, 10'000, { { "a", 1, 1, 3 } }, { "b" }, true, { 2 } },
    { "full of a higher priority", 3, 10'000, { { "a", 0, 1, 3 } }, { "b", 1 }, false, {} },
    { "full of a workspace that sends ten times its usual", 3, 10'000, { { "a", 0, 1, 3 } }, { "b" }, true, { 2 } },
    { "full of several workspaces alike", 3, 10'000, { { "a" }, { "c" }, { "d" } }, { "b" }, false, {} },
    { "full by bytes", 10, 3'500, { { "a", 0, 1, 3 } }, { "b" }, true, { 2 } },
    { "larger than the queue", 10, 500, {}, { "b" }, false, {} },
    { "no place at all", 0, 10'000, {}, { "b" }, false, {} },
};

// Guards against a queue that grows without limit, and one that is filled by a single workspace.
TEST_CASE("a full queue makes place for higher priorities and for workspaces with fewer requests")
{
    for (const auto& row : fullCases) {
        CAPTURE(row.name);
        AdmissionQueue queue(row.maxRequests, row.maxBytes);
        fill(queue, row.waiting);
        const auto before = queue.size();
        const auto added = queue.add(makeRequest(row.next, 99'000), start);
        CHECK(added.isAdded == row.isAdded);
        std::vector<std::uint64_t> displaced;
        std::transform(added.displaced.begin(), added.displaced.end(), std::back_inserter(displaced), [](const auto& request) { return request.id; });
        CHECK(displaced == row.displaced);
        CHECK(queue.size() == before + (row.isAdded ? 1 : 0) - displaced.size());
        CHECK(queue.bytes() == 1'000 * queue.size());
    }
}

// Guards against a request that is held until its deadline although it can no longer be served.
TEST_CASE("a request that cannot be served any more leaves the queue at once")
{
    AdmissionQueue queue(512, 1'000'000);
    fill(queue, { { "a", 0, 500, 2, 0ms, 1'000ms }, { "a", 0, 500, 1, 0ms, 5'000ms } });
    CHECK(queue.takeExpired(start + 900ms).empty());
    CHECK(queue.takeExpired(start + 901ms).size() == 2);
    CHECK(queue.size() == 1);
    CHECK(queue.remove(1'000));
    CHECK_FALSE(queue.remove(1'000));
    CHECK(queue.size() == 0);
    CHECK(queue.bytes() == 0);
    CHECK(queue.services().empty());
    CHECK_FALSE(queue.take("s", start + 1s));
}

// Guards against a workspace that loses its turn because its servers had no room.
TEST_CASE("a request that is put back keeps its place")
{
    AdmissionQueue queue(512, 1'000'000);
    fill(queue, { { "a", 0, 3'000, 3 }, { "b", 0, 500, 1 } });
    for (int round = 0; round < 10; ++round) {
        const auto first = queue.take("s", start);
        REQUIRE(first);
        CHECK(first->id == 1'000);
        queue.putBack(*first, start);
        CHECK(queue.count("s") == 4);
    }
}

} // namespace
