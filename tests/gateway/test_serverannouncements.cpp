#include "gatewayfixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 18321;
constexpr int secondPort = 18322;
constexpr auto leaving = "Server-Leaving: 1\r\n";
constexpr auto notRun = "X-Not-Executed: 1\r\n";
constexpr auto atOnce = 250ms; ///< Longest time for an answer that waits for nothing.

using Script = ScriptedServer::Script;

auto statusOf(const std::string& answer) -> int
{
    constexpr std::size_t statusPosition = 9;
    return answer.size() > statusPosition ? std::stoi(answer.substr(statusPosition)) : 0;
}

auto succeeds(const std::string& request) -> ScriptedAnswer
{
    return { GatewayFixture::answerTo(request, 200, "hello") };
}

/** Returns a script that answers each request with \a status and the header lines \a more. */
auto answers(int status, const std::string& more) -> Script
{
    return [status, more](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, status, "hello", more) }; };
}

/** Returns a script that answers the first request like \a first and the others with success. */
auto onceThenSucceeds(Script first) -> Script
{
    return [first = std::move(first), isFirst = true](const std::string& request) mutable { return std::exchange(isFirst, false) ? first(request) : succeeds(request); };
}

/** A node with one server that announces something; another server can be added. */
struct AnnouncementFixture : GatewayFixture {
    explicit AnnouncementFixture(Script first, const std::string& service = "app")
        : service(service)
        , firstServer(loop, { "127.0.0.1", firstPort }, std::move(first))
    {
        this->configure(1);
        this->registerServer("i-1", service, firstPort, "ready", R"(,"born":1000)");
        REQUIRE(this->start());
    }

    auto addSecondServer(Script script) -> void
    {
        this->secondServer = std::make_unique<ScriptedServer>(this->loop, Address { "127.0.0.1", secondPort }, std::move(script));
        this->registerServer("i-2", this->service, secondPort);
        REQUIRE(this->runUntil([this] { return this->node->board().backendServers.value().contains("i-2"); }));
    }

    /** Registers the first server again in \a state and waits until the node knows that. */
    auto registerAgain(const std::string& id, const std::string& state, const std::string& more) -> void
    {
        this->registerServer(id, this->service, firstPort, state, more);
        const auto wanted = state == "ready" ? InstanceState::Live : InstanceState::Leaving;
        REQUIRE(this->runUntil([&] {
            const auto& servers = this->node->board().backendServers.value();
            const auto found = servers.find(id);
            return found != servers.end() && found->second.state == wanted && (more.empty() || ",\"born\":" + std::to_string(found->second.startedAt) == more);
        }));
    }

    auto send(const std::string& more = "", const std::string& prefix = "/read/") -> std::string
    {
        return this->sendRequest(GatewayFixture::makeRequest(prefix, "r" + std::to_string(++this->sent), more));
    }

    std::string service;
    ScriptedServer firstServer;
    std::unique_ptr<ScriptedServer> secondServer;
    int sent = 0;
};

struct LeavingCase {
    const char* name;
    int status; ///< Status of the answer that says that the server leaves.
    const char* more; ///< Its header lines.
    bool isOut; ///< Whether the server gets nothing after it.
};

const LeavingCase leavingCases[] = {
    { "in a success", 200, "Server-Leaving: 1\r\n", true },
    { "in a failure", 500, "Server-Leaving: 1\r\n", true },
    { "in a refusal", 503, "Server-Leaving: 1\r\nX-Not-Executed: 1\r\n", true },
    { "in a refusal that does not say whether the request ran", 503, "Server-Leaving: 1\r\n", true },
    { "in a refusal for too many requests", 429, "Server-Leaving: 1\r\nX-Not-Executed: 1\r\n", true },
    { "in one of several headers", 200, "Server-Leaving: 0\r\nServer-Leaving: 1\r\n", true },
    { "not, with another value", 200, "Server-Leaving: 0\r\n", false },
    { "not, with an empty value", 200, "Server-Leaving: \r\n", false },
};

TEST_CASE("a server that says that it leaves gets no more requests, whatever the status of that answer")
{
    for (const auto& row : leavingCases) {
        CAPTURE(row.name);
        AnnouncementFixture fixture(onceThenSucceeds(answers(row.status, row.more)));
        static_cast<void>(fixture.send());
        REQUIRE(fixture.firstServer.requests.size() == 1);
        fixture.addSecondServer(succeeds);
        for (int index = 0; index < 20; ++index)
            CHECK(statusOf(fixture.send()) == 200);
        CHECK((fixture.firstServer.requests.size() == 1) == row.isOut);
    }
}

struct RegistrationCase {
    const char* name;
    const char* id;
    const char* more;
    bool isDrainingFirst; ///< Whether the store says at first that the server drains.
    bool isUsed; ///< Whether the server registered last gets requests.
};

const RegistrationCase registrationCases[] = {
    { "the registration stays as it is", "i-1", R"(,"born":1000)", false, false },
    { "the registration is ready again after draining", "i-1", R"(,"born":1000)", true, false },
    { "the same id with a newer start time", "i-1", R"(,"born":2000)", false, true },
    { "another id at the same address", "i-3", R"(,"born":1000)", false, true },
};

TEST_CASE("a server that says that it leaves stays out until a newer server is registered")
{
    for (const auto& row : registrationCases) {
        CAPTURE(row.name);
        AnnouncementFixture fixture(onceThenSucceeds(answers(200, leaving)));
        CHECK(statusOf(fixture.send()) == 200);
        if (row.isDrainingFirst)
            fixture.registerAgain(row.id, "draining", row.more);
        fixture.registerAgain(row.id, "ready", row.more);
        const auto answer = fixture.send();
        CHECK(statusOf(answer) == (row.isUsed ? 200 : 503));
        CHECK(fixture.firstServer.requests.size() == (row.isUsed ? 2 : 1));
    }
}

TEST_CASE("an answer by another server at the address leaves out the server that was asked for a second only")
{
    AnnouncementFixture fixture(onceThenSucceeds(answers(421, std::string(leaving) + "Retry-After: 5\r\n")));
    CHECK(statusOf(fixture.send()) == 503);
    CHECK(statusOf(fixture.send()) == 503);
    CHECK(fixture.firstServer.requests.size() == 1);
    fixture.runFor(1'100ms);
    CHECK(statusOf(fixture.send()) == 200);
}

auto streamHead(const std::string& request, const std::string& more) -> std::string
{
    return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n" + more
        + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

constexpr auto twoEvents = "1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n";
constexpr auto lastEvent = "f\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n";

struct StreamCase {
    const char* name;
    const char* tokenCounts; ///< Tokens of the prompt and largest number of tokens of the answer.
    bool isMoved;
    std::chrono::milliseconds limit; ///< Time within which the move is asked for; a stream that ends soon sends its last event then.
};

const StreamCase streamCases[] = {
    { "a long stream is moved", "100,9000", true, 1s },
    { "a stream that ends soon is finished", "100,3", false, 400ms },
};

TEST_CASE("a stream whose head says that its engine leaves is finished there in time or moved")
{
    for (const auto& row : streamCases) {
        CAPTURE(row.name);
        AnnouncementFixture fixture(
            [](const std::string& request) -> ScriptedAnswer {
                if (request.starts_with("POST /kv-move "))
                    return { "HTTP/1.1 200 X\r\nContent-Length: 12\r\n\r\n{\"handle\":5}" };
                return { streamHead(request, leaving) + twoEvents };
            },
            "llm");
        RawCaller caller(fixture.loop, fixture.settings.callers);
        caller.send(GatewayFixture::makeRequest("/stream/", "s1", std::string("X-Token-Counts: ") + row.tokenCounts + "\r\n"));
        REQUIRE(fixture.runUntil([&] { return caller.received.find("data: b") != std::string::npos; }));
        fixture.addSecondServer([](const std::string& request) -> ScriptedAnswer { return { streamHead(request, "") + lastEvent }; });
        const auto& requests = fixture.firstServer.requests;
        const auto isMoveAsked = fixture.runUntil([&] { return requests.back().starts_with("POST /kv-move "); }, row.limit);
        CHECK(isMoveAsked == row.isMoved);
        if (row.isMoved) {
            fixture.runFor(50ms);
            fixture.firstServer.closeAll();
        } else {
            fixture.firstServer.sendToAll(lastEvent);
        }
        CHECK(fixture.runUntil([&] { return caller.received.ends_with("0\r\n\r\n"); }, 1s));
        CHECK(caller.received.find("data: c") != std::string::npos);
        CHECK(fixture.secondServer->requests.size() == (row.isMoved ? 1 : 0));
    }
}

TEST_CASE("another server is used while one has asked for a pause, and both afterwards")
{
    AnnouncementFixture fixture(onceThenSucceeds(answers(503, std::string(notRun) + "Retry-After: 1.2\r\n")));
    static_cast<void>(fixture.send());
    const auto end = EventLoop::now() + 1'200ms;
    fixture.addSecondServer(succeeds);
    while (EventLoop::now() < end - 100ms) {
        CHECK(statusOf(fixture.send()) == 200);
        fixture.runFor(10ms);
    }
    CHECK(fixture.firstServer.requests.size() == 1);
    fixture.runFor(200ms);
    for (int index = 0; index < 20; ++index)
        CHECK(statusOf(fixture.send()) == 200);
    CHECK(fixture.firstServer.requests.size() > 1);
}

TEST_CASE("callers are refused at once with the time left, spread over a range, while the only server has asked for a pause")
{
    AnnouncementFixture fixture(onceThenSucceeds(answers(503, std::string(notRun) + "Retry-After: 1.5\r\n")));
    std::set<std::int64_t> returnTimes; // In steps of 20 ms after the end of the pause.
    auto begin = EventLoop::now();
    const auto first = fixture.send();
    const auto end = begin + 1'500ms; // Earlier than the true end by the time that the first request took.
    CHECK(EventLoop::now() - begin < atOnce);
    CHECK(statusOf(first) == 503);
    CHECK(std::stod(headerOf(first, "Retry-After")) >= 1.4);
    while (EventLoop::now() < end - 200ms) {
        begin = EventLoop::now();
        const auto answer = fixture.send();
        const auto now = EventLoop::now();
        CHECK(now - begin < atOnce);
        REQUIRE(statusOf(answer) == 503);
        const std::chrono::duration<double> delay(std::stod(headerOf(answer, "Retry-After")));
        CHECK(delay >= end - now);
        CHECK(delay <= end - begin + 1'200ms);
        returnTimes.insert((now - end + std::chrono::duration_cast<std::chrono::milliseconds>(delay)) / 20ms);
        fixture.runFor(50ms);
    }
    CHECK(returnTimes.size() > 5);
    CHECK(fixture.firstServer.requests.size() == 1);
    fixture.runFor(300ms);
    CHECK(statusOf(fixture.send()) == 200);
}

TEST_CASE("of many requests at one moment none reaches the server after the first half second of its pause")
{
    constexpr std::size_t count = 20;
    AnnouncementFixture fixture(answers(503, std::string(notRun) + "Retry-After: 1.5\r\n"));
    const auto begin = EventLoop::now();
    std::size_t requestsBefore = 0;
    while (EventLoop::now() - begin < 1'300ms) {
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (std::size_t index = 0; index < count; ++index) {
            callers.push_back(std::make_unique<RawCaller>(fixture.loop, fixture.settings.callers));
            callers.back()->send(GatewayFixture::makeRequest("/read/", "m" + std::to_string(++fixture.sent)));
        }
        CHECK(fixture.runUntil([&] { return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return statusOf(caller->received) == 503; }); }, atOnce));
        if (EventLoop::now() - begin < 500ms)
            requestsBefore = fixture.firstServer.requests.size();
    }
    CHECK(requestsBefore >= 1);
    CHECK(requestsBefore <= count);
    CHECK(fixture.firstServer.requests.size() == requestsBefore);
}

TEST_CASE("the state dump lists the servers that are left out, with the reason and the time left")
{
    AnnouncementFixture fixture(answers(503, std::string(notRun) + "Retry-After: 2\r\n"));
    fixture.addSecondServer(answers(200, leaving));
    static_cast<void>(fixture.send());
    static_cast<void>(fixture.send());
    CHECK(statusOf(fixture.send()) == 503);
    nlohmann::json state;
    fixture.client.fetch(fixture.settings.operators, { "GET", "/state", "", {}, "" }, {},
        [&state](std::error_code, const HttpResponse& response) { state = nlohmann::json::parse(response.body, nullptr, false); });
    REQUIRE(fixture.runUntil([&] { return state.is_object(); }));
    const auto& list = state["requests"]["servers_left_out"];
    REQUIRE(list.size() == 2);
    CHECK(list[0]["backend"] == "i-1");
    CHECK(list[0]["reason"] == "paused");
    CHECK(list[0]["left_ms"] > 1'000);
    CHECK(list[0]["left_ms"] <= 2'000);
    CHECK(list[1]["backend"] == "i-2");
    CHECK(list[1]["reason"] == "leaving");
    CHECK(list[1]["left_ms"].is_null());
}

struct PauseCase {
    const char* name;
    int status;
    const char* more; ///< Header lines of the answer, besides the statement that the request was not run.
    double pause; ///< Pause in seconds that follows; 0 for none.
};

const PauseCase pauseCases[] = {
    { "a whole number", 503, "Retry-After: 2\r\n", 2 },
    { "a fraction", 503, "Retry-After: 0.75\r\n", 0.75 },
    { "several headers", 503, "Retry-After: 1\r\nRetry-After: 3\r\nRetry-After: 2\r\n", 3 },
    { "several headers, of which one is unreadable", 503, "Retry-After: soon\r\nRetry-After: 2\r\n", 2 },
    { "a day", 503, "Retry-After: 86400\r\n", 600 },
    { "a huge number", 503, "Retry-After: 1e99\r\n", 600 },
    { "zero", 503, "Retry-After: 0\r\n", 0 },
    { "a negative number", 503, "Retry-After: -5\r\n", 0 },
    { "text", 503, "Retry-After: soon\r\n", 0 },
    { "a date", 503, "Retry-After: Wed, 21 Oct 2026 07:28:00 GMT\r\n", 0 },
    { "an empty value", 503, "Retry-After: \r\n", 0 },
    { "not a number", 503, "Retry-After: nan\r\n", 0 },
    { "infinity", 503, "Retry-After: inf\r\n", 0 },
    { "a number beyond the range", 503, "Retry-After: 1e999\r\n", 0 },
    { "a list", 503, "Retry-After: 1, 2\r\n", 0 },
    { "another status", 429, "Retry-After: 2\r\n", 0 },
    { "a success", 200, "Retry-After: 2\r\n", 0 },
};

TEST_CASE("a server is left out for the time of a 503 only, and for none that makes no sense")
{
    for (const auto& row : pauseCases) {
        CAPTURE(row.name);
        AnnouncementFixture fixture(onceThenSucceeds(answers(row.status, (row.status == 200 ? "" : notRun) + std::string(row.more))));
        static_cast<void>(fixture.send());
        const auto answer = fixture.send();
        CHECK(fixture.firstServer.requests.size() == (row.pause > 0 ? 1 : 2));
        CHECK(statusOf(answer) == (row.pause > 0 ? 503 : 200));
        if (row.pause > 0) {
            CHECK(std::stod(headerOf(answer, "Retry-After")) >= row.pause - 0.3);
            CHECK(std::stod(headerOf(answer, "Retry-After")) <= row.pause + 1.1);
        }
    }
}

} // namespace
