#include "messageparser.h"

#include <doctest/doctest.h>
#include <string>

using namespace Primrosefork;

namespace {

constexpr std::size_t headLimit = 1024;

struct Parsed {
    ParseResult result = ParseResult::NeedsMore;
    std::size_t taken = 0;
    std::string body;
    MessageHead head;
    bool isWholeAtEnd = false;
};

auto parse(MessageParser::Kind kind, const std::string& bytes) -> Parsed
{
    Parsed parsed;
    MessageParser parser(kind, { [&](const MessageHead& head) { parsed.head = head; }, [&](std::string_view piece) { parsed.body += piece; } }, headLimit);
    parsed.result = parser.feed(bytes, parsed.taken);
    if (parsed.result == ParseResult::NeedsMore)
        parsed.isWholeAtEnd = parser.finish();
    return parsed;
}

struct RequestCase {
    const char* name;
    std::string bytes;
    ParseResult result;
    std::string body;
};

const RequestCase requestCases[] = {
    { "without a body", "GET /a?b=1 HTTP/1.1\r\nHost: x\r\n\r\n", ParseResult::Complete, "" },
    { "with a length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", ParseResult::Complete, "abc" },
    { "in chunks", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n", ParseResult::Complete, "abc" },
    { "not whole yet", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nab", ParseResult::NeedsMore, "ab" },
    { "length and chunks", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ParseResult::Malformed, "" },
    { "two lengths", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", ParseResult::Malformed, "" },
    { "a signed length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc", ParseResult::Malformed, "" },
    { "an unknown encoding", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", ParseResult::Malformed, "" },
    { "a space before the colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", ParseResult::Malformed, "" },
    { "no request at all", "\x16\x03\x01garbage", ParseResult::Malformed, "" },
    { "a head that is too large", "GET / HTTP/1.1\r\nX: " + std::string(2'000, 'a') + "\r\n\r\n", ParseResult::Complete, "" },
};

TEST_CASE("requests")
{
    for (const auto& row : requestCases) {
        CAPTURE(row.name);
        const auto parsed = parse(MessageParser::Kind::Request, row.bytes);
        CHECK(parsed.result == row.result);
        CHECK(parsed.body == row.body);
    }
}

TEST_CASE("a head that grows beyond its limit is refused before it is whole")
{
    MessageParser parser(MessageParser::Kind::Request, { [](const MessageHead&) {}, [](std::string_view) {} }, headLimit);
    std::size_t taken = 0;
    REQUIRE(parser.feed("GET / HTTP/1.1\r\nX: ", taken) == ParseResult::NeedsMore);
    CHECK(parser.feed(std::string(2'000, 'a'), taken) == ParseResult::HeadTooLarge);
}

TEST_CASE("bytes of the next message are left")
{
    const std::string first = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n";
    const auto parsed = parse(MessageParser::Kind::Request, first + "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(parsed.result == ParseResult::Complete);
    CHECK(parsed.head.target == "/1");
    CHECK(parsed.taken == first.size());
}

struct ResponseCase {
    const char* name;
    std::string bytes;
    ParseResult result;
    bool isWholeAtEnd; ///< When the connection ends cleanly after the bytes.
    bool keepsAlive;
};

const ResponseCase responseCases[] = {
    { "with a length", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", ParseResult::Complete, false, true },
    { "shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nab", ParseResult::NeedsMore, false, true },
    { "without a length", "HTTP/1.1 200 OK\r\n\r\nab", ParseResult::NeedsMore, true, false },
    { "chunks without the last", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", ParseResult::NeedsMore, false, true },
    { "the server closes", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", ParseResult::Complete, false, false },
    { "no response", "ab HTTP", ParseResult::Malformed, false, false },
};

TEST_CASE("responses")
{
    for (const auto& row : responseCases) {
        CAPTURE(row.name);
        const auto parsed = parse(MessageParser::Kind::Response, row.bytes);
        CHECK(parsed.result == row.result);
        CHECK(parsed.isWholeAtEnd == row.isWholeAtEnd);
        if (row.result != ParseResult::Malformed)
            CHECK(parsed.head.keepsAlive == row.keepsAlive);
    }
}

} // namespace
