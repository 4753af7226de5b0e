#include "fleetcalls.h"
#include "httpclient.h"
#include "metadatastore.h"
#include "mutator.h"
#include "platformrunmover.h"
#include "scriptedserver.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

const Address serverAddress { "127.0.0.1", 18371 };
constexpr auto timeout = 100ms;
constexpr std::uint32_t seeds[] = { 1, 2 };
constexpr int inputsPerSeed = 1'500;

const std::vector<std::string> storeAnswers {
    R"({"items":[{"key":"own/a","value":"dmFsdWU=","revision":17},{"key":"own/b","value":"","revision":3}],"current-rev":18})",
    R"({"items":[{"key":"own/a","value":"dmFsdWU=","revision":17}],"current-rev":18,"more-pages":true})",
    R"({"events":[{"key":"own/a","value":"dmFsdWU=","revision":17},{"key":"own/b","revision":19,"tombstone":true}],"current-rev":19})",
    R"({"key":"own/a","value":"dmFsdWU=","revision":17})",
    R"({"revision":20})",
    R"({"lease":5})",
};

const std::vector<std::string> statuses { "200", "404", "409", "410", "412", "429", "503" };

/** A server that answers every call with an altered answer, and a client. */
struct Fixture {
    Fixture(std::uint32_t seed, std::vector<std::string> samples)
        : mutator(seed)
        , samples(std::move(samples))
        , server(loop, serverAddress, [this](const std::string&) { return this->makeAnswer(); })
    {
    }

    auto makeAnswer() -> ScriptedAnswer
    {
        const auto body = this->mutator.mutate(this->samples);
        const auto status = this->mutator.below(3) == 0 ? statuses[this->mutator.below(statuses.size())] : "200";
        const std::vector<std::string> whole { "HTTP/1.1 " + status + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body };
        // Altered framing may leave a call without an end but its timeout, so it is rare.
        if (this->mutator.below(20) == 0)
            return { this->mutator.mutate(whole), true };
        return { whole.front() };
    }

    auto run() -> bool
    {
        const auto end = EventLoop::now() + 5s;
        while (!this->isDone && EventLoop::now() < end)
            this->loop.runOnce();
        return std::exchange(this->isDone, false);
    }

    EventLoop loop;
    HttpClient client { loop };
    Mutator mutator;
    std::vector<std::string> samples;
    ScriptedServer server;
    bool isDone = false;
};

auto isSound(const StoreListing& listing) -> bool
{
    return listing.revision > 0 && std::all_of(listing.entries.begin(), listing.entries.end(), [](const StoreEntry& entry) { return !entry.key.empty() && entry.revision > 0; });
}

auto readStore(Fixture& fixture, MetadataStore& store) -> void
{
    const auto listed = [&fixture](std::error_code error, const StoreListing& listing) {
        fixture.isDone = true;
        CHECK((error || isSound(listing)));
    };
    switch (fixture.mutator.below(3)) {
    case 0:
        return store.get("own/a", [&fixture](std::error_code, const std::optional<StoreEntry>& entry) {
            fixture.isDone = true;
            CHECK((!entry || (!entry->key.empty() && entry->revision > 0)));
        });
    case 1:
        return store.list("own/", listed);
    default:
        return store.watch("own/", 5, 10ms, listed);
    }
}

auto writeStore(Fixture& fixture, MetadataStore& store) -> void
{
    if (fixture.mutator.below(2) == 0) {
        return store.grantLease(1s, [&fixture](std::error_code error, LeaseId lease) {
            fixture.isDone = true;
            CHECK((error || lease != 0));
        });
    }
    store.compareAndSwap({ "own/a", 3, "value", 0 }, [&fixture](std::error_code error, const StoreSwapResult& result) {
        fixture.isDone = true;
        CHECK((error || !result.isSwapped || result.current.revision > 0));
    });
}

TEST_CASE("a call to a store that answers with altered bytes ends once, with an error or a sound result")
{
    for (const auto seed : seeds) {
        CAPTURE(seed);
        Fixture fixture(seed, storeAnswers);
        MetadataStore store(fixture.client, serverAddress, timeout);
        for (int input = 0; input < inputsPerSeed; ++input) {
            if (fixture.mutator.below(2) == 0)
                readStore(fixture, store);
            else
                writeStore(fixture, store);
            REQUIRE(fixture.run());
        }
    }
}

TEST_CASE("a call to a fleet service that answers with altered bytes ends")
{
    Fixture fixture(1, { R"({"error":"stale"})", "" });
    PlatformFleet fleet(fixture.client, serverAddress, timeout);
    for (int input = 0; input < inputsPerSeed; ++input) {
        // The names come from other nodes' reports.
        const auto name = fixture.mutator.mutate(std::vector<std::string> { "salon" });
        fleet.reportUsage({ "node-1", 3 }, 17, { { name, 5 } }, [&fixture](std::error_code) { fixture.isDone = true; });
        REQUIRE(fixture.run());
        fleet.setEngineTarget({ "node-1", 3 }, { name, "a", true, 5 }, [&fixture](std::error_code) { fixture.isDone = true; });
        REQUIRE(fixture.run());
    }
}

TEST_CASE("a move that is answered with altered bytes ends, with a name that a header can carry if there is one")
{
    for (const auto seed : seeds) {
        CAPTURE(seed);
        Fixture fixture(seed, { R"({"handle":5,"created-rev":2})", R"({"handle":"h-17","created-rev":2})" });
        PlatformRunMover mover(fixture.client, timeout);
        for (int input = 0; input < inputsPerSeed; ++input) {
            const auto id = fixture.mutator.mutate(std::vector<std::string> { "9c41" });
            mover.move(serverAddress, id, { "127.0.0.1", 1 }, [&fixture](std::error_code error, const MoveResult& moved) {
                fixture.isDone = true;
                CHECK((error || moved.kvCacheSource.starts_with("127.0.0.1:18371/")));
                CHECK(std::none_of(moved.kvCacheSource.begin(), moved.kvCacheSource.end(), [](unsigned char letter) { return letter <= ' ' || letter == 0x7f; }));
            });
            REQUIRE(fixture.run());
        }
    }
}

} // namespace
