#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 18321;
constexpr int secondPort = 18322;

using Script = ScriptedServer::Script;

/** A node with one or two servers of one service. */
struct ForwardingFixture : GatewayFixture {
    ForwardingFixture(const std::string& service, Script first, Script second = {})
        : firstServer(loop, { "127.0.0.1", firstPort }, std::move(first))
    {
        this->configure(1);
        this->registerServer("i-1", service, firstPort);
        if (second) {
            this->secondServer = std::make_unique<ScriptedServer>(loop, Address { "127.0.0.1", secondPort }, std::move(second));
            this->registerServer("i-2", service, secondPort);
        }
        REQUIRE(this->start());
    }

    [[nodiscard]] auto requestCount() const -> std::size_t { return this->firstServer.requests.size() + (this->secondServer ? this->secondServer->requests.size() : 0); }

    ScriptedServer firstServer;
    std::unique_ptr<ScriptedServer> secondServer;
};

auto statusOf(const std::string& answer) -> std::string
{
    return answer.substr(0, std::string("HTTP/1.1 200").size());
}

auto succeeds(const std::string& request) -> ScriptedAnswer
{
    return { GatewayFixture::answerTo(request, 200, "hello") };
}

auto refuses(const std::string&) -> ScriptedAnswer
{
    return { "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
}

auto fails(const std::string& request) -> ScriptedAnswer
{
    return { GatewayFixture::answerTo(request, 500, "no") };
}

auto losesAnswer(const std::string&) -> ScriptedAnswer
{
    return { "", true };
}

auto truncates(const std::string& request) -> ScriptedAnswer
{
    const auto whole = GatewayFixture::answerTo(request, 200, "hello");
    return { whole.substr(0, whole.size() - 2), true };
}

auto omitsSeal(const std::string& request) -> ScriptedAnswer
{
    return { "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nContent-Length: 5\r\n\r\nhello" };
}

auto sendsGarbage(const std::string&) -> ScriptedAnswer
{
    return { "these bytes are no answer\r\n\r\n", true };
}

auto encodesAnswer(const std::string& request) -> ScriptedAnswer
{
    return { GatewayFixture::answerTo(request, 200, "hello", "Content-Encoding: gzip\r\n") };
}

auto answersAsOtherServer(const std::string&) -> ScriptedAnswer
{
    return { "HTTP/1.1 421 X\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n" };
}

auto omitsLength(const std::string& request) -> ScriptedAnswer
{
    return { "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n\r\nhello", true };
}

struct OutcomeCase {
    const char* name;
    const char* prefix;
    Script first;
    const char* status;
    std::size_t requestCount; ///< Number of requests that the only server gets.
};

constexpr std::size_t tooLong = 9'437'184; ///< Size in bytes above what a node buffers of an answer.

auto sendsTooMuch(const std::string& request) -> ScriptedAnswer
{
    return { GatewayFixture::answerTo(request, 200, std::string(tooLong, 'x')) };
}

/** Begins an event that has no end, and goes on with nothing. */
auto sendsEndlessEvent(const std::string& request) -> ScriptedAnswer
{
    return { "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id")
        + "\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n900000\r\n" + std::string(tooLong, 'x') + "\r\n" };
}

const OutcomeCase outcomeCases[] = {
    { "a call that must not be repeated succeeds", "/once/", succeeds, "HTTP/1.1 200", 1 },
    { "the server refuses the call, so it was not executed", "/once/", refuses, "HTTP/1.1 503", 1 },
    { "another server answers at the address, so the call was not executed", "/once/", answersAsOtherServer, "HTTP/1.1 503", 1 },
    { "the server answers with an error", "/once/", fails, "HTTP/1.1 500", 1 },
    { "the answer is lost, so the call may have been executed", "/once/", losesAnswer, "HTTP/1.1 502", 1 },
    { "the answer is truncated", "/once/", truncates, "HTTP/1.1 502", 1 },
    { "a success without its seal", "/once/", omitsSeal, "HTTP/1.1 502", 1 },
    { "the answer is not valid HTTP", "/once/", sendsGarbage, "HTTP/1.1 502", 1 },
    { "the answer has a content encoding", "/once/", encodesAnswer, "HTTP/1.1 502", 1 },
    { "the answer is longer than a node buffers", "/once/", sendsTooMuch, "HTTP/1.1 502", 1 },
    { "an event is longer than a node buffers", "/once/", sendsEndlessEvent, "HTTP/1.1 502", 1 },
    { "the end of the connection ends the answer", "/once/", omitsLength, "HTTP/1.1 200", 1 },
};

TEST_CASE("the status of the answer depends on whether the server may have executed the request")
{
    for (const auto& row : outcomeCases) {
        CAPTURE(row.name);
        ForwardingFixture fixture("app", row.first);
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "r1"));
        CHECK(statusOf(answer) == row.status);
        CHECK(fixture.requestCount() == row.requestCount);
        const auto isRefusal = statusOf(answer) == "HTTP/1.1 503";
        CHECK(headerOf(answer, "Retry-After").empty() != isRefusal);
    }
}

TEST_CASE("the state dump shows a request whose id is not UTF-8")
{
    ForwardingFixture fixture("app", [](const std::string&) -> ScriptedAnswer { return { "HTTP/1.1 100 X\r\n\r\n" }; });
    RawCaller caller(fixture.loop, fixture.settings.callers);
    caller.send(GatewayFixture::makeRequest("/once/", "r\xff"));
    REQUIRE(fixture.runUntil([&fixture] { return fixture.requestCount() == 1; }));
    std::string state;
    fixture.client.fetch(fixture.settings.operators, { "GET", "/state", "", {}, "" }, {}, [&state](std::error_code, const HttpResponse& response) { state = response.body; });
    REQUIRE(fixture.runUntil([&state] { return !state.empty(); }));
    CHECK(state.find("r\xef\xbf\xbd") != std::string::npos);
}

struct RepeatCase {
    const char* name;
    const char* prefix;
    Script bad; ///< Answer to the first request, at whichever server gets it; later ones succeed.
    const char* status;
    std::size_t requestCount; ///< Number of requests that both servers get together.
};

const RepeatCase repeatCases[] = {
    { "an idempotent call after a lost answer", "/read/", losesAnswer, "HTTP/1.1 200", 2 },
    { "an idempotent call after a failure", "/read/", fails, "HTTP/1.1 200", 2 },
    { "an idempotent call after a truncated answer", "/read/", truncates, "HTTP/1.1 200", 2 },
    { "a call that was not executed", "/once/", refuses, "HTTP/1.1 200", 2 },
    { "a call that may have been executed", "/once/", losesAnswer, "HTTP/1.1 502", 1 },
    { "a call that failed", "/once/", fails, "HTTP/1.1 500", 1 },
};

TEST_CASE("a request is retried on another server only when it may be executed there")
{
    for (const auto& row : repeatCases) {
        CAPTURE(row.name);
        auto isFirst = std::make_shared<bool>(true);
        const Script script = [isFirst, bad = row.bad](const std::string& request) { return std::exchange(*isFirst, false) ? bad(request) : succeeds(request); };
        ForwardingFixture fixture("app", script, script);
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "r1"));
        CHECK(statusOf(answer) == row.status);
        CHECK(fixture.requestCount() == row.requestCount);
    }
}

TEST_CASE("an answer to another request is discarded")
{
    const auto script = [](const std::string& request) -> ScriptedAnswer {
        return { "HTTP/1.1 200 X\r\nX-Attempt-Id: stranger\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong" + GatewayFixture::answerTo(request, 200, "right") };
    };
    ForwardingFixture fixture("app", script);
    const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/once/", "r1"));
    CHECK(answer.ends_with("right"));
}

TEST_CASE("bytes after a complete answer are not passed to a later request")
{
    const auto script = [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "right") + "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nextra" }; };
    ForwardingFixture fixture("app", script);
    for (const auto* id : { "r1", "r2", "r3" }) {
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/once/", id));
        CHECK(answer.ends_with("right"));
        CHECK(headerOf(answer, "X-Attempt-Id") == id);
    }
}

TEST_CASE("a server gets the request unchanged, without the credential and hop-by-hop headers")
{
    ForwardingFixture fixture("app", succeeds);
    static_cast<void>(fixture.sendRequest(GatewayFixture::makeRequest("/once/", "r1", "X-Own: kept\r\nX-Tenant: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n")));
    REQUIRE(fixture.firstServer.requests.size() == 1);
    const auto& request = fixture.firstServer.requests.front();
    CHECK(request.starts_with("POST /once/x HTTP/1.1\r\n"));
    CHECK(request.ends_with("\r\n\r\nbody"));
    CHECK(headerOf(request, "X-Own") == "kept");
    CHECK(headerOf(request, "X-Tenant") == "salon");
    CHECK(headerOf(request, "X-Expect-Instance") == "i-1");
    CHECK(headerOf(request, "X-Hop").empty());
    CHECK(headerOf(request, "Authorization").empty());
    CHECK(std::stoi(headerOf(request, "X-Deadline-Ms")) <= 3'000);
    CHECK(std::stoi(headerOf(request, "X-Deadline-Ms")) > 2'500);
}

constexpr auto streamHead = "X-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

auto chunk(const std::string& text) -> std::string
{
    std::array<char, 16> size {};
    static_cast<void>(std::snprintf(size.data(), size.size(), "%zx\r\n", text.size()));
    return size.data() + text + "\r\n";
}

auto beginStream(const std::string& request) -> std::string
{
    return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\n" + streamHead;
}

auto wholeStream(const std::string& request) -> ScriptedAnswer
{
    return { beginStream(request) + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" };
}

/** Sends two events and a part of the third, then closes the connection. */
auto brokenStream(const std::string& request) -> ScriptedAnswer
{
    return { beginStream(request) + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\nid: 3\nda"), true };
}

/** Sends the events after the last one that the caller has received. */
auto restOfStream(const std::string& request) -> ScriptedAnswer
{
    if (headerOf(request, "Last-Event-Id") != "2")
        return { "HTTP/1.1 400 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
    return { beginStream(request) + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n" };
}

TEST_CASE("the events of a stream are passed on")
{
    ForwardingFixture fixture("llm", wholeStream);
    const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/stream/", "r1"));
    CHECK(answer.find("data: a") != std::string::npos);
    CHECK(answer.find("data: b") != std::string::npos);
    CHECK(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream that breaks off is not ended as a complete one")
{
    ForwardingFixture fixture("llm", brokenStream);
    const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/stream/", "r1"));
    CHECK(answer.find("data: b") != std::string::npos);
    CHECK(answer.find("id: 3") == std::string::npos);
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    CHECK(fixture.requestCount() == 1);
}

struct ConnectionEndCase {
    const char* name;
    const char* events; ///< What the server sends after the head, before it closes the connection.
    const char* status;
    bool isComplete;
};

const ConnectionEndCase connectionEndCases[] = {
    { "after an event", "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "HTTP/1.1 200", true },
    { "inside an event", "id: 1\ndata: a\n\nid: 2\nda", "HTTP/1.1 200", false },
    { "inside the first event", "id: 1\nda", "HTTP/1.1 502", false },
    { "before the first event", "", "HTTP/1.1 502", false },
};

TEST_CASE("a stream that ends with its connection is complete only after an event")
{
    for (const auto& row : connectionEndCases) {
        INFO(std::string(row.name));
        const auto script = [&row](const std::string& request) -> ScriptedAnswer {
            return { "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n" + row.events, true };
        };
        ForwardingFixture fixture("llm", script);
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/stream/", "r1"));
        CHECK(statusOf(answer) == row.status);
        CHECK(answer.ends_with("0\r\n\r\n") == row.isComplete);
        CHECK(answer.find("id: 2\nda\n") == std::string::npos);
    }
}

TEST_CASE("a resumable stream continues on another engine without missing or repeated events")
{
    auto isFirst = std::make_shared<bool>(true);
    const Script script = [isFirst](const std::string& request) { return std::exchange(*isFirst, false) ? brokenStream(request) : restOfStream(request); };
    ForwardingFixture fixture("llm", script, script);
    const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/chat/", "r1"));
    CHECK(answer.ends_with("0\r\n\r\n"));
    std::size_t place = 0;
    for (const auto* event : { "data: a", "data: b", "data: c" }) {
        place = answer.find(event, place);
        CHECK(place != std::string::npos);
        CHECK(answer.find(event, place + 1) == std::string::npos);
    }
    CHECK(fixture.requestCount() == 2);
}

TEST_CASE("the connection to the server is closed when the caller disconnects")
{
    const auto script = [](const std::string& request) -> ScriptedAnswer { return { beginStream(request) + chunk("id: 1\ndata: a\n\n") }; };
    ForwardingFixture fixture("llm", script);
    RawCaller caller(fixture.loop, fixture.settings.callers);
    caller.send(GatewayFixture::makeRequest("/stream/", "r1"));
    REQUIRE(fixture.runUntil([&] { return caller.received.find("data: a") != std::string::npos; }));
    caller.close();
    CHECK(fixture.runUntil([&] { return fixture.firstServer.closedByPeer == 1; }, 400ms));
}

TEST_CASE("a request is answered with 504 when the timeout of its route expires")
{
    ForwardingFixture fixture("app", [](const std::string&) -> ScriptedAnswer { return {}; });
    const auto begin = EventLoop::now();
    const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/once/", "r1"), 6s);
    CHECK(statusOf(answer) == "HTTP/1.1 504");
    CHECK(EventLoop::now() - begin < 3'500ms);
}

struct RejectionCase {
    const char* name;
    std::string request;
    const char* status;
};

const RejectionCase rejectionCases[] = {
    { "no route", "GET /none/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n\r\n", "HTTP/1.1 404" },
    { "an unknown credential", "GET /read/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k9\r\n\r\n", "HTTP/1.1 401" },
    { "no credential", "GET /read/ HTTP/1.1\r\nHost: a.example\r\n\r\n", "HTTP/1.1 401" },
    { "two Host headers", "GET /read/ HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n", "HTTP/1.1 400" },
    { "both a Content-Length and a chunked body", "POST /read/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400" },
    { "a body beyond the limit", "POST /read/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 413" },
    { "a head beyond the limit", "GET /read/ HTTP/1.1\r\nX: " + std::string(20'000, 'a'), "HTTP/1.1 431" },
};

TEST_CASE("requests that the node rejects are not forwarded")
{
    ForwardingFixture fixture("app", succeeds);
    for (const auto& row : rejectionCases) {
        CAPTURE(row.name);
        CHECK(statusOf(fixture.sendRequest(row.request)) == row.status);
    }
    CHECK(fixture.requestCount() == 0);
}

TEST_CASE("during a graceful stop a request is answered and its connection is closed")
{
    ForwardingFixture fixture("app", succeeds);
    RawCaller caller(fixture.loop, fixture.settings.callers);
    caller.send(GatewayFixture::makeRequest("/once/", "r1"));
    REQUIRE(fixture.runUntil([&] { return caller.received.ends_with("hello"); }));
    fixture.node->requestStop("test");
    CHECK(fixture.node->board().lifecycle.value() == Lifecycle::Draining);
    caller.received.clear();
    caller.send(GatewayFixture::makeRequest("/once/", "r2"));
    REQUIRE(fixture.runUntil([&] { return caller.isClosed; }));
    CHECK(headerOf(caller.received, "Connection") == "close");
    CHECK(caller.received.ends_with("hello"));
}

} // namespace
