#include "bookingclient.h"
#include "cluster.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

/** Returns options for a cluster of \a nodes nodes whose plain services take \a workingTime for each call. */
auto optionsOf(std::size_t nodes, std::chrono::milliseconds workingTime = 1ms) -> ClusterOptions
{
    ClusterOptions options;
    options.nodes = nodes;
    options.plainService = { { "working_ms", workingTime.count() } };
    return options;
}

TEST_CASE("a call repeated with the same key through another node is answered and not run again")
{
    Cluster cluster(optionsOf(3));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);

    const auto first = bookings.confirm(0, "k1", R"({"chair":1})");
    const auto second = bookings.confirm(1, "k1", R"({"chair":1})");

    CHECK(first.status == 200);
    CHECK(first.execution == "run");
    CHECK_FALSE(first.isReplayed);
    CHECK(second.status == 200);
    CHECK(second.body == first.body);
    CHECK(second.isReplayed);
    CHECK(bookings.runCount("k1") == 1);
}

TEST_CASE("concurrent calls with the same key through several nodes are run once")
{
    Cluster cluster(optionsOf(3, 200ms));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);

    const auto answers = bookings.confirmConcurrently({ 0, 1, 2, 0, 1, 2 }, "k1", R"({"chair":1})");

    for (const auto& answer : answers) {
        CHECK(answer.status == 200);
        CHECK(answer.body == answers.front().body);
    }
    CHECK(bookings.runCount("k1") == 1);
}

TEST_CASE("a key reused with another body is refused and the call is not run")
{
    Cluster cluster(optionsOf(2));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    REQUIRE(bookings.confirm(0, "k1", R"({"chair":1})").status == 200);

    const auto other = bookings.confirm(1, "k1", R"({"chair":2})");

    CHECK(other.status == 409);
    CHECK(other.error == "key_reused");
    CHECK(bookings.runCount("k1") == 1);
}

TEST_CASE("a call is refused and not sent while the store is down")
{
    Cluster cluster(optionsOf(1));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    cluster.control(cluster.keyValueService(), { { "down", true } });

    const auto refused = bookings.confirm(0, "k1", R"({"chair":1})");

    CHECK(refused.status == 503);
    CHECK(refused.error == "claims_unavailable");
    CHECK(refused.execution == "not run");
    CHECK(bookings.runCount("k1") == 0);
}

TEST_CASE("a call refused because the store was too slow can be repeated with the same key")
{
    Cluster cluster(optionsOf(2));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    REQUIRE(bookings.confirm(0, "warm", "{}").status == 200);
    cluster.control(cluster.keyValueService(), { { "delay_ms", 3'000 } });

    const auto refused = bookings.confirm(0, "k1", R"({"chair":1})");
    const auto runsMeanwhile = bookings.runCount("k1");
    cluster.control(cluster.keyValueService(), { { "delay_ms", 0 } });
    bookings.setRepeated(true);
    const auto isAnswered = cluster.client().waitUntil([&bookings] { return bookings.confirm(1, "k1", R"({"chair":1})").status == 200; }, 30s);

    CHECK(refused.error == "claims_unavailable");
    CHECK(refused.execution == "not run");
    CHECK(runsMeanwhile == 0);
    CHECK(isAnswered);
    CHECK(bookings.runCount("k1") == 1);
}

TEST_CASE("a claim whose write reply was lost is read back and the call is run once")
{
    Cluster cluster(optionsOf(2));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    REQUIRE(bookings.confirm(0, "warm", "{}").status == 200);
    const auto before = cluster.control(cluster.keyValueService(), { { "lost_replies", 1 } });

    const auto first = bookings.confirm(0, "k1", R"({"chair":1})");
    const auto second = bookings.confirm(1, "k1", R"({"chair":1})");
    const auto after = cluster.control(cluster.keyValueService(), Json::object());

    CHECK(first.status == 200);
    CHECK(second.body == first.body);
    CHECK(after["reads"] > before["reads"]);
    CHECK(bookings.runCount("k1") == 1);
}

TEST_CASE("an outcome whose write reply was lost is replayed to a repeated call")
{
    Cluster cluster(optionsOf(2, 300ms));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    const auto answer = bookings.begin(0, "k1", R"({"chair":1})");
    REQUIRE(cluster.client().waitUntil([&bookings] { return bookings.runCount("k1") == 1; }, 5s));
    cluster.control(cluster.keyValueService(), { { "lost_replies", 1 } });

    REQUIRE(bookings.waitFor(*answer));
    const auto second = bookings.confirm(1, "k1", R"({"chair":1})");

    CHECK(answer->status == 200);
    CHECK(second.body == answer->body);
    CHECK(bookings.runCount("k1") == 1);
}

TEST_CASE("a key can be used through another node after a node was killed before its claim was written")
{
    Cluster cluster(optionsOf(2));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    const auto before = cluster.control(cluster.keyValueService(), { { "silent", true } })["waiting_watches"].get<std::int64_t>();
    const auto lost = bookings.begin(0, "k1", R"({"chair":1})");
    const auto hasArrived = [&cluster, before] {
        return cluster.control(cluster.keyValueService(), Json::object())["waiting_watches"].get<std::int64_t>() > before;
    };
    REQUIRE(cluster.client().waitUntil(hasArrived, 5s));

    cluster.node(0).sendSignal(SIGKILL);
    cluster.control(cluster.keyValueService(), { { "silent", false } });
    bookings.setRepeated(true);
    const auto second = bookings.confirm(1, "k1", R"({"chair":1})");

    CHECK(second.status == 200);
    CHECK(bookings.runCount("k1") == 1);
}

TEST_CASE("a call has unknown execution and is not run after its node was killed between claim and send")
{
    Cluster cluster(optionsOf(2));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    bookings.setDeadline(2s);
    REQUIRE(bookings.confirm(0, "warm", "{}").status == 200);
    const auto before = cluster.control(cluster.keyValueService(), { { "reply_delay_ms", 1'500 } })["writes"].get<std::int64_t>();
    const auto lost = bookings.begin(0, "k1", R"({"chair":1})");
    const auto isClaimed = [&cluster, before] {
        return cluster.control(cluster.keyValueService(), Json::object())["writes"].get<std::int64_t>() > before;
    };
    REQUIRE(cluster.client().waitUntil(isClaimed, 5s));

    cluster.node(0).sendSignal(SIGKILL);
    cluster.control(cluster.keyValueService(), { { "reply_delay_ms", 0 } });
    bookings.setRepeated(true);
    const auto second = bookings.confirm(1, "k1", R"({"chair":1})");

    CHECK(second.execution == "unknown");
    CHECK(bookings.runCount("k1") == 0);
}

TEST_CASE("a call is not run again after its node was killed while the call was in flight")
{
    Cluster cluster(optionsOf(2, 1'000ms));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    bookings.setDeadline(3s);
    const auto lost = bookings.begin(0, "k1", R"({"chair":1})");
    REQUIRE(cluster.client().waitUntil([&bookings] { return bookings.runCount("k1") == 1; }, 5s));

    cluster.node(0).sendSignal(SIGKILL);
    bookings.setRepeated(true);
    const auto second = bookings.confirm(1, "k1", R"({"chair":1})");

    CHECK(second.execution == "unknown");
    CHECK(bookings.runCount("k1") == 1);
}

TEST_CASE("a caller that disconnected gets the outcome when it repeats the call through another node")
{
    // The call takes longer than a stopping node accepts new connections.
    Cluster cluster(optionsOf(2, 3'500ms));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    const auto lost = bookings.begin(0, "k1", R"({"chair":1})");
    REQUIRE(cluster.client().waitUntil([&bookings] { return bookings.runCount("k1") == 1; }, 5s));

    bookings.cancelAll();
    cluster.node(0).sendSignal(SIGTERM);
    bookings.setRepeated(true);
    const auto second = bookings.confirm(1, "k1", R"({"chair":1})");

    CHECK(second.status == 200);
    CHECK(second.isReplayed);
    CHECK(bookings.runCount("k1") == 1);
    CHECK(cluster.node(0).waitForExit(30s) == 0);
}

TEST_CASE("a node that was paused past the deadline does not send the call after it resumes")
{
    Cluster cluster(optionsOf(2));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    REQUIRE(bookings.confirm(0, "warm", "{}").status == 200);
    const auto before = cluster.control(cluster.keyValueService(), { { "reply_delay_ms", 1'000 } })["writes"].get<std::int64_t>();
    constexpr auto transferTime = 500ms; // The node counts the deadline from the arrival of the call.
    bookings.setDeadline(2s);
    const auto deadline = EventLoop::now() + 2s + transferTime;
    const auto paused = bookings.begin(0, "k1", R"({"chair":1})");
    const auto isClaimed = [&cluster, before] {
        return cluster.control(cluster.keyValueService(), Json::object())["writes"].get<std::int64_t>() > before;
    };
    REQUIRE(cluster.client().waitUntil(isClaimed, 1s));

    cluster.node(0).sendSignal(SIGSTOP);
    cluster.control(cluster.keyValueService(), { { "reply_delay_ms", 0 } });
    REQUIRE(cluster.client().waitUntil([deadline] { return EventLoop::now() > deadline; }, 5s));
    cluster.node(0).sendSignal(SIGCONT);
    REQUIRE(bookings.waitFor(*paused));

    CHECK(paused->execution == "not run");
    CHECK(bookings.runCount("k1") == 0);
    bookings.setRepeated(true);
    CHECK(bookings.confirm(1, "k1", R"({"chair":1})").status == 200);
    CHECK(bookings.runCount("k1") == 1);
}

TEST_CASE("a store connection that stops answering delays a call by one timeout and does not fail it")
{
    Cluster cluster(optionsOf(1));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    REQUIRE(bookings.confirm(0, "warm", "{}").status == 200);
    const auto before = cluster.control(cluster.keyValueService(), { { "silent", true } })["waiting_watches"].get<std::int64_t>();
    const auto answer = bookings.begin(0, "k1", R"({"chair":1})");
    const auto hasArrived = [&cluster, before] {
        return cluster.control(cluster.keyValueService(), Json::object())["waiting_watches"].get<std::int64_t>() > before;
    };
    REQUIRE(cluster.client().waitUntil(hasArrived, 5s));

    cluster.control(cluster.keyValueService(), { { "silent", false } });
    REQUIRE(bookings.waitFor(*answer));

    CHECK(answer->status == 200);
    CHECK(answer->elapsed < 3s);
    CHECK(bookings.runCount("k1") == 1);
}

TEST_CASE("a key is remembered for its retention and forgotten within 3 s after it")
{
    auto options = optionsOf(2);
    options.settings = { { "claims", { { "retention", "2s" } } } };
    Cluster cluster(options);
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    const auto begun = EventLoop::now();
    REQUIRE(bookings.confirm(0, "k1", R"({"chair":1})").status == 200);

    const auto isRunAgain = [&bookings] { return !bookings.confirm(1, "k1", R"({"chair":1})").isReplayed; };
    REQUIRE(cluster.client().waitUntil(isRunAgain, 20s));
    const auto remembered = EventLoop::now() - begun;

    CHECK(remembered >= 2s);
    CHECK(remembered < 5s);
    CHECK(bookings.runCount("k1") == 2);
}

TEST_CASE("a repeated call is refused with unknown execution while the store is down")
{
    Cluster cluster(optionsOf(2));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    REQUIRE(bookings.confirm(0, "k1", R"({"chair":1})").status == 200);
    cluster.control(cluster.keyValueService(), { { "down", true } });

    bookings.setRepeated(true);
    const auto second = bookings.confirm(1, "k1", R"({"chair":1})");

    CHECK(second.error == "claims_unavailable");
    CHECK(second.execution == "unknown");
    CHECK(bookings.runCount("k1") == 1);
}

struct ServiceFaultCase {
    const char* name;
    const char* fault; ///< Body of the control request to each plain service.
    std::int64_t runs; ///< Expected number of runs of the call.
};

const ServiceFaultCase serviceFaultCases[] = {
    { "the call is run and the connection closed without an answer", R"({"lost_replies":1})", 1 },
    { "the call is discarded and the connection stays open", R"({"silent":true})", 0 },
    { "the answer is discarded and the connection stays open", R"({"swallow_answers":true})", 1 },
};

TEST_CASE("a call without an answer has unknown execution, also when it is repeated")
{
    for (const auto& row : serviceFaultCases) {
        CAPTURE(std::string(row.name));
        Cluster cluster(optionsOf(2));
        REQUIRE(cluster.start());
        BookingClient bookings(cluster);
        bookings.setDeadline(2s);
        for (std::size_t index = 0; index < cluster.plainServiceCount(); ++index)
            cluster.control(cluster.plainServiceAddress(index), Json::parse(row.fault));

        const auto begun = EventLoop::now();
        const auto first = bookings.confirm(0, "k1", R"({"chair":1})");
        const auto elapsed = EventLoop::now() - begun;
        for (std::size_t index = 0; index < cluster.plainServiceCount(); ++index)
            cluster.control(cluster.plainServiceAddress(index), { { "lost_replies", 0 }, { "silent", false }, { "swallow_answers", false } });
        bookings.setRepeated(true);
        const auto second = bookings.confirm(1, "k1", R"({"chair":1})");

        CHECK(first.execution == "unknown");
        CHECK(elapsed < 3s);
        CHECK(second.execution == "unknown");
        CHECK(bookings.runCount("k1") == row.runs);
    }
}

TEST_CASE("a call that reached no service is not run and can be repeated with the same key")
{
    Cluster cluster(optionsOf(2));
    REQUIRE(cluster.start());
    BookingClient bookings(cluster);
    const auto list = Json::array({ { { "id", "plain-0" }, { "state", "leaving" } }, { { "id", "plain-1" }, { "state", "leaving" } } });
    cluster.control(cluster.instanceList(), { { "put", list } });
    bookings.setDeadline(2s);
    const auto isRefused = [&bookings, count = 0]() mutable { return bookings.confirm(0, "probe-" + std::to_string(count++), "{}").status == 503; };
    REQUIRE(cluster.client().waitUntil(isRefused, 10s));

    const auto refused = bookings.confirm(0, "k1", R"({"chair":1})");
    const auto back = Json::array({ { { "id", "plain-0" }, { "state", "live" } }, { { "id", "plain-1" }, { "state", "live" } } });
    cluster.control(cluster.instanceList(), { { "put", back } });
    bookings.setRepeated(true);
    const auto isAnswered = cluster.client().waitUntil([&bookings] { return bookings.confirm(1, "k1", R"({"chair":1})").status == 200; }, 10s);

    CHECK(refused.execution == "not run");
    CHECK(isAnswered);
    CHECK(bookings.runCount("k1") == 1);
}

} // namespace
