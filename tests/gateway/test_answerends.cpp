#include "serverpairfixture.h"
#include "units.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 18321;
constexpr std::size_t responseLimit = 8 * mebibyte;

auto ownHead(const std::string& request, const std::string& status = "200") -> std::string
{
    return "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n";
}

auto bodyOf(const std::string& answer) -> std::string
{
    const auto end = answer.find("\r\n\r\n");
    return end == std::string::npos ? "" : answer.substr(end + 4);
}

auto countOf(const std::string& text, const std::string& part) -> int
{
    int count = 0;
    for (auto place = text.find(part); place != std::string::npos; place = text.find(part, place + 1))
        ++count;
    return count;
}

/** Returns whether \a answer says itself that it is whole, by a length or by the last chunk. */
auto isWhole(const std::string& answer) -> bool
{
    const auto length = headerOf(answer, "Content-Length");
    return length.empty() ? answer.ends_with("\r\n0\r\n\r\n") : bodyOf(answer).size() == std::stoul(length);
}

/** The end of a connection. */
enum class End {
    Close,
    Reset,
};

/** A stream that comes with neither a length nor chunks. */
struct StreamEndCase {
    const char* name;
    const char* prefix;
    const char* events; ///< What the first server sends after the head.
    End end;
    const char* status;
    int received; ///< Number of events that the caller gets, 1 to \c received.
    bool isWhole;
    int requests; ///< Number of requests that the servers get.
};

constexpr auto twoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

const StreamEndCase streamEndCases[] = {
    { "closed after an event", "/stream/", twoEvents, End::Close, "HTTP/1.1 200", 2, true, 1 },
    { "closed after an event, resumable", "/chat/", twoEvents, End::Close, "HTTP/1.1 200", 2, true, 1 },
    { "closed within an event", "/stream/", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: hal", End::Close, "HTTP/1.1 200", 2, false, 1 },
    { "closed within an event, resumable", "/chat/", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: hal", End::Close, "HTTP/1.1 200", 3, true, 2 },
    { "closed before the empty line of an event", "/stream/", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: hal\n", End::Close, "HTTP/1.1 200", 2, false, 1 },
    { "closed before the empty line of an event, resumable", "/chat/", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: hal\n", End::Close, "HTTP/1.1 200", 3, true, 2 },
    { "closed within the first event", "/stream/", "id: 1\ndata: hal", End::Close, "HTTP/1.1 502", 0, true, 1 },
    { "reset after an event", "/stream/", twoEvents, End::Reset, "HTTP/1.1 200", 2, false, 1 },
    { "reset after an event, resumable", "/chat/", twoEvents, End::Reset, "HTTP/1.1 200", 3, true, 2 },
    { "reset within an event", "/stream/", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: hal", End::Reset, "HTTP/1.1 200", 2, false, 1 },
    { "reset within an event, resumable", "/chat/", "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: hal", End::Reset, "HTTP/1.1 200", 3, true, 2 },
    { "reset before the first event", "/stream/", "", End::Reset, "HTTP/1.1 502", 0, true, 1 },
};

/** Sends the events after the last one that the caller has received, to a request that says so. */
auto restOfStream(const std::string& request) -> ScriptedAnswer
{
    if (headerOf(request, "Last-Event-Id") != "2")
        return { "HTTP/1.1 400 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
    return { ownHead(request) + "Content-Type: text/event-stream\r\n\r\nid: 3\ndata: c\n\n", true };
}

TEST_CASE("a stream without a length is whole only when its connection is closed after an event")
{
    for (const auto& row : streamEndCases) {
        CAPTURE(std::string(row.name));
        const auto first = [&row](const std::string& request) -> ScriptedAnswer {
            return { ownHead(request) + "Content-Type: text/event-stream\r\n\r\n" + row.events, true, row.end == End::Reset };
        };
        ServerPairFixture fixture("llm", first, restOfStream);
        RawCaller caller(fixture.loop, fixture.settings.callers);
        caller.send(GatewayFixture::makeRequest(row.prefix, "r1"));
        CHECK(fixture.runUntil([&] { return caller.isClosed || isWhole(caller.received); }, 4s));
        CHECK(caller.received.starts_with(row.status));
        CHECK(isWhole(caller.received) == row.isWhole);
        for (int id = 1; id <= 3; ++id)
            CHECK(countOf(caller.received, "id: " + std::to_string(id) + "\n") == (id <= row.received ? 1 : 0));
        CHECK(countOf(caller.received, "hal") == 0);
        CHECK(fixture.requestCount == row.requests);
    }
}

/** An answer without a length that is not a stream. */
struct BodyEndCase {
    const char* name;
    const char* prefix;
    const char* body;
    End end;
    const char* status;
    const char* received; ///< Body that the caller gets.
    int requests; ///< Number of requests that the servers get.
};

const BodyEndCase bodyEndCases[] = {
    { "closed after its body", "/once/", "hello", End::Close, "HTTP/1.1 200", "hello", 1 },
    { "closed after its body, repeatable", "/read/", "hello", End::Close, "HTTP/1.1 200", "hello", 1 },
    { "closed without a body", "/once/", "", End::Close, "HTTP/1.1 502", "", 1 },
    { "closed without a body, repeatable", "/read/", "", End::Close, "HTTP/1.1 200", "again", 2 },
    { "reset after its body", "/once/", "hello", End::Reset, "HTTP/1.1 502", "", 1 },
    { "reset after its body, repeatable", "/read/", "hello", End::Reset, "HTTP/1.1 200", "again", 2 },
    { "reset after its head", "/once/", "", End::Reset, "HTTP/1.1 502", "", 1 },
};

TEST_CASE("an answer without a length is whole only when its connection is closed")
{
    for (const auto& row : bodyEndCases) {
        CAPTURE(std::string(row.name));
        const auto first = [&row](const std::string& request) -> ScriptedAnswer { return { ownHead(request) + "\r\n" + row.body, true, row.end == End::Reset }; };
        ServerPairFixture fixture("app", first, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "again") }; });
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "r1"));
        CHECK(answer.starts_with(row.status));
        CHECK(isWhole(answer));
        CHECK(bodyOf(answer) == row.received);
        CHECK(fixture.requestCount == row.requests);
    }
}

/** A success without a body, which needs no length. */
struct EmptyCase {
    const char* name;
    const char* status;
    const char* lines; ///< Header lines beside those of every answer.
    bool isWhole; ///< Whether the caller gets the answer.
};

const EmptyCase emptyCases[] = {
    { "a length of zero", "200", "Content-Length: 0\r\n", true },
    { "no chunks", "200", "Transfer-Encoding: chunked\r\n", true },
    { "a status that has no body", "204", "", true },
    { "neither length nor chunks", "200", "", false },
    { "neither length nor chunks, created", "201", "", false },
};

TEST_CASE("an empty answer is whole when its head says so")
{
    for (const auto& row : emptyCases) {
        CAPTURE(std::string(row.name));
        const auto isChunked = std::string(row.lines).starts_with("Transfer-Encoding");
        const auto first = [&](const std::string& request) -> ScriptedAnswer { return { ownHead(request, row.status) + row.lines + "\r\n" + (isChunked ? "0\r\n\r\n" : ""), true }; };
        ServerPairFixture fixture("app", first, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "again") }; });
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/once/", "r1"));
        CHECK(answer.starts_with(row.isWhole ? "HTTP/1.1 " + std::string(row.status) : "HTTP/1.1 502"));
        CHECK(fixture.requestCount == 1);
    }
}

/** An answer that is sent up to some byte, after which the connection is closed. */
struct CutCase {
    const char* name;
    const char* prefix;
    std::string lines; ///< Header lines beside those of every answer.
    std::string body;
    bool isBodySafe; ///< Whether a cut in the body can be told from the end.
};

const CutCase cutCases[] = {
    { "a length", "/once/", "Content-Length: 5\r\n", "hello", true },
    { "a length, repeatable", "/read/", "Content-Length: 5\r\n", "hello", true },
    { "chunks", "/once/", "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n", true },
    { "neither", "/once/", "", "hello", false },
    { "neither, repeatable", "/read/", "", "hello", false },
    { "a stream in chunks", "/stream/", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "9\r\ndata: a\n\n\r\n0\r\n\r\n", true },
    { "a stream with neither", "/stream/", "Content-Type: text/event-stream\r\n", "data: a\n\n", true },
};

// Guards against an answer whose server stopped in the middle of its head, or right after it, being passed on as an empty success.
TEST_CASE("an answer that is cut at any byte of its head, or of a framed body, is not passed on as a whole one")
{
    for (const auto& row : cutCases) {
        CAPTURE(std::string(row.name));
        GatewayFixture fixture;
        std::size_t wholeSize = 0;
        const auto script = [&row, &wholeSize](const std::string& request) -> ScriptedAnswer {
            const auto whole = ownHead(request) + row.lines + "\r\n" + row.body;
            wholeSize = whole.size();
            return { whole.substr(0, std::stoul(headerOf(request, "X-Attempt-Id").substr(1))), true };
        };
        const ScriptedServer server(fixture.loop, { "127.0.0.1", firstPort }, script);
        fixture.configure(1);
        fixture.registerServer("i-1", std::string(row.prefix) == "/stream/" ? "llm" : "app", firstPort);
        REQUIRE(fixture.start());
        constexpr std::size_t idDigits = 3; // The answers repeat the id, so that all have the same size.
        auto cutEnd = std::size_t { 1 };
        for (std::size_t cut = 0; cut < cutEnd; ++cut) {
            auto digits = std::to_string(cut);
            digits.insert(0, idDigits - digits.size(), '0');
            const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "c" + digits));
            cutEnd = row.isBodySafe ? wholeSize : wholeSize - row.body.size() + 1;
            CAPTURE(cut);
            const auto isSuccess = answer.starts_with("HTTP/1.1 200");
            CHECK_FALSE((isSuccess && isWhole(answer)));
            CHECK((isSuccess || answer.starts_with("HTTP/1.1 502")));
        }
        CHECK(cutEnd > row.lines.size());
    }
}

/** A body in chunks that does not follow the syntax of chunks, after which the connection stays open. */
struct ChunkCase {
    const char* name;
    std::string chunks;
};

const ChunkCase chunkCases[] = {
    { "other bytes after a chunk", "f\r\nid: 1\ndata: a\n\nXX0\r\n\r\n" },
    { "line feeds after a chunk", "f\r\nid: 1\ndata: a\n\n\n\n0\r\n\r\n" },
    { "a chunk that is longer than its size", "d\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n" },
    { "a chunk that is shorter than its size", "11\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n" },
    { "another byte at the end of a size", "f\rXid: 1\ndata: a\n\n\r\n0\r\n\r\n" },
    { "no size", "\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n" },
    { "a size with a sign", "+f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n" },
    { "a size with a prefix", "0xf\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n" },
    { "a size above every number", "fffffffffffffffff\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n" },
    { "a control byte after a size", std::string("f\0\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", 26) },
    { "a blank in the name of a trailer", "f\r\nid: 1\ndata: a\n\n\r\n0\r\nX Blank: 1\r\n\r\n" },
    { "a trailer without a colon", "f\r\nid: 1\ndata: a\n\n\r\n0\r\nX-Line\r\n\r\n" },
    { "another byte at the end of the last line", "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\rX" },
};

// Guards against a body whose end is not where its chunks say being passed on as a whole one.
TEST_CASE("an answer with broken chunks ends its attempt at once and does not look whole")
{
    constexpr auto earlyEnd = 1s; // The timeout of the routes is 3 s.
    for (const auto& row : chunkCases) {
        for (const auto* prefix : { "/once/", "/read/", "/stream/" }) {
            CAPTURE(std::string(row.name));
            CAPTURE(std::string(prefix));
            const std::string route(prefix);
            const std::string type = route == "/stream/" ? "Content-Type: text/event-stream\r\n" : "";
            const auto first = [&](const std::string& request) -> ScriptedAnswer { return { ownHead(request) + type + "Transfer-Encoding: chunked\r\n\r\n" + row.chunks }; };
            ServerPairFixture fixture(route == "/stream/" ? "llm" : "app", first, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "again") }; });
            RawCaller caller(fixture.loop, fixture.settings.callers);
            caller.send(GatewayFixture::makeRequest(prefix, "r1"));
            CHECK(fixture.runUntil([&] { return caller.isClosed || isWhole(caller.received); }, earlyEnd));
            const auto isPassedOn = caller.received.starts_with("HTTP/1.1 200") && isWhole(caller.received);
            CHECK(isPassedOn == (route == "/read/"));
            CHECK((route == "/stream/" || bodyOf(caller.received) == (route == "/read/" ? "again" : "")));
            CHECK(fixture.requestCount == (route == "/read/" ? 2 : 1));
            CHECK(fixture.runUntil([&] { return fixture.closedCount() == 1; }, earlyEnd));
        }
    }
}

// Guards against a caller that waits for its answer behind one that ends with its connection.
TEST_CASE("an answer to another request that has neither length nor chunks ends the attempt at once")
{
    constexpr auto earlyEnd = 1s; // The timeout of the routes is 3 s.
    for (const auto* prefix : { "/once/", "/read/" }) {
        CAPTURE(std::string(prefix));
        const auto first = [](const std::string&) -> ScriptedAnswer { return { ownHead("\r\nX-Attempt-Id: other\r\n") + "\r\nhello" }; };
        ServerPairFixture fixture("app", first, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "again") }; });
        const auto isRepeatable = std::string(prefix) == "/read/";
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(prefix, "r1"), earlyEnd);
        CHECK(answer.starts_with(isRepeatable ? "HTTP/1.1 200" : "HTTP/1.1 502"));
        CHECK(bodyOf(answer) == (isRepeatable ? "again" : ""));
        CHECK(fixture.runUntil([&] { return fixture.closedCount() == 1; }, earlyEnd));
    }
}

/** A success that has no body whatever its head says, after which the connection stays open. */
struct BodilessCase {
    const char* name;
    const char* status;
    const char* lines;
};

const BodilessCase bodilessCases[] = {
    { "not modified, with the length of what it stands for", "304", "Content-Length: 500\r\n" },
    { "no content, with a length", "204", "Content-Length: 5\r\n" },
    { "no content, with chunks", "204", "Transfer-Encoding: chunked\r\n" },
};

TEST_CASE("an answer whose status has no body ends with its head")
{
    for (const auto& row : bodilessCases) {
        CAPTURE(std::string(row.name));
        const auto first = [&](const std::string& request) -> ScriptedAnswer { return { ownHead(request, row.status) + row.lines + "\r\n" }; };
        ServerPairFixture fixture("app", first, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "again") }; });
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/once/", "r1"), 1s);
        CHECK(answer.starts_with("HTTP/1.1 " + std::string(row.status)));
        CHECK(fixture.requestCount == 1);
    }
}

// Guards against an interim answer whose length covers a part of the answer that follows.
TEST_CASE("an interim answer has no body whatever its head says")
{
    const auto first = [](const std::string& request) -> ScriptedAnswer {
        return { "HTTP/1.1 103 X\r\nContent-Length: 40\r\n\r\n" + GatewayFixture::answerTo(request, 200, "hello") };
    };
    ServerPairFixture fixture("app", first, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "again") }; });
    const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/once/", "r1"), 1s);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(bodyOf(answer) == "hello");
}

/** The framing of an answer that ends. */
enum class Framing {
    Length,
    Chunks,
    Connection,
};

struct LargeBodyCase {
    const char* name;
    const char* prefix;
    Framing framing;
    std::size_t size; ///< Of the body.
    const char* status;
    std::size_t received; ///< Size of the body that the caller gets.
    int requests; ///< Number of requests that the servers get.
};

constexpr std::size_t chunkBytes = 64 * kibibyte;
constexpr std::size_t againBytes = 5;

const LargeBodyCase largeBodyCases[] = {
    { "as large as the limit", "/once/", Framing::Length, responseLimit, "HTTP/1.1 200", responseLimit, 1 },
    { "as large as the limit, in chunks", "/once/", Framing::Chunks, responseLimit, "HTTP/1.1 200", responseLimit, 1 },
    { "as large as the limit, without a length", "/once/", Framing::Connection, responseLimit, "HTTP/1.1 200", responseLimit, 1 },
    { "larger by one byte", "/once/", Framing::Length, responseLimit + 1, "HTTP/1.1 502", 0, 1 },
    { "larger", "/once/", Framing::Length, responseLimit + mebibyte, "HTTP/1.1 502", 0, 1 },
    { "larger, in chunks", "/once/", Framing::Chunks, responseLimit + mebibyte, "HTTP/1.1 502", 0, 1 },
    { "larger, without a length", "/once/", Framing::Connection, responseLimit + mebibyte, "HTTP/1.1 502", 0, 1 },
    { "larger, repeatable", "/read/", Framing::Length, responseLimit + mebibyte, "HTTP/1.1 200", againBytes, 2 },
    { "larger, in chunks, repeatable", "/read/", Framing::Chunks, responseLimit + mebibyte, "HTTP/1.1 200", againBytes, 2 },
};

auto largeAnswer(const std::string& request, const LargeBodyCase& row) -> ScriptedAnswer
{
    const std::string body(row.size, 'a');
    if (row.framing == Framing::Length)
        return { GatewayFixture::answerTo(request, 200, body) };
    if (row.framing == Framing::Connection)
        return { ownHead(request) + "\r\n" + body, true };
    auto bytes = ownHead(request) + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t place = 0; place < body.size(); place += chunkBytes)
        bytes += "10000\r\n" + body.substr(place, chunkBytes) + "\r\n";
    return { bytes + "0\r\n\r\n" };
}

TEST_CASE("an answer above the size limit is not passed on as a whole one")
{
    for (const auto& row : largeBodyCases) {
        CAPTURE(std::string(row.name));
        ServerPairFixture fixture(
            "app", [&row](const std::string& request) { return largeAnswer(request, row); },
            [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "again") }; });
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "r1"));
        CHECK(answer.starts_with(row.status));
        CHECK(isWhole(answer));
        CHECK(bodyOf(answer).size() == row.received);
        CHECK(fixture.requestCount == row.requests);
    }
}

} // namespace
