#include "gatewayfixture.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 18321;
constexpr int serverCount = 3;
constexpr int rounds = 8; ///< Crashing requests before the node must refuse further ones.
constexpr int soundPerRound = 6;
constexpr auto roundPause = 300ms; ///< Crashes count apart at this distance.
constexpr auto contact = 3s; ///< Time after the crashes within which the node has to refuse the part.

constexpr auto deadlyParts = "X-Prompt-Prefix: a1:800,dead:410,e4:250\r\n";

/** A node with servers that close the connection on prompts with one part, after a beginning of an answer. */
struct QuarantineFixture : GatewayFixture {
    /** \a beginning follows the status line and the id in the answer to such prompts; nothing is sent when it is empty. */
    explicit QuarantineFixture(const std::string& record = "", const std::string& service = "app", const std::string& beginning = "")
    {
        const auto script = [beginning](const std::string& request) -> ScriptedAnswer {
            if (request.find("dead:410") == std::string::npos)
                return { GatewayFixture::answerTo(request, 200, "hello") };
            return { beginning.empty() ? "" : "HTTP/1.1 200 X\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id") + "\r\nX-Response-Seal: s\r\n" + beginning, true };
        };
        this->configure(1);
        if (!record.empty())
            this->platform.put("primrosefork/quarantine", record);
        for (int index = 0; index < serverCount; ++index) {
            this->servers.push_back(std::make_unique<ScriptedServer>(this->loop, Address { "127.0.0.1", static_cast<std::uint16_t>(firstPort + index) }, script));
            this->registerServer("i-" + std::to_string(index), service, firstPort + index);
        }
        REQUIRE(this->start());
    }

    auto send(const std::string& parts, const std::string& prefix = "/once/") -> std::string
    {
        return this->sendRequest(GatewayFixture::makeRequest(prefix, "r" + std::to_string(this->nextId++), parts));
    }

    [[nodiscard]] auto deadlyArrivals() const -> int
    {
        int count = 0;
        for (const auto& server : this->servers) {
            for (const auto& request : server->requests)
                count += request.find("dead:410") != std::string::npos ? 1 : 0;
        }
        return count;
    }

    std::vector<std::unique_ptr<ScriptedServer>> servers;
    int nextId = 1;
};

struct SoundCase {
    const char* name;
    const char* parts;
};

const SoundCase soundCases[] = {
    { "the same first part", "X-Prompt-Prefix: a1:800,b2:410,e4:250\r\n" },
    { "the same first part and no other", "X-Prompt-Prefix: a1:800,e4:250\r\n" },
    { "no parts", "" },
    { "the deadly part as the last one, which no engine shares", "X-Prompt-Prefix: a1:800,dead:411\r\n" },
};

// Guards against prompts that crash one engine after the other, as each node sent them on.
TEST_CASE("a prompt part on which servers crash is refused at once, and requests that share the rest are served")
{
    QuarantineFixture fixture;
    for (int round = 0; round < rounds; ++round) {
        fixture.send(deadlyParts);
        for (int sound = 0; sound < soundPerRound; ++sound)
            CHECK(fixture.send(soundCases[0].parts).starts_with("HTTP/1.1 200"));
        fixture.runFor(roundPause);
    }
    fixture.runFor(contact);
    const auto arrivals = fixture.deadlyArrivals();
    CHECK(arrivals >= 4);
    const auto sent = EventLoop::now();
    const auto answer = fixture.send(deadlyParts);
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(EventLoop::now() - sent < 100ms);
    const auto retryAfter = headerOf(answer, "Retry-After");
    CHECK_FALSE(retryAfter.empty());
    CHECK(std::atoi(retryAfter.c_str()) > 60);
    CHECK(fixture.deadlyArrivals() == arrivals);
    for (const auto& row : soundCases) {
        CAPTURE(row.name);
        CHECK(fixture.send(row.parts).starts_with("HTTP/1.1 200"));
    }
    CHECK(fixture.platform.valueOf("primrosefork/quarantine").find("dead") != std::string::npos);
}

constexpr auto streamHead = "Content-Type: text/event-stream\r\n\r\n";
constexpr auto chunkedStreamHead = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

struct BeginningCase {
    const char* name;
    const char* service;
    const char* prefix;
    std::string beginning; ///< What a server sends before it crashes.
};

const BeginningCase beginningCases[] = {
    { "the head and a part of the body", "app", "/once/", "Content-Length: 5\r\n\r\nhel" },
    { "the head of a stream in chunks", "llm", "/stream/", chunkedStreamHead },
    { "the head of a stream that ends with its connection", "llm", "/stream/", streamHead },
    { "a part of the first event in chunks", "llm", "/stream/", std::string(chunkedStreamHead) + "9\r\nid: 1\ndat\r\n" },
    { "a part of the first event of a stream that ends with its connection", "llm", "/stream/", std::string(streamHead) + "id: 1\ndat" },
    { "the first event in chunks", "llm", "/stream/", std::string(chunkedStreamHead) + "f\r\nid: 1\ndata: a\n\n\r\n" },
    { "the first event and a part of the second of a stream that ends with its connection", "llm", "/stream/", std::string(streamHead) + "id: 1\ndata: a\n\nid: 2\nda" },
};

// Guards against a crash that counts as the begin of an answer, so that the part is never found.
TEST_CASE("a prompt part is refused however far the answers came before the servers crashed")
{
    for (const auto& row : beginningCases) {
        INFO(std::string(row.name));
        QuarantineFixture fixture("", row.service, row.beginning);
        for (int round = 0; round < rounds; ++round) {
            fixture.send(deadlyParts, row.prefix);
            for (int sound = 0; sound < soundPerRound; ++sound)
                CHECK(fixture.send(soundCases[0].parts, row.prefix).starts_with("HTTP/1.1 200"));
            fixture.runFor(roundPause);
        }
        fixture.runFor(contact);
        CHECK(fixture.send(deadlyParts, row.prefix).starts_with("HTTP/1.1 503"));
        CHECK(fixture.send(soundCases[0].parts, row.prefix).starts_with("HTTP/1.1 200"));
    }
}

struct RecordCase {
    const char* name;
    const char* record; ///< What the store holds when the node starts.
    bool isRefused; ///< Whether the part is refused from the start.
};

const RecordCase recordCases[] = {
    { "no record", "", false },
    { "the part", R"([{"service":"app","part":"dead","left_ms":60000}])", true },
    { "the part after items of other types", R"([7,{"service":1,"part":"dead","left_ms":60000},{"service":"app","part":"dead","left_ms":-1},{"service":"app","part":"dead","left_ms":60000}])", true },
    { "the part of another service", R"([{"service":"llm","part":"dead","left_ms":60000}])", false },
    { "no time left", R"([{"service":"app","part":"dead","left_ms":0}])", false },
    { "a part that is no number", R"([{"service":"app","part":"deaf-","left_ms":60000}])", false },
    { "no JSON", "dead", false },
};

TEST_CASE("a node that starts refuses the parts in the store's record, and goes on to")
{
    for (const auto& row : recordCases) {
        INFO(std::string(row.name));
        QuarantineFixture fixture(row.record);
        CHECK(fixture.send(deadlyParts).starts_with(row.isRefused ? "HTTP/1.1 503" : "HTTP/1.1 502"));
        fixture.runFor(contact);
        CHECK(fixture.send(deadlyParts).starts_with(row.isRefused ? "HTTP/1.1 503" : "HTTP/1.1 502"));
        CHECK(fixture.send(soundCases[0].parts).starts_with("HTTP/1.1 200"));
    }
}

// Guards against a record that outlives its quarantine, so that nodes that start later would refuse the part again.
TEST_CASE("the leader removes a part from the store's record when its time is over")
{
    QuarantineFixture fixture(R"([{"service":"app","part":"dead","left_ms":300}])");
    CHECK(fixture.runUntil([&] { return fixture.platform.valueOf("primrosefork/quarantine") == "[]"; }, 5s));
}

} // namespace
