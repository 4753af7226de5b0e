#include "errors.h"
#include "httpclient.h"
#include "metadatastore.h"
#include "scriptedserver.h"
#include "storestandin.h"

#include <doctest/doctest.h>
#include <optional>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

const Address storeAddress { "127.0.0.1", 18301 };
const Address fleetAddress { "127.0.0.1", 18302 };
constexpr auto timeout = 500ms;

/** Runs the loop until \a done returns true, for at most five seconds; returns whether it did. */
template <typename Done>
auto runUntil(EventLoop& loop, const Done& done) -> bool
{
    const auto end = EventLoop::now() + 5s;
    while (!done() && EventLoop::now() < end)
        loop.runOnce();
    return done();
}

struct Fixture {
    EventLoop loop;
    HttpClient client { loop };
    StoreStandIn standIn { loop, storeAddress, fleetAddress };
    MetadataStore store { client, storeAddress, timeout };

    auto get(const std::string& key) -> std::optional<StoreEntry>
    {
        std::optional<StoreEntry> result;
        bool isDone = false;
        this->store.get(key, [&](std::error_code, const std::optional<StoreEntry>& entry) {
            result = entry;
            isDone = true;
        });
        REQUIRE(runUntil(this->loop, [&] { return isDone; }));
        return result;
    }

    auto list(const std::string& prefix) -> StoreListing
    {
        StoreListing result;
        bool isDone = false;
        this->store.list(prefix, [&](std::error_code error, const StoreListing& listing) {
            CHECK_FALSE(error);
            result = listing;
            isDone = true;
        });
        REQUIRE(runUntil(this->loop, [&] { return isDone; }));
        return result;
    }

    auto swap(const StoreSwap& request, std::error_code& error) -> StoreSwapResult
    {
        StoreSwapResult result;
        bool isDone = false;
        this->store.compareAndSwap(request, [&](std::error_code code, const StoreSwapResult& outcome) {
            error = code;
            result = outcome;
            isDone = true;
        });
        REQUIRE(runUntil(this->loop, [&] { return isDone; }));
        return result;
    }
};

TEST_CASE("a value of arbitrary bytes is read back unchanged")
{
    Fixture fixture;
    const std::string value("\x00\xff\"\n", 4);
    std::error_code error;
    const auto written = fixture.swap({ "own/a", 0, value, 0 }, error);
    CHECK_FALSE(error);
    CHECK(written.isSwapped);
    const auto entry = fixture.get("own/a");
    REQUIRE(entry.has_value());
    CHECK(entry->value == value);
    CHECK(entry->revision == written.current.revision);
    CHECK_FALSE(fixture.get("own/b").has_value());
}

TEST_CASE("a listing includes the entries of all pages")
{
    Fixture fixture;
    fixture.standIn.pageSize = 3;
    for (int index = 0; index < 10; ++index)
        fixture.standIn.put("own/" + std::to_string(index), "v");
    CHECK(fixture.list("own/").entries.size() == 10);
}

TEST_CASE("a listing whose pages do not advance fails")
{
    EventLoop loop;
    HttpClient client(loop);
    MetadataStore store(client, storeAddress, timeout);
    const std::string body = R"({"items":[{"key":"own/a","value":"dg==","revision":3}],"current-rev":3,"more-pages":true})";
    const ScriptedServer server(loop, storeAddress, [&body](const std::string&) -> ScriptedAnswer {
        return { "HTTP/1.1 200 X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
    });
    std::optional<std::error_code> result;
    store.list("own/", [&result](std::error_code error, const StoreListing&) { result = error; });
    REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
    CHECK(*result == Error::BadAnswer);
    CHECK(server.requests.size() == 2);
}

TEST_CASE("a write with a wrong expected revision changes nothing")
{
    Fixture fixture;
    fixture.standIn.put("own/a", "theirs");
    std::error_code error;
    const auto result = fixture.swap({ "own/a", 0, "ours", 0 }, error);
    CHECK_FALSE(error);
    CHECK_FALSE(result.isSwapped);
    CHECK(result.current.value == "theirs");
}

TEST_CASE("a write whose answer is lost takes effect and reports an error other than a conflict")
{
    Fixture fixture;
    fixture.standIn.dropsWriteAnswers = true;
    std::error_code error;
    static_cast<void>(fixture.swap({ "own/a", 0, "ours", 0 }, error));
    CHECK(error);
    CHECK(error != Error::Conflict);
    CHECK(fixture.standIn.valueOf("own/a") == "ours");
}

TEST_CASE("a watch reports a deletion")
{
    Fixture fixture;
    fixture.standIn.put("own/a", "1");
    const auto revision = fixture.list("own/").revision;
    std::optional<StoreListing> reported;
    fixture.store.watch("own/", revision, 1s, [&](std::error_code error, const StoreListing& listing) {
        CHECK_FALSE(error);
        reported = listing;
    });
    fixture.loop.runOnce();
    fixture.standIn.remove("own/a");
    REQUIRE(runUntil(fixture.loop, [&] { return reported.has_value(); }));
    REQUIRE(reported->entries.size() == 1);
    CHECK(reported->entries.front().isDeleted);
}

TEST_CASE("a watch from a revision before the kept history reports lost history")
{
    Fixture fixture;
    fixture.standIn.put("own/a", "1");
    fixture.standIn.dropHistory();
    std::optional<std::error_code> result;
    fixture.store.watch("own/", 1, 1s, [&](std::error_code error, const StoreListing&) { result = error; });
    REQUIRE(runUntil(fixture.loop, [&] { return result.has_value(); }));
    CHECK(*result == Error::HistoryLost);
}

struct FailureCase {
    const char* name;
    int status;
};

const FailureCase failureCases[] = {
    { "unavailable", 503 },
    { "rate limit exceeded", 429 },
};

TEST_CASE("a rejected call is reported as unavailable")
{
    for (const auto& row : failureCases) {
        CAPTURE(row.name);
        Fixture fixture;
        fixture.standIn.failureStatus = row.status;
        std::error_code error;
        static_cast<void>(fixture.swap({ "own/a", 0, "v", 0 }, error));
        CHECK(error == Error::Unavailable);
    }
}

/** Returns the result of \a begin, which starts a call with a handler of its error. */
template <typename Begin>
auto errorOf(EventLoop& loop, const Begin& begin) -> std::error_code
{
    std::optional<std::error_code> result;
    begin([&result](std::error_code error) { result = error; });
    REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
    return *result;
}

// Guards against revisions, writes and leases of before that are taken for those of the store after a restoration.
TEST_CASE("nothing of an earlier epoch of the store is mistaken for the present one")
{
    for (const bool isKnown : { true, false }) {
        CAPTURE(isKnown);
        Fixture fixture;
        std::error_code error;
        static_cast<void>(fixture.get("own/a"));
        const auto backup = fixture.standIn.backup();
        LeaseId lease = 0;
        fixture.store.grantLease(1s, [&lease](std::error_code, LeaseId granted) { lease = granted; });
        REQUIRE(runUntil(fixture.loop, [&lease] { return lease != 0; }));
        const auto before = fixture.swap({ "own/a", 0, "before", 0 }, error);
        REQUIRE(before.isSwapped);
        fixture.standIn.restore(backup);
        // Another node gets the same revision for the same key.
        fixture.standIn.put("own/a", "after");
        if (isKnown)
            CHECK(fixture.get("own/a")->revision > before.current.revision);
        const auto watched = errorOf(fixture.loop, [&](const auto& done) {
            fixture.store.watch("own/", before.current.revision, 200ms, [done](std::error_code code, const StoreListing&) { done(code); });
        });
        CHECK(watched == Error::HistoryLost);
        const auto swapped = fixture.swap({ "own/a", before.current.revision, "overwritten", 0 }, error);
        CHECK_FALSE(swapped.isSwapped);
        CHECK(fixture.standIn.valueOf("own/a") == "after");
        CHECK(errorOf(fixture.loop, [&](const auto& done) { fixture.store.renewLease(lease, done); }) == Error::NotFound);
        const auto created = fixture.swap({ "own/b", 0, "new", 0 }, error);
        CHECK(created.isSwapped);
        CHECK(epochOf(created.current.revision) == 1);
        CHECK(fixture.list("own/").revision >= created.current.revision);
        CHECK(fixture.store.currentEpoch() == 1);
    }
}

TEST_CASE("a lease with the number of an earlier epoch is not renewed for its holder")
{
    Fixture fixture;
    static_cast<void>(fixture.get("own/a"));
    const auto backup = fixture.standIn.backup();
    std::vector<LeaseId> leases;
    const auto grant = [&](KeyValueStore& store) {
        const auto count = leases.size();
        store.grantLease(1s, [&leases](std::error_code, LeaseId granted) { leases.push_back(granted); });
        REQUIRE(runUntil(fixture.loop, [&] { return leases.size() > count; }));
    };
    grant(fixture.store);
    fixture.standIn.restore(backup);
    MetadataStore other(fixture.client, storeAddress, timeout);
    grant(other);
    REQUIRE(leases[0] == leases[1]);
    CHECK(errorOf(fixture.loop, [&](const auto& done) { fixture.store.renewLease(leases[0], done); }) == Error::NotFound);
    CHECK_FALSE(errorOf(fixture.loop, [&](const auto& done) { other.renewLease(leases[1], done); }));
}

struct EpochCase {
    const char* name;
    std::string header; ///< Header line of the second answer; the first one states epoch 3.
    bool isAccepted;
};

const EpochCase epochCases[] = {
    { "the same epoch", "Store-Era: 3\r\n", true },
    { "a later epoch", "Store-Era: 4\r\n", true },
    { "an earlier epoch", "Store-Era: 2\r\n", false },
    { "no epoch", "", false },
    { "text", "Store-Era: three\r\n", false },
    { "a negative number", "Store-Era: -3\r\n", false },
    { "a number beyond the range", "Store-Era: 99999999999\r\n", false },
};

TEST_CASE("an answer of an earlier epoch, or without a readable one, is not believed")
{
    for (const auto& row : epochCases) {
        CAPTURE(row.name);
        EventLoop loop;
        HttpClient client { loop };
        std::string header = "Store-Era: 3\r\n";
        const ScriptedServer server(loop, storeAddress, [&header](const std::string&) -> ScriptedAnswer {
            const std::string body = R"({"key":"own/a","value":"eA==","revision":7,"current-rev":7})";
            std::string answer = "HTTP/1.1 200 X\r\n";
            answer += header;
            answer += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            return { answer };
        });
        MetadataStore store { client, storeAddress, timeout };
        const auto read = [&] {
            return errorOf(loop, [&](const auto& done) { store.get("own/a", [done](std::error_code code, const std::optional<StoreEntry>&) { done(code); }); });
        };
        REQUIRE_FALSE(read());
        header = row.header;
        CHECK(!read() == row.isAccepted);
    }
}

} // namespace
