#include "gatewayfixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <string>

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
        CAPTURE(std::string(row.name));
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

/** When a stream without length or chunks ends, and what becomes of its move. */
struct UnframedCase {
    enum class Order {
        StreamFirst, ///< The stream ends while the move is pending.
        MoveFirst, ///< The stream ends after the result of the move.
        MuchLater, ///< The stream goes on for long after the result of the move.
    };

    const char* name;
    const char* prefix;
    Order order;
    std::string moveAnswer; ///< The source's answer to the move; empty when it closes the connection without one.
    bool hasLastEvent; ///< Whether the stream ends with its last event, or before it.
    std::string otherAnswer; ///< What the engine answers that is asked to continue the run; empty when it refuses.
    bool isWhole; ///< Whether the caller gets the stream with its regular end.
    std::size_t otherRequests; ///< Number of requests that the other engine gets.
    std::size_t sourceRequests; ///< Number of requests, beside the move, that the source gets.
};

constexpr auto lastEvent = "id: 3\ndata: c\n\n";

auto moved() -> std::string
{
    return moveAnswer(200, R"({"handle":5,"created-rev":2})");
}

const UnframedCase unframedCases[] = {
    { "stopped, then moved", "/stream/", UnframedCase::Order::StreamFirst, moved(), false, lastEvent, true, 1, 1 },
    { "moved, then stopped", "/stream/", UnframedCase::Order::MoveFirst, moved(), false, lastEvent, true, 1, 1 },
    { "stopped and moved, may be resumed", "/chat/", UnframedCase::Order::StreamFirst, moved(), false, lastEvent, true, 1, 1 },
    { "stopped, and the copy is lost", "/stream/", UnframedCase::Order::StreamFirst, moved(), false, "", false, 1, 1 },
    { "stopped, no room at the destination", "/stream/", UnframedCase::Order::StreamFirst, moveAnswer(503, R"({"handle":5})"), false, lastEvent, true, 0, 2 },
    { "no room at the destination, then stopped", "/stream/", UnframedCase::Order::MoveFirst, moveAnswer(503, R"({"handle":5})"), false, lastEvent, true, 0, 2 },
    { "stopped, and the copy has no name", "/stream/", UnframedCase::Order::StreamFirst, moveAnswer(200, "{}"), false, lastEvent, false, 0, 1 },
    { "stopped, and the answer to the move is lost", "/stream/", UnframedCase::Order::StreamFirst, "", false, lastEvent, false, 0, 1 },
    { "the answer to the move is lost, then stopped", "/stream/", UnframedCase::Order::MoveFirst, "", false, lastEvent, false, 0, 1 },
    { "stopped, and the engine fails to answer", "/stream/", UnframedCase::Order::StreamFirst, moveAnswer(500, ""), false, lastEvent, false, 0, 1 },
    { "stopped, the answer to the move is lost, may be resumed", "/chat/", UnframedCase::Order::StreamFirst, "", false, lastEvent, true, 1, 1 },
    { "ended by itself, the move is refused", "/stream/", UnframedCase::Order::StreamFirst, moveAnswer(503, "{}"), true, "", true, 0, 1 },
    { "ended by itself, the engine has no such run", "/stream/", UnframedCase::Order::StreamFirst, moveAnswer(404, "{}"), true, "", true, 0, 1 },
    { "ended by itself, may be resumed, no such run", "/chat/", UnframedCase::Order::StreamFirst, moveAnswer(404, "{}"), true, "", true, 0, 1 },
    { "ended by itself, the answer to the move is lost", "/stream/", UnframedCase::Order::StreamFirst, "", true, "", true, 0, 1 },
    { "ended by itself, may be resumed, the answer is lost", "/chat/", UnframedCase::Order::StreamFirst, "", true, "", true, 0, 1 },
    { "the move is refused, then ended by itself", "/stream/", UnframedCase::Order::MoveFirst, moveAnswer(409, "{}"), true, "", true, 0, 1 },
    { "the answer to the move is lost, then ended by itself", "/stream/", UnframedCase::Order::MoveFirst, "", true, "", true, 0, 1 },
    { "the answer is lost, and the stream goes on and ends early", "/stream/", UnframedCase::Order::MuchLater, "", false, "", true, 0, 1 },
};

/** A node, an engine that streams without length or chunks and leaves, and another engine. */
struct UnframedFixture : GatewayFixture {
    explicit UnframedFixture(const UnframedCase& row)
        : source(loop, { "127.0.0.1", sourcePort }, [&row](const std::string& request) { return UnframedFixture::answer(request, row); })
        , other(loop, { "127.0.0.1", otherPort }, [&row](const std::string& request) { return UnframedFixture::continuation(request, row); })
        , prefix(row.prefix)
    {
        this->configure(1);
        this->registerServer("i-1", "llm", sourcePort);
    }

    static auto unframedHead(const std::string& request) -> std::string
    {
        return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Response-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
    }

    static auto answer(const std::string& request, const UnframedCase& row) -> ScriptedAnswer
    {
        if (isMove(request))
            return {};
        if (!headerOf(request, "Last-Event-Id").empty())
            return UnframedFixture::continuation(request, row);
        return { unframedHead(request) + "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" };
    }

    static auto continuation(const std::string& request, const UnframedCase& row) -> ScriptedAnswer
    {
        if (row.otherAnswer.empty())
            return { "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" };
        return { unframedHead(request) + row.otherAnswer, true };
    }

    /** Waits until the source is asked to move the run. */
    auto beginMove() -> bool
    {
        constexpr auto tokens = "X-Token-Counts: 100,3\r\n"; // Three events, of which the caller gets two.
        this->caller.emplace(this->loop, this->settings.callers);
        this->caller->send(GatewayFixture::makeRequest(this->prefix, "r1", tokens));
        if (!this->runUntil([&] { return this->caller->received.find("data: b") != std::string::npos; }))
            return false;
        this->registerServer("i-2", "llm", otherPort);
        this->runFor(200ms);
        this->registerServer("i-1", "llm", sourcePort, "draining", R"(,"leaves_ms":350)");
        return this->runUntil([&] { return isMove(this->source.requests.back()); });
    }

    auto answerMove(const std::string& bytes) -> void
    {
        this->source.sendTo("POST /kv-move ", bytes);
        if (bytes.empty())
            this->source.closeConnectionsOf("POST /kv-move ");
        this->runFor(50ms);
    }

    auto endStream(bool hasLastEvent) -> void
    {
        if (hasLastEvent)
            this->source.sendTo("POST " + this->prefix, lastEvent);
        this->source.closeConnectionsOf("POST " + this->prefix);
        this->runFor(50ms);
    }

    ScriptedServer source;
    ScriptedServer other;
    std::optional<RawCaller> caller;
    std::string prefix;
};

// Guards against a stream that its engine stopped for a move being passed on as a whole one.
TEST_CASE("a stream that ends with its connection is whole only when no move stopped its run")
{
    for (const auto& row : unframedCases) {
        CAPTURE(std::string(row.name));
        UnframedFixture fixture(row);
        REQUIRE(fixture.start());
        REQUIRE(fixture.beginMove());
        if (row.order == UnframedCase::Order::StreamFirst) {
            fixture.endStream(row.hasLastEvent);
            fixture.answerMove(row.moveAnswer);
        } else {
            fixture.answerMove(row.moveAnswer);
            if (row.order == UnframedCase::Order::MuchLater) {
                fixture.runFor(700ms);
                fixture.source.sendTo("POST " + fixture.prefix, ": still running\n\n");
                fixture.runFor(50ms);
            }
            fixture.endStream(row.hasLastEvent);
        }
        fixture.runUntil([&] { return fixture.caller->isClosed || fixture.caller->received.ends_with("0\r\n\r\n"); }, 2s);
        const auto& received = fixture.caller->received;
        CHECK(received.ends_with("0\r\n\r\n") == row.isWhole);
        const auto getsLastEvent = row.isWhole && row.order != UnframedCase::Order::MuchLater;
        CHECK((received.find("data: c") != std::string::npos) == getsLastEvent);
        CHECK(received.find("data: b") == received.rfind("data: b"));
        CHECK(fixture.other.requests.size() == row.otherRequests);
        const auto moves = std::count_if(fixture.source.requests.begin(), fixture.source.requests.end(), isMove);
        CHECK(moves == 1);
        CHECK(fixture.source.requests.size() - 1 == row.sourceRequests);
    }
}

} // namespace
