#include "gatewayfixture.h"
#include "messages.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <string>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int oldPort = 18321;
constexpr int newPort = 18322;
constexpr auto orderKey = "op/rollout/app";
constexpr auto statusKey = "status/rollout/app";
constexpr auto recordKey = "primrosefork/rollouts";

/** A node that leads, with a server of the version v1 and, once it is registered, one of v2. */
struct RolloutFixture : GatewayFixture {
    explicit RolloutFixture(bool isEnabled = true)
        : old(loop, { "127.0.0.1", oldPort }, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "old") }; })
        , next(loop, { "127.0.0.1", newPort }, [this](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, this->nextStatus, "new") }; })
    {
        if (isEnabled) {
            settings.bounds.exposureShare = 0.1;
            settings.bounds.exposureSlack = 50;
        }
        this->configure(1);
        this->registerVersion("i-1", "v1", oldPort, 1'000);
    }

    auto startLeading() -> void
    {
        REQUIRE(this->start());
        REQUIRE(this->runUntil([this] { return this->node->board().leadership.value().isOwn && (!this->settings.bounds.exposureShare || this->node->board().rollouts.value().isComplete); }));
    }

    auto registerVersion(const std::string& id, const std::string& version, int port, int born) -> void
    {
        this->registerServer(id, "app", port, "ready", R"(,"version":")" + version + R"(","born":)" + std::to_string(born));
    }

    auto order(const std::string& version, double seconds) -> void
    {
        this->platform.put(orderKey, R"({"backend":"app","to":")" + version + R"(","over-s":)" + std::to_string(seconds) + "}");
    }

    [[nodiscard]] auto stateOf(const std::string& version) const -> std::string
    {
        const auto json = nlohmann::json::parse(this->platform.valueOf(statusKey), nullptr, false);
        return json.is_object() && json.value("to", "") == version ? json.value("state", "") : "";
    }

    /** Sends requests, one each 10 ms, until \a done; returns whether it did so within \a limit. */
    auto sendUntil(const std::function<bool()>& done, std::chrono::milliseconds limit) -> bool
    {
        const auto end = EventLoop::now() + limit;
        while (!done() && EventLoop::now() < end) {
            const auto status = statusOf(this->sendRequest(GatewayFixture::makeRequest("/read/", "r" + std::to_string(++this->sent))));
            this->answered += status == 200 ? 1 : 0;
            this->runFor(10ms);
        }
        return done();
    }

    /** Returns the number of requests to the new version in the next \a time, while requests are sent. */
    auto newRequestsIn(std::chrono::milliseconds time) -> std::size_t
    {
        const auto before = this->next.requests.size();
        this->sendUntil([] { return false; }, time);
        return this->next.requests.size() - before;
    }

    int nextStatus = 200;
    int sent = 0;
    int answered = 0;
    ScriptedServer old;
    ScriptedServer next;
};

// Guards against a good version that is not completed before its deadline, and against exposure at its begin.
TEST_CASE("a good version gets a small share first, then everything, and is completed in time")
{
    RolloutFixture fixture;
    fixture.startLeading();
    fixture.order("v2", 12);
    const auto ordered = EventLoop::now();
    REQUIRE(fixture.sendUntil([&fixture] { return fixture.stateOf("v2") == "running"; }, 3s));
    fixture.registerVersion("i-2", "v2", newPort, 2'000);
    fixture.sendUntil([] { return false; }, 3s);
    CHECK_FALSE(fixture.next.requests.empty());
    CHECK(fixture.next.requests.size() < fixture.old.requests.size() / 2);
    CHECK(fixture.sendUntil([&fixture] { return fixture.stateOf("v2") == "completed"; }, 12s));
    CHECK(EventLoop::now() - ordered < 12s);
    const auto oldRequests = fixture.old.requests.size();
    CHECK(fixture.newRequestsIn(300ms) > 5);
    CHECK(fixture.old.requests.size() == oldRequests);
    CHECK(fixture.answered == fixture.sent);
}

// Guards against a bad version that goes on getting requests, and against callers that see its failures.
TEST_CASE("a bad version is rolled back, and gets nothing from then on")
{
    RolloutFixture fixture;
    fixture.nextStatus = 500;
    fixture.startLeading();
    fixture.order("v2", 20);
    fixture.registerVersion("i-2", "v2", newPort, 2'000);
    REQUIRE(fixture.sendUntil([&fixture] { return fixture.stateOf("v2") == "rolled_back"; }, 15s));
    CHECK(static_cast<double>(fixture.next.requests.size()) <= 0.1 * fixture.sent + 50);
    CHECK(fixture.newRequestsIn(1s) == 0);
    CHECK(fixture.answered == fixture.sent);
    SUBCASE("also when no other version is left")
    {
        fixture.platform.remove(registrationKey("i-1"));
        fixture.runFor(500ms);
        CHECK(fixture.newRequestsIn(500ms) == 0);
    }
    SUBCASE("until it is ordered again")
    {
        fixture.nextStatus = 200;
        fixture.order("v2", 30);
        CHECK(fixture.sendUntil([&fixture] { return fixture.stateOf("v2") == "running"; }, 3s));
        CHECK(fixture.newRequestsIn(3s) > 0);
    }
}

struct EndCase {
    const char* name;
    std::function<void(RolloutFixture&)> act;
    const char* version; ///< Version whose state is expected, with that state.
    const char* state;
    bool mayBeUsed; ///< Whether v2 gets requests afterwards.
};

const EndCase endCases[] = {
    { "withdrawn", [](RolloutFixture& fixture) { fixture.platform.remove(orderKey); }, "v2", "rolled_back", false },
    { "replaced", [](RolloutFixture& fixture) { fixture.order("v3", 60); }, "v3", "running", false },
    { "not readable", [](RolloutFixture& fixture) { fixture.platform.put(orderKey, R"({"backend":"app","to":7})"); }, "v2", "running", true },
    { "written again", [](RolloutFixture& fixture) { fixture.order("v2", 60); }, "v2", "running", true },
};

// Guards against orders whose change has no defined outcome.
TEST_CASE("an order that is changed ends or continues the roll-out")
{
    for (const auto& row : endCases) {
        CAPTURE(row.name);
        RolloutFixture fixture;
        fixture.startLeading();
        fixture.order("v2", 60);
        fixture.registerVersion("i-2", "v2", newPort, 2'000);
        REQUIRE(fixture.sendUntil([&fixture] { return !fixture.next.requests.empty(); }, 8s));
        row.act(fixture);
        fixture.sendUntil([] { return false; }, 1'500ms);
        CHECK(fixture.stateOf(row.version) == row.state);
        CHECK((fixture.newRequestsIn(2s) > 0) == row.mayBeUsed);
    }
}

// Guards against a roll-out that goes on forever because its servers never start.
TEST_CASE("a version without servers is rolled back at the deadline")
{
    RolloutFixture fixture;
    fixture.startLeading();
    fixture.order("v2", 2);
    REQUIRE(fixture.runUntil([&fixture] { return fixture.stateOf("v2") == "running"; }, 2s));
    CHECK(fixture.runUntil([&fixture] { return fixture.stateOf("v2") == "rolled_back"; }, 4s));
}

// Guards against requests that find no server because the old ones are gone.
TEST_CASE("requests go to the new version when no other is left")
{
    RolloutFixture fixture;
    fixture.startLeading();
    fixture.order("v2", 60);
    fixture.registerVersion("i-2", "v2", newPort, 2'000);
    fixture.sendUntil([] { return false; }, 2s);
    fixture.platform.remove(registrationKey("i-1"));
    fixture.runFor(500ms);
    CHECK(fixture.newRequestsIn(500ms) > 10);
    CHECK(fixture.answered == fixture.sent);
}

// Guards against a next leader that begins a roll-out again, or forgets that it was rolled back.
TEST_CASE("the next process goes on with the recorded step")
{
    RolloutFixture fixture;
    fixture.platform.put(orderKey, R"({"backend":"app","to":"v2","over-s":60})");
    const auto revision = fixture.platform.lastRevision();
    fixture.registerVersion("i-2", "v2", newPort, 2'000);
    const auto record = [&fixture, revision](const std::string& phase, double share) {
        fixture.platform.put(recordKey, nlohmann::json::array({ { { "service", "app" }, { "version", "v2" }, { "order", revision }, { "duration_ms", 60'000 }, { "left_ms", 30'000 }, { "step", 4 }, { "phase", phase }, { "share", share }, { "received", 1'000 }, { "sent", 40 } } }).dump());
    };
    SUBCASE("rolled back")
    {
        record("rolled back", 0);
        fixture.startLeading();
        CHECK(fixture.runUntil([&fixture] { return fixture.stateOf("v2") == "rolled_back"; }, 3s));
        CHECK(fixture.newRequestsIn(1s) == 0);
    }
    SUBCASE("raising")
    {
        record("observing", 0.5);
        fixture.startLeading();
        CHECK(fixture.runUntil([&fixture] { return fixture.stateOf("v2") == "running"; }, 3s));
        const auto& shares = fixture.node->board().rollouts.value().shares;
        REQUIRE(shares.size() == 1);
        CHECK(shares.front().step >= 4);
        CHECK(shares.front().left <= 30s);
        CHECK(fixture.newRequestsIn(1s) > 10);
    }
}

// Guards against a step that takes effect though the next leader would not know of it.
TEST_CASE("without the store a roll-out does not advance, and a bad version is stopped")
{
    RolloutFixture fixture;
    fixture.startLeading();
    fixture.order("v2", 60);
    fixture.registerVersion("i-2", "v2", newPort, 2'000);
    REQUIRE(fixture.sendUntil([&fixture] { return !fixture.next.requests.empty(); }, 8s));
    const auto step = fixture.node->board().rollouts.value().shares.front().step;
    fixture.platform.failureStatus = 503;
    fixture.nextStatus = 500;
    fixture.sendUntil([&fixture] { return fixture.node->board().rollouts.value().shares.front().share == 0; }, 2s);
    CHECK(fixture.node->board().rollouts.value().shares.front().step == step);
    const auto sentBefore = fixture.next.requests.size();
    fixture.platform.failureStatus = 0;
    CHECK(fixture.sendUntil([&fixture] { return fixture.stateOf("v2") == "rolled_back"; }, 10s));
    CHECK(fixture.next.requests.size() - sentBefore < 10);
}

// Guards against a copy of the store that brings an earlier step back.
TEST_CASE("a roll-out that was rolled back stays so when the store comes back from a copy")
{
    RolloutFixture fixture;
    fixture.nextStatus = 500;
    fixture.startLeading();
    fixture.order("v2", 60);
    fixture.registerVersion("i-2", "v2", newPort, 2'000);
    REQUIRE(fixture.sendUntil([&fixture] { return !fixture.next.requests.empty(); }, 8s));
    const auto copy = fixture.platform.backup();
    REQUIRE(fixture.sendUntil([&fixture] { return fixture.stateOf("v2") == "rolled_back"; }, 15s));
    fixture.platform.restore(copy);
    CHECK(fixture.runUntil([&fixture] { return fixture.stateOf("v2") == "rolled_back"; }, 10s));
    CHECK(fixture.newRequestsIn(2s) == 0);
}

// Guards against other behaviour than before where no bounds on the exposure are set.
TEST_CASE("without bounds on the exposure nothing is read, and all versions are used")
{
    RolloutFixture fixture(false);
    fixture.startLeading();
    fixture.order("v2", 60);
    fixture.registerVersion("i-2", "v2", newPort, 2'000);
    fixture.runFor(500ms);
    CHECK(fixture.newRequestsIn(1s) > 10);
    CHECK(fixture.platform.valueOf(statusKey).empty());
}

} // namespace
