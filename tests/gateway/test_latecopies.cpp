#include "gatewayfixture.h"
#include "messages.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int serverPort = 18321;
constexpr auto notRunLine = "X-Not-Executed: 1\r\n";
constexpr int servedBefore = 20; ///< Requests after which the node knows how long the service takes, and holds requests that find it full.

struct CopyCase {
    const char* name;
    const char* prefix;
    bool isStream;
    bool isImmediate; ///< Whether the copy is written at once when the next request arrives on the connection, or 35 ms after the refusal.
};

const CopyCase copyCases[] = {
    { "of a call that may not repeat, before the next answer", "/once/", false, true },
    { "of a call that may not repeat, while the next request runs", "/once/", false, false },
    { "of a call that may repeat, before the next answer", "/read/", false, true },
    { "of a stream that may not repeat, before the next answer", "/stream/", true, true },
    { "of a stream that may not repeat, while the next request runs", "/stream/", true, false },
    { "of a stream that may be resumed, before the next answer", "/chat/", true, true },
};

// Guards against the late copy of a refusal that counts for the next sending of the same request, which then runs again or is refused though it runs.
TEST_CASE("the late copy of a refusal does not answer the next sending of its request")
{
    for (const auto& row : copyCases) {
        CAPTURE(std::string(row.name));
        GatewayFixture fixture;
        fixture.settings.admission.enabled = true;
        auto sendings = 0;
        const ScriptedServer server(fixture.loop, { "127.0.0.1", serverPort }, [&](const std::string& request) -> ScriptedAnswer {
            ScriptedAnswer answer;
            auto text = row.isStream ? streamHead(request) + chunk("id: 1\ndata: a\n\n") + chunk("") : answerTo(request, 200, requestIdOf(request));
            if (requestIdOf(request) != "held" || ++sendings > 1) {
                answer.later.push_back({ 30ms, std::move(text) });
                return answer;
            }
            answer.bytes = answerTo(request, 503, "", notRunLine);
            if (row.isImmediate)
                answer.beforeNext = answer.bytes;
            else
                answer.later.push_back({ 35ms, answer.bytes });
            return answer;
        });
        fixture.configure(1);
        fixture.registerServer("i-1", row.isStream ? "llm" : "app", serverPort);
        REQUIRE(fixture.start());
        for (int number = 0; number < servedBefore; ++number)
            REQUIRE(statusOf(fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "before-" + std::to_string(number)))) == 200);
        const auto answer = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "held"));
        CHECK(statusOf(answer) == 200);
        CHECK(bodyOf(answer) == (row.isStream ? "id: 1\ndata: a\n\n" : "held"));
        fixture.runFor(100ms);
        CHECK(sendings == 2);
        const auto next = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "next"));
        CHECK(statusOf(next) == 200);
        CHECK(bodyOf(next) == (row.isStream ? "id: 1\ndata: a\n\n" : "next"));
    }
}

} // namespace
