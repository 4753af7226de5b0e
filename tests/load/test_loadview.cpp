#include "loadview.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = LoadView::TimePoint;

constexpr TimePoint start = TimePoint {} + 1h;

auto makeServer(const std::string& id, const std::string& service = "llm") -> BackendServer
{
    BackendServer server;
    server.id = id;
    server.pool = service;
    return server;
}

auto makeAnswer(std::int64_t open) -> LoadAnswer
{
    return { { { loadKeyOf("busy"), open, 900 }, { loadKeyOf("idle"), 1, 900 } }, { { "llm", 2.5, 40, 20 } }, { { "llm", "a", 3, 96, 50, 1'000, 4, 20 }, { "llm", "b", 1, 32, 5, 0, 0, 0 } } };
}

/** Age of the answered report, and the weight of the answer. */
struct WeightCase {
    std::chrono::milliseconds age;
    double weight;
};

const WeightCase weightCases[] = { { 0ms, 1 }, { 700ms, 1 }, { 1'350ms, 0.5 }, { 1'999ms, 0.00077 }, { 2s, 0 }, { 1h, 0 } };

// Guards against a view that stays when the leader or the link is gone: nodes would avoid servers that have long been idle.
TEST_CASE("an answer loses its weight with age")
{
    LoadView view("a");
    CHECK(view.weight(start) == 0);
    CHECK_FALSE(view.othersAt(makeServer("busy"), start).has_value());
    CHECK_FALSE(view.room("llm", "a", start).has_value());
    REQUIRE(view.answerReceived(makeAnswer(7), {}, start));
    for (const auto& row : weightCases) {
        CAPTURE(row.age.count());
        CHECK(view.weight(start + row.age) == doctest::Approx(row.weight).epsilon(0.01));
        const auto others = view.othersAt(makeServer("busy"), start + row.age);
        CHECK(others.has_value() == (row.weight > 0));
        CHECK(view.room("llm", "a", start + row.age).has_value() == (row.weight > 0));
        if (others)
            CHECK(others->weight == view.weight(start + row.age));
    }
}

/** An answer after the one to the report sent at \a start, which had 7 open requests. */
struct LateCase {
    const char* name;
    std::chrono::milliseconds reportSent; ///< Since \a start.
    bool isApplied;
    double openRequests;
};

const LateCase lateCases[] = {
    { "the answer to the next report", 500ms, true, 9 },
    { "the same answer twice", 0ms, false, 7 },
    { "the answer of a former leader to an earlier report", -500ms, false, 7 },
};

TEST_CASE("only the answer to the newest report counts")
{
    for (const auto& row : lateCases) {
        CAPTURE(row.name);
        LoadView view("a");
        REQUIRE(view.answerReceived(makeAnswer(7), {}, start));
        CHECK(view.answerReceived(makeAnswer(9), {}, start + row.reportSent) == row.isApplied);
        CHECK(view.othersAt(makeServer("busy"), start + 500ms)->openRequests == row.openRequests);
    }
}

/** A server and what is known of it. */
struct ServerCase {
    const char* id;
    const char* service;
    bool isKnown;
    double openRequests;
    double pendingPrefillTokens;
};

const ServerCase serverCases[] = {
    { "busy", "llm", true, 7, 900 },
    { "idle", "llm", true, 2.5, 900 }, // listed and less busy since
    { "other", "llm", true, 2.5, 40 }, // not listed
    { "other", "plain", false, 0, 0 },
};

// Guards against a server that all nodes turn to at once because it is the only one with a known low load.
TEST_CASE("no server has less than the mean load")
{
    LoadView view("a");
    REQUIRE(view.answerReceived(makeAnswer(7), {}, start));
    for (const auto& row : serverCases) {
        CAPTURE(row.id);
        CAPTURE(row.service);
        const auto others = view.othersAt(makeServer(row.id, row.service), start);
        REQUIRE(others.has_value() == row.isKnown);
        if (!others)
            continue;
        CHECK(others->openRequests == row.openRequests);
        CHECK(others->pendingPrefillTokens == row.pendingPrefillTokens);
        CHECK(others->reportedAt == start);
    }
}

TEST_CASE("the share of the demand is that of the requests in the node's own zone")
{
    LoadView view("a");
    REQUIRE(view.answerReceived(makeAnswer(7), { { "llm", 0, 5 } }, start));
    CHECK(view.demandShare("llm", start) == 0.25);
    CHECK(view.othersAt(makeServer("busy"), start)->othersPerOwn == 3);
    CHECK_FALSE(view.demandShare("plain", start).has_value());
    CHECK_FALSE(view.demandShare("llm", start + 2s).has_value());
    REQUIRE(view.answerReceived(makeAnswer(7), {}, start + 1s));
    CHECK(view.demandShare("llm", start + 1s) == 0.0);
    REQUIRE(view.answerReceived(makeAnswer(7), { { "llm", 0, 50 } }, start + 2s));
    CHECK(view.demandShare("llm", start + 2s) == 1.0);
    CHECK(view.room("llm", "b", start + 2s)->servers == 1);
}

} // namespace
