#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 18321;
constexpr int secondPort = 18322;

using Script = ScriptedServer::Script;

/** A node with one or two servers of each service. */
struct Path : GatewayFixture {
    Path(const std::string& service, Script first, Script second = {})
        : one(loop, { "127.0.0.1", firstPort }, std::move(first))
    {
        this->configure(1);
        this->registerServer("i-1", service, firstPort);
        if (second) {
            this->two = std::make_unique<ScriptedServer>(loop, Address { "127.0.0.1", secondPort }, std::move(second));
            this->registerServer("i-2", service, secondPort);
        }
        REQUIRE(this->start());
    }

    [[nodiscard]] auto arrivals() const -> std::size_t { return this->one.requests.size() + (this->two ? this->two->requests.size() : 0); }

    ScriptedServer one;
    std::unique_ptr<ScriptedServer> two;
};

auto statusOf(const std::string& answer) -> std::string
{
    return answer.substr(0, std::string("HTTP/1.1 200").size());
}

auto sound(const std::string& request) -> ScriptedAnswer
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

auto unsealed(const std::string& request) -> ScriptedAnswer
{
    return { "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nContent-Length: 5\r\n\r\nhello" };
}

auto garbage(const std::string&) -> ScriptedAnswer
{
    return { "these bytes are no answer\r\n\r\n", true };
}

auto encoded(const std::string& request) -> ScriptedAnswer
{
    return { GatewayFixture::answerTo(request, 200, "hello", "Content-Encoding: gzip\r\n") };
}

auto anotherServer(const std::string&) -> ScriptedAnswer
{
    return { "HTTP/1.1 421 X\r\nX-Instance-Id: i-9\r\nContent-Length: 0\r\n\r\n" };
}

auto withoutLength(const std::string& request) -> ScriptedAnswer
{
    return { "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n\r\nhello", true };
}

struct OutcomeCase {
    const char* name;
    const char* prefix;
    Script first;
    const char* status;
    std::size_t arrivals; ///< At the one server there is.
};

const OutcomeCase outcomeCases[] = {
    { "a call that may not be repeated", "/once/", sound, "HTTP/1.1 200", 1 },
    { "refused, so it did not run", "/once/", refuses, "HTTP/1.1 503", 1 },
    { "another server is there, so it did not run", "/once/", anotherServer, "HTTP/1.1 503", 1 },
    { "failed by the server", "/once/", fails, "HTTP/1.1 500", 1 },
    { "the answer is lost, so it may have run", "/once/", losesAnswer, "HTTP/1.1 502", 1 },
    { "the answer is cut", "/once/", truncates, "HTTP/1.1 502", 1 },
    { "a success without its mark", "/once/", unsealed, "HTTP/1.1 502", 1 },
    { "no answer in the protocol", "/once/", garbage, "HTTP/1.1 502", 1 },
    { "an encoded answer", "/once/", encoded, "HTTP/1.1 502", 1 },
    { "an answer that ends with its connection", "/once/", withoutLength, "HTTP/1.1 200", 1 },
};

TEST_CASE("what a caller is told follows from what the server may have done")
{
    for (const auto& row : outcomeCases) {
        CAPTURE(row.name);
        Path path("app", row.first);
        const auto answer = path.sendRequest(GatewayFixture::makeRequest(row.prefix, "r1"));
        CHECK(statusOf(answer) == row.status);
        CHECK(path.arrivals() == row.arrivals);
        const auto isRefusal = statusOf(answer) == "HTTP/1.1 503";
        CHECK(headerOf(answer, "Retry-After").empty() != isRefusal);
    }
}

struct RepeatCase {
    const char* name;
    const char* prefix;
    Script bad; ///< Of both servers' first request.
    const char* status;
    std::size_t arrivals;
};

const RepeatCase repeatCases[] = {
    { "an idempotent call after a lost answer", "/read/", losesAnswer, "HTTP/1.1 200", 2 },
    { "an idempotent call after a failure", "/read/", fails, "HTTP/1.1 200", 2 },
    { "an idempotent call after a cut answer", "/read/", truncates, "HTTP/1.1 200", 2 },
    { "a call that did not run", "/once/", refuses, "HTTP/1.1 200", 2 },
    { "a call that may have run", "/once/", losesAnswer, "HTTP/1.1 502", 1 },
    { "a call that failed", "/once/", fails, "HTTP/1.1 500", 1 },
};

TEST_CASE("another server gets only what may run there")
{
    for (const auto& row : repeatCases) {
        CAPTURE(row.name);
        auto isFirst = std::make_shared<bool>(true);
        const Script script = [isFirst, bad = row.bad](const std::string& request) { return std::exchange(*isFirst, false) ? bad(request) : sound(request); };
        Path path("app", script, script);
        const auto answer = path.sendRequest(GatewayFixture::makeRequest(row.prefix, "r1"));
        CHECK(statusOf(answer) == row.status);
        CHECK(path.arrivals() == row.arrivals);
    }
}

TEST_CASE("a late answer to another request is passed to nobody")
{
    const auto script = [](const std::string& request) -> ScriptedAnswer {
        return { "HTTP/1.1 200 X\r\nX-Attempt-Id: stranger\r\nX-Response-Seal: s\r\nContent-Length: 5\r\n\r\nwrong" + GatewayFixture::answerTo(request, 200, "right") };
    };
    Path path("app", script);
    const auto answer = path.sendRequest(GatewayFixture::makeRequest("/once/", "r1"));
    CHECK(answer.ends_with("right"));
}

TEST_CASE("bytes after a whole answer reach no later request")
{
    const auto script = [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "right") + "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nextra" }; };
    Path path("app", script);
    for (const auto* id : { "r1", "r2", "r3" }) {
        const auto answer = path.sendRequest(GatewayFixture::makeRequest("/once/", id));
        CHECK(answer.ends_with("right"));
        CHECK(headerOf(answer, "X-Attempt-Id") == id);
    }
}

TEST_CASE("a server gets the request unchanged, without the credential")
{
    Path path("app", sound);
    static_cast<void>(path.sendRequest(GatewayFixture::makeRequest("/once/", "r1", "X-Own: kept\r\nX-Tenant: forged\r\nConnection: X-Hop\r\nX-Hop: 1\r\n")));
    REQUIRE(path.one.requests.size() == 1);
    const auto& request = path.one.requests.front();
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

/** Two events and a part of the third, then the connection ends. */
auto brokenStream(const std::string& request) -> ScriptedAnswer
{
    return { beginStream(request) + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\nid: 3\nda"), true };
}

/** What is missing after the event that the caller has. */
auto restOfStream(const std::string& request) -> ScriptedAnswer
{
    if (headerOf(request, "Last-Event-Id") != "2")
        return { "HTTP/1.1 400 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
    return { beginStream(request) + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n" };
}

TEST_CASE("a stream is passed on event by event")
{
    Path path("llm", wholeStream);
    const auto answer = path.sendRequest(GatewayFixture::makeRequest("/stream/", "r1"));
    CHECK(answer.find("data: a") != std::string::npos);
    CHECK(answer.find("data: b") != std::string::npos);
    CHECK(answer.ends_with("0\r\n\r\n"));
}

TEST_CASE("a stream that broke off does not look complete")
{
    Path path("llm", brokenStream);
    const auto answer = path.sendRequest(GatewayFixture::makeRequest("/stream/", "r1"));
    CHECK(answer.find("data: b") != std::string::npos);
    CHECK(answer.find("id: 3") == std::string::npos);
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    CHECK(path.arrivals() == 1);
}

TEST_CASE("a resumable stream goes on at another engine without a gap or a repeat")
{
    auto isFirst = std::make_shared<bool>(true);
    const Script script = [isFirst](const std::string& request) { return std::exchange(*isFirst, false) ? brokenStream(request) : restOfStream(request); };
    Path path("llm", script, script);
    const auto answer = path.sendRequest(GatewayFixture::makeRequest("/chat/", "r1"));
    CHECK(answer.ends_with("0\r\n\r\n"));
    std::size_t place = 0;
    for (const auto* event : { "data: a", "data: b", "data: c" }) {
        place = answer.find(event, place);
        CHECK(place != std::string::npos);
        CHECK(answer.find(event, place + 1) == std::string::npos);
    }
    CHECK(path.arrivals() == 2);
}

TEST_CASE("a server stops work when its caller has left")
{
    const auto script = [](const std::string& request) -> ScriptedAnswer { return { beginStream(request) + chunk("id: 1\ndata: a\n\n") }; };
    Path path("llm", script);
    RawCaller caller(path.loop, path.settings.callers);
    caller.send(GatewayFixture::makeRequest("/stream/", "r1"));
    REQUIRE(path.runUntil([&] { return caller.received.find("data: a") != std::string::npos; }));
    caller.close();
    CHECK(path.runUntil([&] { return path.one.closedByPeer == 1; }, 400ms));
}

TEST_CASE("a request is answered when its route's time is over")
{
    Path path("app", [](const std::string&) -> ScriptedAnswer { return {}; });
    const auto begin = EventLoop::now();
    const auto answer = path.sendRequest(GatewayFixture::makeRequest("/once/", "r1"), 6s);
    CHECK(statusOf(answer) == "HTTP/1.1 504");
    CHECK(EventLoop::now() - begin < 3'500ms);
}

struct OwnAnswerCase {
    const char* name;
    std::string request;
    const char* status;
};

const OwnAnswerCase ownAnswerCases[] = {
    { "no route", "GET /none/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k1\r\n\r\n", "HTTP/1.1 404" },
    { "an unknown credential", "GET /read/ HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token k9\r\n\r\n", "HTTP/1.1 401" },
    { "no credential", "GET /read/ HTTP/1.1\r\nHost: a.example\r\n\r\n", "HTTP/1.1 401" },
    { "two hosts", "GET /read/ HTTP/1.1\r\nHost: a.example\r\nHost: b.example\r\n\r\n", "HTTP/1.1 400" },
    { "length and chunks", "POST /read/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400" },
    { "a body beyond the limit", "POST /read/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 413" },
    { "a head beyond the limit", "GET /read/ HTTP/1.1\r\nX: " + std::string(20'000, 'a'), "HTTP/1.1 431" },
};

TEST_CASE("requests that go nowhere")
{
    Path path("app", sound);
    for (const auto& row : ownAnswerCases) {
        CAPTURE(row.name);
        CHECK(statusOf(path.sendRequest(row.request)) == row.status);
    }
    CHECK(path.arrivals() == 0);
}

TEST_CASE("a planned stop answers what it has and asks the caller to close")
{
    Path path("app", sound);
    RawCaller caller(path.loop, path.settings.callers);
    caller.send(GatewayFixture::makeRequest("/once/", "r1"));
    REQUIRE(path.runUntil([&] { return caller.received.ends_with("hello"); }));
    path.node->requestStop("test");
    CHECK(path.node->board().lifecycle.value() == Lifecycle::Draining);
    caller.received.clear();
    caller.send(GatewayFixture::makeRequest("/once/", "r2"));
    REQUIRE(path.runUntil([&] { return caller.isClosed; }));
    CHECK(headerOf(caller.received, "Connection") == "close");
    CHECK(caller.received.ends_with("hello"));
}

} // namespace
