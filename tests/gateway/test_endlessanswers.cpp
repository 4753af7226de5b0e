#include "gatewayfixture.h"
#include "units.h"

#include <doctest/doctest.h>
#include <initializer_list>
#include <span>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

using Script = ScriptedServer::Script;

constexpr int firstPort = 18321;
constexpr int secondPort = 18322;
constexpr std::size_t socketBytes = 6 * mebibyte; ///< What the sockets on both sides may hold, beside what the node has read.
constexpr std::size_t headLimit = 64 * kibibyte;
constexpr std::size_t eventLimit = mebibyte;
constexpr std::size_t responseLimit = 8 * mebibyte;
constexpr auto routeTimeout = 3s; ///< Timeout of each route in the configuration of the fixture.
constexpr auto earlyEnd = 2s; ///< Time in which an attempt has to end that a size limit ends, rather than the timeout.
constexpr auto timeoutTolerance = 2s; ///< For a busy machine.

auto repeat(const std::string& text, std::size_t size) -> std::string
{
    std::string result;
    while (result.size() < size)
        result += text;
    return result;
}

/** Returns \a text so often that it fills 64 KiB. */
auto block(const std::string& text) -> std::string
{
    return repeat(text, 64 * kibibyte);
}

/** Returns the start of a head that is the answer to \a request. */
auto ownHead(const std::string& request, const std::string& status = "200") -> std::string
{
    return "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n";
}

auto chunkedHead(const std::string& request) -> std::string
{
    return ownHead(request) + "Transfer-Encoding: chunked\r\n\r\n";
}

auto streamHead(const std::string& request) -> std::string
{
    return ownHead(request) + "Content-Type: text/event-stream\r\n\r\n";
}

auto chunkedStreamHead(const std::string& request) -> std::string
{
    return ownHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

auto unsealedStreamHead(const std::string& request) -> std::string
{
    return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nContent-Type: text/event-stream\r\n\r\n";
}

constexpr auto foreignHead = "HTTP/1.1 200 X\r\nX-Attempt-Id: stranger\r\nX-Response-Seal: s\r\n";

/** One kind of bytes that go on until the connection is closed. */
struct FloodCase {
    const char* name;
    const char* prefix;
    std::function<std::string(const std::string& request)> begin; ///< First bytes after the request.
    std::string repeated; ///< Bytes that follow without end.
    std::size_t limit; ///< Number of bytes that the node may read.
    const char* answer; ///< Start of what the caller gets.
};

auto text(const std::string& bytes) -> std::function<std::string(const std::string&)>
{
    return [bytes](const std::string&) { return bytes; };
}

auto after(std::string (*head)(const std::string&), const std::string& bytes) -> std::function<std::string(const std::string&)>
{
    return [head, bytes](const std::string& request) { return head(request) + bytes; };
}

auto ownHeadWith(const std::string& status, const std::string& lines) -> std::function<std::string(const std::string&)>
{
    return [status, lines](const std::string& request) { return ownHead(request, status) + lines; };
}

const FloodCase headCases[] = {
    { "bytes that are no HTTP", "/once/", text(""), block("zz"), headLimit, "HTTP/1.1 502" },
    { "empty lines", "/once/", text(""), block("\r\n"), headLimit, "HTTP/1.1 502" },
    { "one long status line", "/once/", text("HTTP/1.1 200 "), block("a"), headLimit, "HTTP/1.1 502" },
    { "one long header name", "/once/", text("HTTP/1.1 200 X\r\n"), block("a"), headLimit, "HTTP/1.1 502" },
    { "one long header", "/once/", text("HTTP/1.1 200 X\r\nX-Long: "), block("a"), headLimit, "HTTP/1.1 502" },
    { "many headers", "/once/", text("HTTP/1.1 200 X\r\n"), block("X-More: 1\r\n"), headLimit, "HTTP/1.1 502" },
};

const FloodCase otherAnswerCases[] = {
    { "interim answers", "/once/", text(""), block("HTTP/1.1 103 X\r\n\r\n"), responseLimit, "HTTP/1.1 502" },
    { "interim answers that name the request", "/once/", text(""), block("HTTP/1.1 100 X\r\nX-Attempt-Id: r1\r\n\r\n"), responseLimit, "HTTP/1.1 502" },
    { "answers to another request", "/once/", text(""), block(std::string(foreignHead) + "Content-Length: 5\r\n\r\nwrong"), responseLimit, "HTTP/1.1 502" },
    { "one answer to another request, with a length", "/once/", text(std::string(foreignHead) + "Content-Length: 99999999999\r\n\r\n"), block("a"), responseLimit, "HTTP/1.1 502" },
    { "one answer to another request, without a length", "/once/", text(std::string(foreignHead) + "\r\n"), block("a"), responseLimit, "HTTP/1.1 502" },
    { "one answer to another request, a stream", "/stream/", text(std::string(foreignHead) + "Content-Type: text/event-stream\r\n\r\n"), block("data: a\n\n"), responseLimit, "HTTP/1.1 502" },
};

const FloodCase bodyCases[] = {
    { "a body with a length", "/once/", ownHeadWith("200", "Content-Length: 99999999999\r\n\r\n"), block("a"), responseLimit, "HTTP/1.1 502" },
    { "a body without a length", "/once/", ownHeadWith("200", "\r\n"), block("a"), responseLimit, "HTTP/1.1 502" },
    { "a body in chunks", "/once/", chunkedHead, block("5\r\nhello\r\n"), 2 * responseLimit + 2 * headLimit, "HTTP/1.1 502" },
    { "the body of an error", "/once/", ownHeadWith("500", "\r\n"), block("a"), responseLimit, "HTTP/1.1 502" },
    { "the body of a success without a seal", "/once/", text("HTTP/1.1 200 X\r\nX-Attempt-Id: r1\r\n\r\n"), block("a"), responseLimit, "HTTP/1.1 502" },
    { "a chunk size", "/once/", after(chunkedHead, "0"), block("0"), 2 * headLimit, "HTTP/1.1 502" },
    { "a chunk extension", "/once/", after(chunkedHead, "5;x="), block("a"), 2 * headLimit, "HTTP/1.1 502" },
    { "chunks with long extensions", "/once/", chunkedHead, "1;x=" + block("a") + "\r\na\r\n", responseLimit + 2 * headLimit, "HTTP/1.1 502" },
    { "one trailer", "/once/", after(chunkedHead, "0\r\nX-Long: "), block("a"), 2 * headLimit, "HTTP/1.1 502" },
    { "many trailers", "/once/", after(chunkedHead, "0\r\n"), block("X-More: 1\r\n"), 2 * headLimit, "HTTP/1.1 502" },
    { "bytes after a complete answer", "/once/", ownHeadWith("200", "Content-Length: 5\r\n\r\nhello"), block("a"), headLimit, "HTTP/1.1 200" },
    { "answers after a complete answer", "/once/", ownHeadWith("200", "Content-Length: 5\r\n\r\nhello"), block("HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nextra"), headLimit, "HTTP/1.1 200" },
};

const FloodCase streamCases[] = {
    { "an event of one line", "/stream/", streamHead, block("a"), eventLimit, "HTTP/1.1 502" },
    { "an event of many lines", "/stream/", streamHead, block("data: a\n"), eventLimit, "HTTP/1.1 502" },
    { "a comment of many lines", "/stream/", streamHead, block(": ping\n"), eventLimit, "HTTP/1.1 502" },
    { "an event in chunks", "/stream/", chunkedStreamHead, block("5\r\nhello\r\n"), 3 * eventLimit, "HTTP/1.1 502" },
    { "an event in chunks with long extensions", "/stream/", chunkedStreamHead, "1;x=" + block("a") + "\r\na\r\n", responseLimit + 2 * headLimit, "HTTP/1.1 502" },
    { "an event after whole ones", "/stream/", after(streamHead, "id: 1\ndata: a\n\n"), block("data: b\n"), eventLimit, "HTTP/1.1 200" },
    { "a stream without a seal", "/stream/", unsealedStreamHead, block("data: a\n\n"), responseLimit, "HTTP/1.1 502" },
};

/** A node with two servers that flood the request "r1" and answer others. */
struct FloodFixture : GatewayFixture {
    FloodFixture(const FloodCase& row, bool onlyOnce)
        : service(std::string(row.prefix) == "/stream/" || std::string(row.prefix) == "/chat/" ? "llm" : "app")
    {
        const auto script = [this, row, onlyOnce](const std::string& request) -> ScriptedAnswer {
            const auto isFlooded = headerOf(request, "X-Attempt-Id") == "r1" && (!onlyOnce || this->floodCount == 0);
            if (!isFlooded)
                return { answerTo(request, 200, "hello") };
            ++this->floodCount;
            return { row.begin(request), false, false, row.repeated };
        };
        this->configure(1);
        for (const auto port : { firstPort, secondPort }) {
            this->servers.push_back(std::make_unique<ScriptedServer>(this->loop, Address { "127.0.0.1", static_cast<std::uint16_t>(port) }, script));
            this->registerServer("i-" + std::to_string(port), this->service, port);
        }
        REQUIRE(this->start());
        this->turn.startRepeating(1ms);
    }

    [[nodiscard]] auto sentBytes() const -> std::size_t
    {
        std::size_t sum = 0;
        for (const auto& server : this->servers)
            sum += server->sentBytes;
        return sum;
    }

    [[nodiscard]] auto closedCount() const -> int
    {
        int sum = 0;
        for (const auto& server : this->servers)
            sum += server->closedByPeer;
        return sum;
    }

    std::string service;
    int floodCount = 0;
    Timer turn { loop, [this] { this->loop.stop(); } }; ///< Lets runUntil() look at its condition although the loop always has input.
    std::vector<std::unique_ptr<ScriptedServer>> servers;
};

/** What came of one flooded request and of another one beside it. */
struct FloodResult {
    std::string other; ///< Answer to the request beside it.
    EventLoop::TimePoint::duration otherTime {}; ///< Time until that answer.
    EventLoop::TimePoint::duration closeTime {}; ///< Time until the node closed the connection to the server.
    int closed = 0; ///< Number of connections that the node closed.
    std::size_t bytes = 0; ///< Taken by the sockets of the server.
    std::string received; ///< What the caller of the flooded request got.
    int floods = 0; ///< Number of requests that were flooded.
};

auto runFlood(const FloodCase& row) -> FloodResult
{
    FloodFixture fixture(row, false);
    FloodResult result;
    RawCaller caller(fixture.loop, fixture.settings.callers);
    const auto begin = EventLoop::now();
    caller.send(GatewayFixture::makeRequest(row.prefix, "r1"));
    fixture.runUntil([&] { return fixture.floodCount == 1; });
    result.other = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "r2"));
    result.otherTime = EventLoop::now() - begin;
    fixture.runUntil([&] { return fixture.closedCount() == 1; }, routeTimeout + timeoutTolerance);
    result.closeTime = EventLoop::now() - begin;
    result.closed = fixture.closedCount();
    result.bytes = fixture.sentBytes();
    fixture.runUntil([&] { return !caller.received.empty(); }, 500ms);
    fixture.runFor(20ms);
    result.received = caller.received;
    result.floods = fixture.floodCount;
    return result;
}

auto isWhole(const std::string& answer) -> bool
{
    return answer.ends_with("0\r\n\r\n") || !headerOf(answer, "Content-Length").empty();
}

TEST_CASE("bytes without end fail their attempt, and other callers are served meanwhile")
{
    for (const auto cases : std::initializer_list<std::span<const FloodCase>> { headCases, otherAnswerCases, bodyCases, streamCases }) {
        for (const auto& row : cases) {
            CAPTURE(std::string(row.name));
            const auto result = runFlood(row);
            CHECK(result.floods == 1);
            CHECK(result.other.ends_with("hello"));
            CHECK(result.otherTime < earlyEnd);
            CHECK(result.closed == 1);
            CHECK(result.closeTime < earlyEnd);
            CHECK(result.bytes < row.limit + socketBytes);
            CHECK(result.received.starts_with(row.answer));
            const auto isBrokenOff = std::string(row.prefix) == "/stream/" && std::string(row.answer) == "HTTP/1.1 200";
            CHECK(isWhole(result.received) != isBrokenOff);
        }
    }
}

const FloodCase repeatCases[] = {
    { "a head", "/read/", text("HTTP/1.1 200 X\r\nX-Long: "), block("a"), headLimit, "HTTP/1.1 200" },
    { "interim answers", "/read/", text(""), block("HTTP/1.1 103 X\r\n\r\n"), responseLimit, "HTTP/1.1 200" },
    { "a body", "/read/", ownHeadWith("200", "\r\n"), block("a"), responseLimit, "HTTP/1.1 200" },
    { "a chunk extension", "/read/", after(chunkedHead, "5;x="), block("a"), 2 * headLimit, "HTTP/1.1 200" },
    { "an event", "/chat/", streamHead, block("data: a\n"), eventLimit, "HTTP/1.1 200" },
    { "a stream without a seal", "/chat/", unsealedStreamHead, block("data: a\n\n"), responseLimit, "HTTP/1.1 200" },
};

TEST_CASE("a request that may be repeated is answered by another server after an answer without end")
{
    for (const auto& row : repeatCases) {
        CAPTURE(std::string(row.name));
        FloodFixture fixture(row, true);
        const auto begin = EventLoop::now();
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "r1"));
        CHECK(answer.starts_with(row.answer));
        CHECK(answer.ends_with("hello"));
        CHECK(EventLoop::now() - begin < earlyEnd);
        CHECK(fixture.closedCount() == 1);
        CHECK(fixture.sentBytes() < row.limit + socketBytes);
    }
}

/** A server that sends a few bytes now and then. */
struct TrickleCase {
    const char* name;
    const char* prefix;
    std::function<std::string(const std::string& request)> begin; ///< First bytes after the request.
    std::string piece; ///< Sent every 50 ms.
    std::string last; ///< Sent after 1 s; nothing follows.
    const char* answer; ///< Start of what the caller gets.
    bool isComplete; ///< Whether the caller gets a whole answer.
};

const TrickleCase trickleCases[] = {
    { "a head", "/once/", text("HTTP/1.1 200 X\r\nX-Long: "), "a", "", "HTTP/1.1 504", true },
    { "interim answers", "/once/", text(""), "HTTP/1.1 103 X\r\n\r\n", "", "HTTP/1.1 504", true },
    { "a body without a length", "/once/", ownHeadWith("200", "\r\n"), "a", "", "HTTP/1.1 504", true },
    { "an event", "/stream/", streamHead, "data: a\n", "", "HTTP/1.1 504", true },
    { "comment lines", "/stream/", streamHead, ": ping\n", "", "HTTP/1.1 504", true },
    { "comments", "/stream/", streamHead, ": ping\n\n", "", "HTTP/1.1 200", false },
    { "whole events", "/stream/", streamHead, "data: a\n\n", "", "HTTP/1.1 200", false },
    { "a slow stream that ends", "/stream/", chunkedStreamHead, "9\r\ndata: a\n\n\r\n", "0\r\n\r\n", "HTTP/1.1 200", true },
    { "a slow stream with comments that ends", "/stream/", chunkedStreamHead, "7\r\n: ping\n\r\n", "a\r\n\ndata: a\n\n\r\n0\r\n\r\n", "HTTP/1.1 200", true },
    { "a slow body that ends", "/once/", chunkedHead, "1\r\na\r\n", "0\r\n\r\n", "HTTP/1.1 200", true },
    { "interim answers before the answer", "/once/", text(""), "HTTP/1.1 103 X\r\n\r\n", "HTTP/1.1 200 X\r\nX-Attempt-Id: r1\r\nX-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200", true },
};

TEST_CASE("slow answers go on until they end or the timeout of their route expires")
{
    for (const auto& row : trickleCases) {
        CAPTURE(std::string(row.name));
        const std::string prefix(row.prefix);
        GatewayFixture fixture;
        ScriptedServer server(fixture.loop, { "127.0.0.1", firstPort }, [&row](const std::string& request) -> ScriptedAnswer { return { row.begin(request) }; });
        fixture.configure(1);
        fixture.registerServer("i-1", prefix == "/stream/" ? "llm" : "app", firstPort);
        REQUIRE(fixture.start());
        Timer trickle(fixture.loop, [&] { server.sendToAll(row.piece); });
        Timer end(fixture.loop, [&] {
            if (row.last.empty())
                return;
            trickle.stop();
            server.sendToAll(row.last);
        });
        trickle.startRepeating(50ms);
        end.start(1s);
        const auto begin = EventLoop::now();
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(prefix, "r1"), routeTimeout + timeoutTolerance);
        const auto time = EventLoop::now() - begin;
        CHECK(answer.starts_with(row.answer));
        CHECK(isWhole(answer) == row.isComplete);
        CHECK(time < routeTimeout + timeoutTolerance);
        const auto isTimeout = time >= routeTimeout;
        CHECK(isTimeout == row.last.empty());
    }
}

TEST_CASE("a sound stream may be longer than any answer that is not a stream")
{
    constexpr int events = 160;
    const auto event = "data: " + std::string(99'990, 'a') + "\n\n";
    GatewayFixture fixture;
    ScriptedServer server(fixture.loop, { "127.0.0.1", firstPort }, [&event](const std::string& request) -> ScriptedAnswer {
        auto bytes = streamHead(request);
        for (int count = 0; count < events; ++count)
            bytes += event;
        return { bytes, true };
    });
    fixture.configure(1);
    fixture.registerServer("i-1", "llm", firstPort);
    REQUIRE(fixture.start());
    const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/stream/", "r1"));
    CHECK(answer.ends_with("0\r\n\r\n"));
    CHECK(answer.size() > events * event.size());
}

} // namespace
