#include "gatewayfixture.h"
#include "messages.h"

#include <doctest/doctest.h>
#include <optional>
#include <string>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int serverPort = 18321;
constexpr auto never = 1h;

/** A request around a planned stop, and what its caller gets. */
struct StopCase {
    enum class Arrival {
        BeforeStop, ///< The whole request arrives before the stop begins.
        DuringStop, ///< The request begins to arrive before the stop and is whole during it.
        Never, ///< The end of the request never arrives.
    };

    const char* name;
    const char* prefix;
    std::chrono::milliseconds grace;
    std::optional<std::chrono::milliseconds> earlierAnswer; ///< Time that the route's server took for a request before.
    std::chrono::milliseconds answer; ///< Time that it takes for this one.
    Arrival arrival;
    std::chrono::milliseconds arrivalTime; ///< Time from the start of the stop until the request is whole.
    const char* deadline; ///< In milliseconds, as the caller states it.
    int status;
    std::size_t requests; ///< Number of requests that the server gets, beside the one before.
};

using Arrival = StopCase::Arrival;

const StopCase stopCases[] = {
    { "late, on a route that answers quickly", "/once/", 1'500ms, 10ms, 10ms, Arrival::DuringStop, 1s, "3000", 200, 1 },
    { "late, on a route that answers slowly", "/once/", 1'500ms, 600ms, 600ms, Arrival::DuringStop, 1s, "3000", 503, 0 },
    { "late, may be repeated, on a route that answers slowly", "/read/", 1'500ms, 600ms, 600ms, Arrival::DuringStop, 1s, "3000", 503, 0 },
    { "late, on a route that has not answered before", "/once/", 1'500ms, {}, 600ms, Arrival::DuringStop, 1s, "3000", 503, 0 },
    { "late, a stream that has not been asked for before", "/stream/", 1'500ms, {}, 600ms, Arrival::DuringStop, 1s, "3000", 503, 0 },
    { "early, on a route that answers slowly", "/once/", 3'000ms, 200ms, 200ms, Arrival::DuringStop, 100ms, "3000", 200, 1 },
    { "late, with a deadline before the end", "/once/", 1'500ms, {}, 10ms, Arrival::DuringStop, 1s, "1150", 200, 1 },
    { "late, on a quick route whose server is silent now", "/once/", 1'500ms, 10ms, never, Arrival::DuringStop, 1s, "3000", 504, 1 },
    { "late, may be repeated, on a quick route whose server is silent now", "/read/", 1'500ms, 10ms, never, Arrival::DuringStop, 1s, "3000", 504, 1 },
    { "before the stop, answered in time", "/once/", 1'500ms, {}, 600ms, Arrival::BeforeStop, 0ms, "3000", 200, 1 },
    { "before the stop, not answered in time", "/once/", 1'500ms, {}, never, Arrival::BeforeStop, 0ms, "3000", 504, 1 },
    { "not whole at the end", "/once/", 1'500ms, 10ms, 10ms, Arrival::Never, 0ms, "3000", 503, 0 },
    { "in a short grace, on a route that has not answered before", "/once/", 300ms, {}, 600ms, Arrival::DuringStop, 50ms, "3000", 503, 0 },
    { "in a short grace, on a route that answers slowly", "/once/", 300ms, 100ms, 100ms, Arrival::DuringStop, 50ms, "3000", 503, 0 },
    { "in a short grace, on a route that answers quickly", "/once/", 500ms, 5ms, 5ms, Arrival::DuringStop, 50ms, "3000", 200, 1 },
    { "before a stop with a short grace, not answered in time", "/once/", 300ms, {}, never, Arrival::BeforeStop, 0ms, "3000", 504, 1 },
    { "in a grace that is shorter than an answer takes to write", "/once/", 100ms, 5ms, 5ms, Arrival::DuringStop, 20ms, "3000", 503, 0 },
};

auto withDeadline(std::string request, const std::string& deadline) -> std::string
{
    const std::string line("X-Deadline-Ms: 3000");
    return request.replace(request.find(line), line.size(), "X-Deadline-Ms: " + deadline);
}

struct StopFixture : GatewayFixture {
    explicit StopFixture(const StopCase& row)
        : server(loop, { "127.0.0.1", serverPort }, [this](const std::string& request) -> ScriptedAnswer {
            return { .bytes = "", .later = { { this->answerTime, answerTo(request, 200, "hello") } } };
        })
    {
        this->settings.bounds.stopGrace = row.grace;
        this->configure(1);
        this->registerServer("i-1", std::string(row.prefix) == "/stream/" ? "llm" : "app", serverPort);
        REQUIRE(this->start());
        if (row.earlierAnswer) {
            this->answerTime = *row.earlierAnswer;
            REQUIRE(statusOf(this->sendRequest(GatewayFixture::makeRequest(row.prefix, "r0"))) == 200);
        }
        this->answerTime = row.answer;
        this->server.requests.clear();
    }

    /** Waits for the end of the stop, and ends the node as its process would. */
    auto finishStop(std::chrono::milliseconds grace) -> bool
    {
        const auto hasStopped = this->runUntil([this] { return this->node->board().lifecycle.value() == Lifecycle::Stopped; }, grace + 2s);
        this->node.reset();
        this->runFor(50ms);
        return hasStopped;
    }

    std::chrono::milliseconds answerTime = 0ms;
    ScriptedServer server;
};

// Guards against requests that are taken late in a planned stop and cut off without an answer at its end.
TEST_CASE("a planned stop refuses what it can't answer in time and answers everything else")
{
    for (const auto& row : stopCases) {
        CAPTURE(std::string(row.name));
        StopFixture fixture(row);
        RawCaller caller(fixture.loop, fixture.settings.callers);
        const auto request = withDeadline(GatewayFixture::makeRequest(row.prefix, "r1"), row.deadline);
        const auto sent = row.arrival == Arrival::BeforeStop ? request.size() : request.size() - 2;
        caller.send(request.substr(0, sent));
        fixture.runFor(50ms);
        fixture.node->requestStop("test");
        const auto begin = EventLoop::now();
        if (row.arrival == Arrival::DuringStop) {
            fixture.runFor(row.arrivalTime);
            caller.send(request.substr(sent));
        }
        CHECK(fixture.finishStop(row.grace));
        CHECK(EventLoop::now() - begin < row.grace + 50ms);
        CHECK(statusOf(caller.received) == row.status);
        CHECK(isCompleteAnswer(caller.received));
        CHECK(caller.isClosed);
        CHECK(headerOf(caller.received, "Connection") == "close");
        CHECK(headerOf(caller.received, "Retry-After").empty() == (row.status != 503));
        CHECK(fixture.server.requests.size() == row.requests);
    }
}

TEST_CASE("a stream that is still open at the end of a planned stop is broken off")
{
    const StopCase row { "a stream", "/stream/", 1'500ms, {}, never, Arrival::BeforeStop, 0ms, "3000", 200, 1 };
    StopFixture fixture(row);
    RawCaller caller(fixture.loop, fixture.settings.callers);
    caller.send(GatewayFixture::makeRequest(row.prefix, "r1"));
    REQUIRE(fixture.runUntil([&] { return fixture.server.requests.size() == 1; }));
    fixture.server.sendToAll(streamHead(fixture.server.requests.front(), "") + chunk("id: 1\ndata: a\n\n"));
    REQUIRE(fixture.runUntil([&] { return caller.received.find("data: a") != std::string::npos; }));
    fixture.node->requestStop("test");
    CHECK(fixture.finishStop(row.grace));
    CHECK(caller.isClosed);
    CHECK_FALSE(isCompleteAnswer(caller.received));
}

} // namespace
