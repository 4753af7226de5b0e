#include "admissioncontroller.h"

#include "eventlog.h"
#include "metrics.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using Outcome = RoomDecision::Outcome;

const AdmissionController::TimePoint start { 1h };

/** A room that is known until a set time. */
struct FakeRoom : RoomSource {
    [[nodiscard]] auto room(const std::string&, const std::string&, TimePoint now) const -> std::optional<ZoneRoom> override { return now < this->until ? std::optional(this->value) : std::nullopt; }
    [[nodiscard]] auto demandShare(const std::string&, TimePoint now) const -> std::optional<double> override { return now < this->until ? std::optional(0.1) : std::nullopt; }

    ZoneRoom value;
    TimePoint until;
};

/** A controller of one of three nodes, before two plain servers with 6 slots whose calls take 100 ms. */
struct ControllerFixture {
    ControllerFixture(bool isEnabled, int measuredAnswers)
    {
        this->settings.zone = "a";
        this->settings.admission.enabled = isEnabled;
        this->controller = std::make_unique<AdmissionController>(this->settings, this->policy, this->metrics, this->log, [](std::uint64_t, std::chrono::milliseconds) {});
        this->service.name = "app";
        for (auto* server : { &this->first, &this->second }) {
            server->id = server == &this->first ? "i-1" : "i-2";
            server->pool = "app";
            server->kind = BackendKind::Plain;
            server->zone = "a";
            server->slots = 6;
        }
        this->controller->setServers({ { "app", { &this->first, &this->second } } });
        this->controller->setNodeCount(3);
        for (int answer = 0; answer < measuredAnswers; ++answer) {
            const auto request = this->makeRequest(1'000, 5s);
            this->controller->attemptBegan(request, start - 200ms);
            this->controller->attemptEnded(request, AttemptEnd::Finished, start - 100ms);
        }
        this->room = {};
        this->room.value = { "app", "a", 2, 12, 0, 0, 0, 50 };
    }

    auto makeRequest(std::uint64_t id, std::chrono::milliseconds left) -> ForwardRequest
    {
        ForwardRequest request;
        request.id = id;
        request.service = &this->service;
        request.route = &this->route;
        request.received = start;
        request.deadline = start + left;
        return request;
    }

    /** Returns how many servers may get a new request at \a now. */
    auto serversWithRoom(std::uint64_t id, AdmissionController::TimePoint now) -> std::size_t
    {
        AdmissionController::Candidates candidates { &this->first, &this->second };
        this->controller->restrict(this->makeRequest(id, 5s), candidates, now);
        return candidates.size();
    }

    GatewaySettings settings;
    CacheAwarePolicy policy { 1 };
    Metrics metrics;
    EventLog log { "error" };
    BackendServer first;
    BackendServer second;
    TrafficService service;
    TrafficRoute route;
    FakeRoom room;
    std::unique_ptr<AdmissionController> controller;
};

struct RoomCase {
    const char* name;
    bool isEnabled;
    int measuredAnswers;
    std::int64_t ownOpen; ///< Open requests of this node.
    std::optional<std::int64_t> reportedOpen; ///< Open requests of all nodes in the leader's answer.
    std::chrono::milliseconds age; ///< Time since the leader's answer; it is known for 2 s.
    int fullServers; ///< Servers that refused a request as full 10 ms ago.
    std::size_t withRoom; ///< Servers that may get the request.
};

const RoomCase roomCases[] = {
    { "off, everything full", false, 20, 20, 24, 0ms, 2, 2 },
    { "nothing measured, everything full", true, 0, 20, 24, 0ms, 2, 2 },
    { "the leader's answer has ample room", true, 20, 20, 4, 0ms, 0, 2 },
    { "a plain service under double load, by the leader's answer", true, 20, 3, 24, 0ms, 0, 0 },
    { "the same, a node without open requests", true, 20, 0, 24, 0ms, 0, 2 },
    { "the same, one server full", true, 20, 0, 24, 0ms, 1, 1 },
    { "leader away, no server is known to be full", true, 20, 20, 24, 2s, 0, 2 },
    { "leader away, both servers full", true, 20, 0, 24, 2s, 2, 0 },
    { "leader away, one server full, beyond an equal share", true, 20, 20, 24, 2s, 1, 0 },
    { "leader away, one server full, within an equal share", true, 20, 0, 24, 2s, 1, 1 },
    { "never an answer of a leader", true, 20, 20, {}, 0ms, 0, 2 },
};

// Guards against requests that are held or refused on a guess, and against a stale answer of the leader that keeps callers waiting.
TEST_CASE("a request is kept from servers only where they are known to have no room for this node")
{
    for (const auto& row : roomCases) {
        CAPTURE(row.name);
        ControllerFixture fixture(row.isEnabled, row.measuredAnswers);
        if (row.reportedOpen) {
            fixture.room.value.openRequests = *row.reportedOpen;
            fixture.room.until = start + 2s - row.age;
            fixture.controller->setRoomSource(&fixture.room);
        }
        for (std::int64_t open = 0; open < row.ownOpen; ++open)
            fixture.controller->attemptBegan(fixture.makeRequest(static_cast<std::uint64_t>(open) + 1, 5s), start);
        if (row.fullServers > 0)
            fixture.controller->serverFull(fixture.first, start - 10ms);
        if (row.fullServers > 1)
            fixture.controller->serverFull(fixture.second, start - 10ms);
        CHECK(fixture.serversWithRoom(500, start) == row.withRoom);
    }
}

struct DivisionCase {
    const char* name;
    std::size_t nodes;
    bool isFirstFull; ///< Whether one server has just refused a request as full.
    std::size_t withRoom;
};

const DivisionCase divisionCases[] = {
    { "four slots for each node", 3, false, 0 },
    { "fewer, by the leader's answer all are taken", 10, false, 2 },
    { "fewer, one server full", 10, true, 1 },
};

// Guards against callers that wait or are refused at a few servers' service while slots are idle, since no node's part holds a request.
TEST_CASE("the slots of a service are not shared out when there are few for each node")
{
    for (const auto& row : divisionCases) {
        CAPTURE(row.name);
        ControllerFixture fixture(true, 20);
        fixture.controller->setNodeCount(row.nodes);
        fixture.room.value.openRequests = 24;
        fixture.room.until = start + 2s;
        fixture.controller->setRoomSource(&fixture.room);
        for (std::uint64_t open = 1; open <= 3; ++open)
            fixture.controller->attemptBegan(fixture.makeRequest(open, 5s), start);
        if (row.isFirstFull)
            fixture.controller->serverFull(fixture.first, start - 10ms);
        CHECK(fixture.serversWithRoom(500, start) == row.withRoom);
    }
}

struct HoldCase {
    const char* name;
    int measuredAnswers;
    int waiting; ///< Requests that wait already.
    std::chrono::milliseconds left; ///< Until the deadline.
    Outcome expected;
};

const HoldCase holdCases[] = {
    { "nothing measured", 0, 0, 5s, Outcome::NotHeld },
    { "enough time", 20, 0, 5s, Outcome::Held },
    { "too late for any answer", 20, 0, 50ms, Outcome::Refused },
    { "its turn comes in time", 20, 20, 5s, Outcome::Held },
    { "its turn comes too late", 20, 400, 1s, Outcome::Refused },
};

// Guards against callers that wait for what cannot come, and against refusals of what can.
TEST_CASE("a request waits if it can be served before its deadline, and is refused at once otherwise")
{
    for (const auto& row : holdCases) {
        CAPTURE(row.name);
        ControllerFixture fixture(true, row.measuredAnswers);
        const AdmissionController::Candidates servers { &fixture.first, &fixture.second };
        for (int waiting = 0; waiting < row.waiting; ++waiting)
            REQUIRE(fixture.controller->hold(fixture.makeRequest(static_cast<std::uint64_t>(waiting) + 1, 60s), servers, start).outcome == Outcome::Held);
        const auto decision = fixture.controller->hold(fixture.makeRequest(900, row.left), servers, start);
        CHECK(decision.outcome == row.expected);
        CHECK((decision.retryAfter > 0ms) == (row.expected == Outcome::Refused));
        CHECK(decision.retryAfter <= row.left / 3);
        CHECK(fixture.controller->isHeld(900) == (row.expected == Outcome::Held));
        // Without any suitable server, room is not what the request lacks.
        CHECK(fixture.controller->hold(fixture.makeRequest(901, row.left), {}, start).outcome == Outcome::NotHeld);
    }
}

// Guards against a new request that overtakes those that wait.
TEST_CASE("while requests wait, a new one does not overtake them")
{
    ControllerFixture fixture(true, 20);
    static_cast<void>(fixture.controller->hold(fixture.makeRequest(1, 5s), { &fixture.first }, start));
    CHECK(fixture.serversWithRoom(2, start) == 0);
    std::vector<std::uint64_t> tried;
    std::size_t roomOfWaiting = 0;
    fixture.controller->advance([&](std::uint64_t id) {
        tried.push_back(id);
        roomOfWaiting = fixture.serversWithRoom(id, start);
        return AdmissionController::Attempt::Started;
    },
        start);
    CHECK(tried == std::vector<std::uint64_t> { 1 });
    CHECK(roomOfWaiting == 2);
    CHECK(fixture.serversWithRoom(2, start) == 2);
    CHECK(fixture.controller->heldCount() == 0);
}

} // namespace
