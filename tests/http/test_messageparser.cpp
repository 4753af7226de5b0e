#include "messageparser.h"

#include <doctest/doctest.h>
#include <string>

using namespace Primrosefork;

namespace {

constexpr std::size_t headLimit = 1024;

struct Parsed {
    ParseResult result = ParseResult::NeedsMore;
    std::size_t consumed = 0;
    std::string body;
    MessageHead head;
    bool isCompleteAtEnd = false;
};

auto parse(MessageParser::Kind kind, const std::string& bytes) -> Parsed
{
    Parsed parsed;
    MessageParser parser(kind, { [&](const MessageHead& head) { parsed.head = head; }, [&](std::string_view piece) { parsed.body += piece; } }, headLimit);
    parsed.result = parser.feed(bytes, parsed.consumed);
    if (parsed.result == ParseResult::NeedsMore)
        parsed.isCompleteAtEnd = parser.finish();
    return parsed;
}

struct RequestCase {
    const char* name;
    std::string bytes;
    ParseResult result;
    std::string body;
};

const RequestCase requestCases[] = {
    { "no body", "GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n", ParseResult::Complete, "" },
    { "body with a length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", ParseResult::Complete, "abc" },
    { "chunked body", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", ParseResult::Complete, "abc" },
    { "body shorter than its length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nab", ParseResult::NeedsMore, "ab" },
    { "length and chunked encoding", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ParseResult::Malformed, "" },
    { "two different lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", ParseResult::Malformed, "" },
    { "length with a sign", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc", ParseResult::Malformed, "" },
    { "unknown transfer encoding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", ParseResult::Malformed, "" },
    { "space before the colon of a header", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", ParseResult::Malformed, "" },
    { "bytes that are not HTTP", "\x16\x03\x01garbage", ParseResult::Malformed, "" },
    { "head above the limit, received at once", "GET / HTTP/1.1\r\nX: " + std::string(2'000, 'a') + "\r\n\r\n", ParseResult::Complete, "" },
};

TEST_CASE("requests are parsed, and malformed requests are rejected")
{
    for (const auto& row : requestCases) {
        CAPTURE(row.name);
        const auto parsed = parse(MessageParser::Kind::Request, row.bytes);
        CHECK(parsed.result == row.result);
        CHECK(parsed.body == row.body);
    }
}

TEST_CASE("a head that exceeds its limit is rejected before it is complete")
{
    MessageParser parser(MessageParser::Kind::Request, { [](const MessageHead&) {}, [](std::string_view) {} }, headLimit);
    std::size_t consumed = 0;
    REQUIRE(parser.feed("GET / HTTP/1.1\r\nX: ", consumed) == ParseResult::NeedsMore);
    CHECK(parser.feed(std::string(2'000, 'a'), consumed) == ParseResult::HeadTooLarge);
}

TEST_CASE("parsing stops at the end of a message and leaves the bytes of the next one")
{
    const std::string first = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
    const auto parsed = parse(MessageParser::Kind::Request, first + "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(parsed.result == ParseResult::Complete);
    CHECK(parsed.head.target == "/1");
    CHECK(parsed.consumed == first.size());
}

TEST_CASE("fields after a chunked body are no headers")
{
    MessageParser parser(MessageParser::Kind::Request, { [](const MessageHead&) {}, [](std::string_view) {} }, headLimit);
    std::size_t consumed = 0;
    REQUIRE(parser.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nHost: x\r\nX-Own: 1\r\n\r\n", consumed) == ParseResult::Complete);
    CHECK_FALSE(parser.head().headers.get("Host").has_value());
    CHECK(parser.head().headers.count("Transfer-Encoding") == 1);
}

struct ResponseCase {
    const char* name;
    std::string bytes;
    ParseResult result;
    bool isCompleteAtEnd; ///< Whether the message is complete if the connection ends cleanly after the bytes.
    bool keepsAlive;
};

const ResponseCase responseCases[] = {
    { "body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", ParseResult::Complete, false, true },
    { "body shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", ParseResult::NeedsMore, false, true },
    { "body without a length", "HTTP/1.1 200 OK\r\n\r\nab", ParseResult::NeedsMore, true, false },
    { "chunked body without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", ParseResult::NeedsMore, false, true },
    { "Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", ParseResult::Complete, false, false },
    { "bytes that are not HTTP", "ab HTTP", ParseResult::Malformed, false, false },
    { "status 000", "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", ParseResult::Malformed, false, false },
    { "status above 599", "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n", ParseResult::Malformed, false, false },
    { "status of four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n", ParseResult::Malformed, false, false },
    { "another major version", "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n", ParseResult::Malformed, false, false },
    { "another minor version", "HTTP/1.2 200 OK\r\nContent-Length: 0\r\n\r\n", ParseResult::Complete, false, true },
    { "no reason", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", ParseResult::Complete, false, true },
    { "space in the last name", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX Y: 1\r\n\r\n", ParseResult::Malformed, false, false },
    { "control byte in a value", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: a\x01z\r\n\r\n", ParseResult::Malformed, false, false },
    { "value on two lines", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX: a\r\n b\r\n\r\n", ParseResult::Complete, false, true },
    { "unknown transfer coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nab", ParseResult::Malformed, false, false },
    { "space after the transfer coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \r\n\r\n0\r\n\r\n", ParseResult::Complete, false, true },
    { "chunks with extensions and trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1 ;x=y\r\na\r\n00\r\nX: 1\r\n\r\n", ParseResult::Complete, false, true },
    { "no line end after a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n", ParseResult::Malformed, false, true },
    { "length of a status without a body", "HTTP/1.1 304 OK\r\nContent-Length: 5\r\n\r\n", ParseResult::Complete, false, true },
    { "interim response with a length", "HTTP/1.1 103 OK\r\nContent-Length: 5\r\n\r\n", ParseResult::Complete, false, true },
};

TEST_CASE("responses are parsed, and malformed responses are rejected")
{
    for (const auto& row : responseCases) {
        CAPTURE(row.name);
        const auto parsed = parse(MessageParser::Kind::Response, row.bytes);
        CHECK(parsed.result == row.result);
        CHECK(parsed.isCompleteAtEnd == row.isCompleteAtEnd);
        if (row.result != ParseResult::Malformed)
            CHECK(parsed.head.keepsAlive == row.keepsAlive);
    }
}

TEST_CASE("a response is parsed alike whole and byte by byte")
{
    for (const auto& row : responseCases) {
        CAPTURE(row.name);
        std::string body;
        MessageParser parser(MessageParser::Kind::Response, { [](const MessageHead&) {}, [&](std::string_view piece) { body += piece; } }, headLimit);
        auto result = ParseResult::NeedsMore;
        for (std::size_t place = 0; place < row.bytes.size() && result == ParseResult::NeedsMore; ++place) {
            std::size_t consumed = 0;
            result = parser.feed(std::string_view(row.bytes).substr(place, 1), consumed);
        }
        CHECK(result == row.result);
        CHECK(body == parse(MessageParser::Kind::Response, row.bytes).body);
    }
}

TEST_CASE("the head of a malformed response is not reported")
{
    for (const auto& row : responseCases) {
        CAPTURE(row.name);
        const auto isHeadMalformed = row.result == ParseResult::Malformed && !row.keepsAlive;
        CHECK((parse(MessageParser::Kind::Response, row.bytes).head.status == 0) == isHeadMalformed);
    }
}

} // namespace
