#include "gatewayfixture.h"
#include "messages.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <utility>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 18321;
constexpr int secondPort = 18322;
constexpr auto notRunLine = "X-Not-Executed: 1\r\n";

auto refusalWithoutId(int status) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + notRunLine + "Content-Length: 0\r\n\r\n";
}

struct RefusalCase {
    const char* name;
    const char* prefix; ///< Route of the second request.
    bool hasId; ///< Whether the repeated refusal names the request that it belongs to.
    int repeats;
    int status; ///< Status that the caller of the second request gets.
    std::size_t runs; ///< Number of times that the second request reaches a server.
};

const RefusalCase refusalCases[] = {
    { "with its id, before the answer to what may not run twice", "/once/", true, 1, 200, 1 },
    { "with its id, before the answer to what may", "/read/", true, 1, 200, 1 },
    { "with its id, three times", "/once/", true, 3, 200, 1 },
    { "without an id, before the answer to what may not run twice", "/once/", false, 1, 502, 1 },
    { "without an id, before the answer to what may", "/read/", false, 1, 200, 2 },
};

// Guards against an earlier refusal that a server writes again on a kept connection, and that counts for the next request.
TEST_CASE("a refusal that a server repeats does not make the next request count as not run")
{
    for (const auto& row : refusalCases) {
        CAPTURE(row.name);
        GatewayFixture fixture;
        std::vector<std::string> received;
        const auto repeatedFor = [&row](const std::string& id) {
            const auto refusal = row.hasId ? GatewayFixture::answerTo("X-Attempt-Id: " + id + "\r\n", 503, "", notRunLine) : refusalWithoutId(503);
            std::string text;
            for (int count = 0; count < row.repeats; ++count)
                text += refusal;
            return text;
        };
        const ScriptedServer server(fixture.loop, { "127.0.0.1", firstPort }, [&](const std::string& request) -> ScriptedAnswer {
            received.push_back(requestIdOf(request));
            if (received.back() == "first")
                return { GatewayFixture::answerTo(request, 503, "", notRunLine) };
            return { repeatedFor("first"), false, false, "", { { 100ms, GatewayFixture::answerTo(request, 200, "hello") } } };
        });
        const ScriptedServer second(fixture.loop, { "127.0.0.1", secondPort }, [&](const std::string& request) -> ScriptedAnswer {
            received.push_back(requestIdOf(request));
            return { GatewayFixture::answerTo(request, 200, "hello") };
        });
        fixture.configure(1);
        fixture.registerServer("i-1", "app", firstPort);
        REQUIRE(fixture.start());
        CHECK(statusOf(fixture.sendRequest(GatewayFixture::makeRequest("/once/", "first"))) == 503);
        if (row.runs == 2) {
            fixture.registerServer("i-2", "app", secondPort);
            REQUIRE(fixture.runUntil([&] { return fixture.node->board().backendServers.value().contains("i-2"); }));
        }
        // The servers are chosen by their load, so that the request is sent until the first one gets it.
        std::string answer;
        for (int number = 0; number < 20 && std::count(received.begin(), received.end(), "next") == 0; ++number)
            answer = fixture.sendRequest(GatewayFixture::makeRequest(row.prefix, "next"));
        CHECK(statusOf(answer) == row.status);
        CHECK(static_cast<std::size_t>(std::count(received.begin(), received.end(), "next")) >= 1);
        CHECK(static_cast<std::size_t>(std::count(received.begin(), received.end(), "next")) <= row.runs);
    }
}

struct RestCase {
    const char* name;
    std::string head; ///< Head of the answer of the second engine, which gets the rest of the stream; ID stands for the request's id.
    std::string body;
    bool closes;
};

const RestCase restCases[] = {
    { "an error of its own", "HTTP/1.1 500 X\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Length: 6\r\n\r\n", "failed", false },
    { "an error that is typed as a stream", "HTTP/1.1 500 X\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\nContent-Length: 20\r\n\r\n", "id: 3\ndata: failed\n\n", false },
    { "an error without a length", "HTTP/1.1 502 X\r\nX-Attempt-Id: ID\r\n\r\n", "failed", true },
    { "a client's error", "HTTP/1.1 404 X\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Length: 6\r\n\r\n", "failed", false },
    { "a refusal", "HTTP/1.1 503 X\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\nContent-Length: 6\r\n\r\n", "failed", false },
    { "a redirection", "HTTP/1.1 302 X\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nLocation: /failed\r\nContent-Length: 6\r\n\r\n", "failed", false },
    { "a success that is no stream", "HTTP/1.1 200 X\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Length: 6\r\n\r\n", "failed", false },
    { "a stream without the mark of a run", "HTTP/1.1 200 X\r\nX-Attempt-Id: ID\r\nContent-Type: text/event-stream\r\nContent-Length: 20\r\n\r\n", "id: 3\ndata: failed\n\n", false },
    { "an empty success", "HTTP/1.1 204 X\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\n\r\n", "", false },
    { "a stream that ends before its first event", "HTTP/1.1 200 X\r\nX-Attempt-Id: ID\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "", true },
    { "bytes that are no answer", "failed\r\n\r\n", "failed", true },
};

// Guards against the error of the engine that is to go on with a stream, which gets into the stream or ends it as if it were complete.
TEST_CASE("a stream that another engine does not go on with is broken off, without a byte of that engine's answer")
{
    for (const auto& row : restCases) {
        CAPTURE(row.name);
        GatewayFixture fixture;
        auto requests = 0;
        const auto script = [&](const std::string& request) -> ScriptedAnswer {
            if (requests++ == 0)
                return { streamHead(request) + chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), true, true };
            auto head = row.head;
            if (const auto place = head.find("ID"); place != std::string::npos)
                head.replace(place, 2, requestIdOf(request));
            return { head + row.body, row.closes };
        };
        const ScriptedServer first(fixture.loop, { "127.0.0.1", firstPort }, script);
        const ScriptedServer second(fixture.loop, { "127.0.0.1", secondPort }, script);
        fixture.configure(1);
        fixture.registerServer("i-1", "llm", firstPort);
        fixture.registerServer("i-2", "llm", secondPort);
        REQUIRE(fixture.start());
        RawCaller caller(fixture.loop, fixture.settings.callers);
        caller.send(GatewayFixture::makeRequest("/chat/", "s1"));
        CHECK(fixture.runUntil([&] { return caller.isClosed || caller.received.ends_with("0\r\n\r\n"); }, 4s));
        CHECK(requests == 2);
        CHECK(caller.isClosed);
        CHECK(bodyOf(caller.received) == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        CHECK(caller.received.find("failed") == std::string::npos);
        CHECK(caller.received.find("HTTP/1.1", 1) == std::string::npos);
        CHECK_FALSE(caller.received.ends_with("0\r\n\r\n"));
    }
}

} // namespace
