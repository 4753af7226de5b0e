#include "gatewayfixture.h"
#include "messages.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 18321;
constexpr int secondPort = 18322;

struct RefusalCase {
    const char* name;
    const char* prefix;
    int status; ///< Status of the server, which has run the request.
    int expected; ///< Status that the caller gets.
    int runs;
};

const RefusalCase refusalCases[] = {
    { "503 for what may not repeat", "/once/", 503, 502, 1 },
    { "429 for what may not repeat", "/once/", 429, 502, 1 },
    { "408 for what may not repeat", "/once/", 408, 502, 1 },
    { "503 for a stream that may not repeat", "/stream/", 503, 502, 1 },
    { "429 for a stream that may not repeat", "/stream/", 429, 502, 1 },
    { "408 for a stream that may not repeat", "/stream/", 408, 502, 1 },
    { "500 for what may not repeat", "/once/", 500, 500, 1 },
    { "504 for what may not repeat", "/once/", 504, 504, 1 },
    { "409 for what may not repeat", "/once/", 409, 409, 1 },
    { "503 for what may repeat", "/read/", 503, 503, 2 },
    { "429 for what may repeat", "/read/", 429, 429, 1 },
    { "408 for what may repeat", "/read/", 408, 408, 1 },
    { "503 for a stream that may be resumed", "/chat/", 503, 503, 2 },
};

// Guards against a refusal of a server that has run the request, after which the caller sends it again.
TEST_CASE("a caller is told that a request has not run only when its server stated so")
{
    for (const auto& row : refusalCases) {
        CAPTURE(std::string(row.name));
        GatewayFixture fixture;
        auto runs = 0;
        const auto script = [&runs, &row](const std::string& request) -> ScriptedAnswer {
            ++runs;
            return { answerTo(request, row.status, "failed", "Retry-After: 1\r\n") };
        };
        const ScriptedServer first(fixture.loop, { "127.0.0.1", firstPort }, script);
        const ScriptedServer second(fixture.loop, { "127.0.0.1", secondPort }, script);
        const auto isEngine = std::string_view(row.prefix) == "/stream/" || std::string_view(row.prefix) == "/chat/";
        fixture.configure(1);
        fixture.registerServer("i-1", isEngine ? "llm" : "app", firstPort);
        fixture.registerServer("i-2", isEngine ? "llm" : "app", secondPort);
        REQUIRE(fixture.start());
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "r1"));
        CHECK(statusOf(answer) == row.expected);
        CHECK(runs == row.runs);
        // The mark and the body of a server belong to its own status.
        const auto isServersAnswer = row.expected == row.status;
        CHECK((headerOf(answer, "X-Response-Seal") != "") == isServersAnswer);
        CHECK((bodyOf(answer) == "failed") == isServersAnswer);
    }
}

} // namespace
