#include "gatewayfixture.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int sourcePort = 18321;
constexpr int otherPort = 18322;

auto isMove(const std::string& request) -> bool
{
    return request.starts_with("POST /kv-move ");
}

auto head(const std::string& request) -> std::string
{
    return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id")
        + "\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
}

auto moveAnswer(int status, const std::string& body) -> std::string
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr auto twoEvents = "1e\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n\r\n";
constexpr auto thirdEvent = "f\r\nid: 3\ndata: c\n\n\r\n0\r\n\r\n";

/** The engines' answers to a move, and what the caller gets. */
struct MoveCase {
    const char* name;
    int status; ///< Status of the source's answer to the move.
    const char* body;
    bool hasCopy; ///< Whether the other engine finds the copy.
    bool isComplete; ///< Whether the caller gets the whole answer.
    std::size_t otherRequests; ///< Number of requests that the other engine gets.
};

const MoveCase moveCases[] = {
    { "the run is moved", 200, R"({"handle":5,"created-rev":2})", true, true, 1 },
    { "the other engine has no copy", 200, R"({"handle":5,"created-rev":2})", false, false, 1 },
    { "the engine refuses the move", 503, "{}", true, false, 0 },
    { "the engine does not know the run", 404, "{}", true, false, 0 },
};

/** A node, an engine that sends two events and then leaves, and another engine. */
struct MoveFixture : GatewayFixture {
    explicit MoveFixture(const MoveCase& row)
        : source(loop, { "127.0.0.1", sourcePort }, [&row](const std::string& request) -> ScriptedAnswer {
            if (isMove(request))
                return { moveAnswer(row.status, row.body) };
            return { head(request) + twoEvents };
        })
        , other(loop, { "127.0.0.1", otherPort }, [&row](const std::string& request) -> ScriptedAnswer {
            if (!row.hasCopy)
                return { "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
            return { head(request) + thirdEvent };
        })
    {
        this->configure(1);
        this->registerServer("i-1", "llm", sourcePort);
    }

    [[nodiscard]] auto hasMoveRequest() const -> bool { return !this->source.requests.empty() && isMove(this->source.requests.back()); }

    ScriptedServer source;
    ScriptedServer other;
};

TEST_CASE("a run on a leaving engine continues on another engine from a copy of its state, or is not repeated")
{
    for (const auto& row : moveCases) {
        CAPTURE(row.name);
        MoveFixture fixture(row);
        REQUIRE(fixture.start());
        RawCaller caller(fixture.loop, fixture.settings.callers);
        caller.send(GatewayFixture::makeRequest("/stream/", "r1", "X-Token-Counts: 100,9000\r\n"));
        REQUIRE(fixture.runUntil([&] { return caller.received.find("data: b") != std::string::npos; }));
        fixture.registerServer("i-2", "llm", otherPort);
        fixture.runFor(100ms);
        fixture.registerServer("i-1", "llm", sourcePort, "draining");
        REQUIRE(fixture.runUntil([&] { return fixture.hasMoveRequest(); }));
        fixture.runFor(50ms);
        fixture.source.closeAll();

        fixture.runUntil([&] { return caller.isClosed || caller.received.ends_with("0\r\n\r\n"); }, 2s);
        CHECK(caller.received.ends_with("0\r\n\r\n") == row.isComplete);
        CHECK((caller.received.find("data: c") != std::string::npos) == row.isComplete);
        CHECK(fixture.other.requests.size() == row.otherRequests);
        if (row.otherRequests > 0) {
            CHECK(headerOf(fixture.other.requests.front(), "Kv-From") == "127.0.0.1:18321/5");
            CHECK(headerOf(fixture.other.requests.front(), "Last-Event-Id") == "2");
        }
    }
}

TEST_CASE("a run without a copy is not repeated when its route forbids it")
{
    const MoveCase row { "no engine can move", 404, "{}", true, false, 0 };
    MoveFixture fixture(row);
    fixture.registerServer("i-2", "llm", otherPort, "draining");
    REQUIRE(fixture.start());
    RawCaller caller(fixture.loop, fixture.settings.callers);
    caller.send(GatewayFixture::makeRequest("/stream/", "r1", "X-Token-Counts: 100,9000\r\n"));
    REQUIRE(fixture.runUntil([&] { return caller.received.find("data: b") != std::string::npos; }));
    fixture.registerServer("i-2", "llm", otherPort);
    fixture.runFor(100ms);
    fixture.source.closeAll();
    REQUIRE(fixture.runUntil([&] { return caller.isClosed; }));
    CHECK_FALSE(caller.received.ends_with("0\r\n\r\n"));
    CHECK(fixture.other.requests.empty());
}

} // namespace
