#include "messages.h"
#include "serverpairfixture.h"

#include <doctest/doctest.h>
#include <span>
#include <string>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr auto earlyEnd = 1s; ///< Time in which an attempt with a broken answer has to end; the timeout of the routes is 3 s.
constexpr auto answerBody = "data: hello\n\n";

/** A kind of route, and what its callers get after one broken answer. */
struct RouteCase {
    const char* prefix;
    const char* service;
    bool isStream;
    bool isRepeatable;
};

const RouteCase routeCases[] = {
    { "/once/", "app", false, false },
    { "/read/", "app", false, true },
    { "/stream/", "llm", true, false },
    { "/chat/", "llm", true, true },
};

const std::string goodStart = "HTTP/1.1 200 X\r\n";

/** A head that is no head of an HTTP answer. */
struct HeadCase {
    const char* name;
    std::string start; ///< The status line, with its end.
    std::string before = {}; ///< Lines between the status line and those of every answer.
    std::string after = {}; ///< Lines after those of every answer.
};

const HeadCase statusCases[] = {
    { "status 000", "HTTP/1.1 000 X\r\n" },
    { "status 099", "HTTP/1.1 099 X\r\n" },
    { "status 600", "HTTP/1.1 600 X\r\n" },
    { "status 999", "HTTP/1.1 999 X\r\n" },
    { "status of one digit", "HTTP/1.1 2 X\r\n" },
    { "status of two digits", "HTTP/1.1 20 X\r\n" },
    { "status of four digits", "HTTP/1.1 0200 X\r\n" },
    { "status of four digits that begins like one", "HTTP/1.1 2000 X\r\n" },
    { "status with a letter", "HTTP/1.1 20a X\r\n" },
    { "status with a letter at its end", "HTTP/1.1 200a X\r\n" },
    { "status with a sign", "HTTP/1.1 +200 X\r\n" },
    { "negative status", "HTTP/1.1 -200 X\r\n" },
    { "status after two spaces", "HTTP/1.1  200 X\r\n" },
    { "status after a tab", "HTTP/1.1\t200 X\r\n" },
    { "no status", "HTTP/1.1\r\n" },
    { "no status, with a reason", "HTTP/1.1 OK\r\n" },
    { "another protocol, which was not asked for", "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: x\r\n" },
    { "a reason with a control byte", "HTTP/1.1 200 X\x01\r\n" },
};

const HeadCase versionCases[] = {
    { "version 0.9", "HTTP/0.9 200 X\r\n" },
    { "version 2.0", "HTTP/2.0 200 X\r\n" },
    { "version 2", "HTTP/2 200 X\r\n" },
    { "version 9.1", "HTTP/9.1 200 X\r\n" },
    { "version with two digits", "HTTP/1.10 200 X\r\n" },
    { "version with a comma", "HTTP/1,1 200 X\r\n" },
    { "version with a letter", "HTTP/1.x 200 X\r\n" },
    { "no version", "HTTP 200 X\r\n" },
    { "small letters", "http/1.1 200 X\r\n" },
    { "another name", "HTXP/1.1 200 X\r\n" },
    { "another protocol", "ICY 200 X\r\n" },
    { "no start line", "" },
};

const HeadCase nameCases[] = {
    { "blank in the first name", goodStart, "X Blank: 1\r\n" },
    { "blank in the last name", goodStart, "", "X Blank: 1\r\n" },
    { "blank before the first colon", goodStart, "X-Blank : 1\r\n" },
    { "blank before the last colon", goodStart, "", "X-Blank : 1\r\n" },
    { "tab in the first name", goodStart, "X\tTab: 1\r\n" },
    { "tab in the last name", goodStart, "", "X\tTab: 1\r\n" },
    { "control byte in the first name", goodStart, "X\x01Key: 1\r\n" },
    { "control byte in the last name", goodStart, "", "X\x01Key: 1\r\n" },
    { "zero byte in the last name", goodStart, "", std::string("X\0Zero: 1\r\n", 11) },
    { "carriage return in the last name", goodStart, "", "X\rReturn: 1\r\n" },
    { "delete byte in the last name", goodStart, "", "X\x7f: 1\r\n" },
    { "byte above ASCII in the last name", goodStart, "", "X\xe9: 1\r\n" },
    { "separator in the last name", goodStart, "", "X(Y): 1\r\n" },
    { "empty first name", goodStart, ": 1\r\n" },
    { "empty last name", goodStart, "", ": 1\r\n" },
    { "first line without a colon", goodStart, "X-Line\r\n" },
    { "last line without a colon", goodStart, "", "X-Line\r\n" },
    { "blank before the first name", goodStart, " X-First: 1\r\n" },
    { "blank in the name of a second length", goodStart, "Content-Length : 3\r\n" },
    { "control byte in the last value", goodStart, "", "X-Value: a\x01z\r\n" },
    { "zero byte in the last value", goodStart, "", std::string("X-Value: a\0z\r\n", 14) },
    { "carriage return in the last value", goodStart, "", "X-Value: a\rz\r\n" },
    { "carriage return before the end of the head", goodStart, "", "\rX" },
};

const HeadCase lengthCases[] = {
    { "two different lengths", goodStart, "Content-Length: 3\r\n", "Content-Length: 4\r\n" },
    { "length with a sign", goodStart, "Content-Length: +3\r\n" },
    { "negative length", goodStart, "Content-Length: -3\r\n" },
    { "empty length", goodStart, "Content-Length:\r\n" },
    { "length with a letter", goodStart, "Content-Length: 3a\r\n" },
    { "list of lengths", goodStart, "Content-Length: 13, 13\r\n" },
    { "length above every number", goodStart, "Content-Length: 99999999999999999999\r\n" },
    { "length beside chunks", goodStart, "Content-Length: 13\r\n", "Transfer-Encoding: chunked\r\n" },
    { "unknown transfer coding", goodStart, "Transfer-Encoding: gzip\r\n" },
    { "unknown transfer coding beside chunks", goodStart, "Transfer-Encoding: gzip, chunked\r\n" },
    { "chunks that are not the last coding", goodStart, "Transfer-Encoding: chunked, identity\r\n" },
};

/** Returns an answer to \a request with the head of \a row, after which the connection stays open. */
auto makeAnswer(const std::string& request, const HeadCase& row, bool isStream, bool hasOwnFraming) -> std::string
{
    auto bytes = row.start + row.before + "X-Attempt-Id: " + requestIdOf(request) + "\r\nX-Response-Seal: s\r\n";
    if (isStream)
        bytes += "Content-Type: text/event-stream\r\n";
    if (hasOwnFraming)
        return bytes + row.after + "\r\n" + answerBody;
    const std::string body(answerBody);
    if (isStream)
        return bytes + "Transfer-Encoding: chunked\r\n" + row.after + "\r\n" + chunk(body) + chunk("");
    return bytes + "Content-Length: " + std::to_string(body.size()) + "\r\n" + row.after + "\r\n" + body;
}

auto goodAnswer(const std::string& request) -> ScriptedAnswer
{
    return { GatewayFixture::answerTo(request, 200, "again") };
}

/** Broken heads of one kind. */
struct HeadGroup {
    std::span<const HeadCase> rows;
    bool hasOwnFraming; ///< Whether the rows name the length of the body themselves.
};

const HeadGroup headGroups[] = {
    { statusCases, false },
    { versionCases, false },
    { nameCases, false },
    { lengthCases, true },
};

// Guards against an answer whose status, version, field names or length are none being passed on, or taken for an interim one and waited for.
TEST_CASE("an answer with a broken head ends its attempt at once and is not passed on")
{
    for (const auto& group : headGroups) {
        for (const auto& row : group.rows) {
            for (const auto& route : routeCases) {
                CAPTURE(std::string(row.name));
                CAPTURE(std::string(route.prefix));
                const auto first = [&](const std::string& request) -> ScriptedAnswer { return { makeAnswer(request, row, route.isStream, group.hasOwnFraming) }; };
                ServerPairFixture fixture(route.service, first, goodAnswer);
                const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(route.prefix, "r1"), earlyEnd);
                CHECK(statusOf(answer) == (route.isRepeatable ? 200 : 502));
                CHECK(isCompleteAnswer(answer));
                CHECK(bodyOf(answer) == (route.isRepeatable ? "again" : ""));
                CHECK(fixture.requestCount == (route.isRepeatable ? 2 : 1));
                CHECK(fixture.runUntil([&] { return fixture.closedCount() == 1; }, earlyEnd));
            }
        }
    }
}

TEST_CASE("a broken head is found when it comes byte by byte")
{
    for (const auto& row : { statusCases[0], versionCases[1], nameCases[1] }) {
        CAPTURE(std::string(row.name));
        const auto first = [&row](const std::string& request) -> ScriptedAnswer {
            ScriptedAnswer answer;
            for (const auto byte : makeAnswer(request, row, true, false))
                answer.later.push_back({ 1ms, std::string(1, byte) });
            return answer;
        };
        ServerPairFixture fixture("llm", first, goodAnswer);
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest("/stream/", "r1"));
        CHECK(statusOf(answer) == 502);
        CHECK(fixture.requestCount == 1);
    }
}

/** An unusual head that HTTP allows. */
struct SoundCase {
    const char* name;
    std::string start;
    std::string lines; ///< Lines beside those of every answer.
};

const SoundCase soundCases[] = {
    { "no reason", "HTTP/1.1 200\r\n", "" },
    { "empty reason", "HTTP/1.1 200 \r\n", "" },
    { "long reason", "HTTP/1.1 200 all\tis \xc3\xa9 well\r\n", "" },
    { "version 1.0", "HTTP/1.0 200 X\r\n", "" },
    { "later minor version", "HTTP/1.9 200 X\r\n", "" },
    { "every kind of byte in a name", goodStart, "!#$%&'*+-.^_`|~09azAZ: 1\r\n" },
    { "empty value", goodStart, "X-Empty:\r\n" },
    { "tabs and spaces around a value", goodStart, "X-Blank:\t 1 \t\r\n" },
    { "bytes above ASCII in a value", goodStart, "X-Text: \xc3\xa9\r\n" },
    { "value on two lines", goodStart, "X-Lines: 1,\r\n 2\r\n" },
    { "lines that end with a line feed only", "HTTP/1.1 200 X\n", "X-Own: 1\n" },
    { "interim answer before", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 X\r\n", "" },
};

TEST_CASE("an answer with an unusual head that HTTP allows is passed on")
{
    for (const auto& row : soundCases) {
        for (const auto& route : routeCases) {
            CAPTURE(std::string(row.name));
            CAPTURE(std::string(route.prefix));
            const auto first = [&](const std::string& request) -> ScriptedAnswer { return { makeAnswer(request, { "", row.start, row.lines }, route.isStream, false) }; };
            ServerPairFixture fixture(route.service, first, goodAnswer);
            const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(route.prefix, "r1"));
            CHECK(statusOf(answer) == 200);
            CHECK(bodyOf(answer) == answerBody);
            CHECK(isCompleteAnswer(answer));
            CHECK(fixture.requestCount == 1);
        }
    }
}

} // namespace
