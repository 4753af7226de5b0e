#include "errors.h"
#include "httpclient.h"
#include "metadatastore.h"
#include "scriptedserver.h"
#include "storestandin.h"

#include <doctest/doctest.h>
#include <optional>

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

} // namespace
