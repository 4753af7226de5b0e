#include "gatewayfixture.h"
#include "messages.h"
#include "units.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int serverPort = 18321;
constexpr int otherPort = 18322;
constexpr std::size_t memory = 32 * mebibyte;
constexpr std::size_t bufferLimit = memory / 4; ///< Documented in docs/GATEWAY.md.
constexpr std::size_t tolerance = mebibyte; ///< What may be read between the give-up of a buffer and its release.
constexpr int requestCount = 24;
constexpr std::size_t partBytes = 900 * kibibyte; ///< Bytes of each large buffer; all together they exceed the limit, each one alone is allowed.

/** Where bytes are buffered that do not make a whole request or answer. */
struct BufferCase {
    enum class Place {
        Answer,
        Event,
        Upload,
    };

    const char* name;
    const char* prefix;
    Place place;
    int status; ///< Of the requests whose buffers are given up.
};

using Place = BufferCase::Place;

const BufferCase bufferCases[] = {
    { "answers without an end", "/once/", Place::Answer, 502 },
    { "events without an end", "/stream/", Place::Event, 502 },
    { "requests without an end", "/once/", Place::Upload, 503 },
};

struct BufferFixture : GatewayFixture {
    explicit BufferFixture(const BufferCase& row)
        : server(loop, { "127.0.0.1", serverPort }, [this, &row](const std::string& request) { return this->answer(request, row); })
    {
        this->settings.memory = memory;
        this->configure(1);
        this->registerServer("i-1", std::string(row.prefix) == "/stream/" ? "llm" : "app", serverPort);
        REQUIRE(this->start());
    }

    [[nodiscard]] auto answer(const std::string& request, const BufferCase& row) const -> ScriptedAnswer
    {
        const auto head = "HTTP/1.1 200 X\r\nX-Attempt-Id: " + requestIdOf(request) + "\r\nX-Response-Seal: s\r\n";
        if (requestIdOf(request) == "small")
            return { .bytes = head + "Content-Length: 5\r\n\r\nhe", .later = { { 1s, "llo" } } };
        if (requestIdOf(request).starts_with("sound"))
            return { answerTo(request, 200, "hello") };
        const auto isEvent = row.place == Place::Event;
        return { head + (isEvent ? "Content-Type: text/event-stream\r\n" : "") + "\r\n" + std::string(partBytes, 'a') };
    }

    /** Returns the number of bytes that the node says it has buffered. */
    auto bufferedBytes() -> std::size_t
    {
        RawCaller operatorCall(this->loop, this->settings.operators);
        operatorCall.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
        this->runUntil([&] { return isCompleteAnswer(operatorCall.received); }, 2s);
        const auto text = bodyOf(operatorCall.received);
        const std::string name("\nprimrosefork_buffered_bytes ");
        const auto place = text.find(name);
        REQUIRE(place != std::string::npos);
        return static_cast<std::size_t>(std::strtod(text.c_str() + place + name.size(), nullptr));
    }

    ScriptedServer server;
};

auto largeRequest(const BufferCase& row, const std::string& id) -> std::string
{
    if (row.place != Place::Upload)
        return GatewayFixture::makeRequest(row.prefix, id);
    auto request = GatewayFixture::makeRequest(row.prefix, id);
    request.replace(request.find("Content-Length: 4"), std::string("Content-Length: 4").size(), "Content-Length: 4000000");
    return request + std::string(partBytes, 'a');
}

// Guards against many answers or requests without an end that fill the memory of a node together, although each one is limited.
TEST_CASE("bytes that are buffered for all requests together are limited, and small requests go on")
{
    for (const auto& row : bufferCases) {
        CAPTURE(std::string(row.name));
        BufferFixture fixture(row);
        std::vector<std::unique_ptr<RawCaller>> callers;
        const auto isStream = std::string(row.prefix) == "/stream/";
        RawCaller small(fixture.loop, fixture.settings.callers);
        if (!isStream)
            small.send(GatewayFixture::makeRequest("/once/", "small"));
        fixture.runFor(50ms);
        for (int number = 0; number < requestCount; ++number) {
            callers.push_back(std::make_unique<RawCaller>(fixture.loop, fixture.settings.callers));
            callers.back()->send(largeRequest(row, "r" + std::to_string(number)));
        }
        fixture.runFor(800ms);
        CHECK(fixture.bufferedBytes() <= bufferLimit + tolerance);
        const auto ended = std::count_if(callers.begin(), callers.end(), [](const auto& caller) { return isCompleteAnswer(caller->received); });
        CHECK(ended >= requestCount - static_cast<int>(bufferLimit / partBytes));
        CHECK(ended < requestCount);
        for (const auto& caller : callers)
            CHECK((caller->received.empty() || statusOf(caller->received) == row.status));
        if (isStream)
            continue;
        CHECK(statusOf(fixture.sendRequest(GatewayFixture::makeRequest("/once/", "sound"))) == 200);
        fixture.runUntil([&] { return isCompleteAnswer(small.received); }, 2s);
        CHECK(bodyOf(small.received) == "hello");
    }
}

/** A caller that does not read what it is sent. */
class SilentCaller {
public:
    SilentCaller(const Address& address, const std::string& request)
        : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        constexpr int smallest = 4'096;
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &smallest, sizeof smallest);
        sockaddr_in remote {};
        remote.sin_family = AF_INET;
        remote.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &remote.sin_addr);
        REQUIRE(connect(this->descriptor, reinterpret_cast<sockaddr*>(&remote), sizeof remote) == 0);
        REQUIRE(write(this->descriptor, request.data(), request.size()) == static_cast<ssize_t>(request.size()));
    }

    SilentCaller(const SilentCaller&) = delete;
    auto operator=(const SilentCaller&) -> SilentCaller& = delete;
    ~SilentCaller() { ::close(this->descriptor); }

private:
    int descriptor;
};

TEST_CASE("answers that callers do not read are limited together")
{
    const BufferCase row { "large answers", "/once/", Place::Answer, 200 };
    BufferFixture fixture(row);
    const std::string body(7 * mebibyte, 'a');
    ScriptedServer large(fixture.loop, { "127.0.0.1", otherPort }, [&body](const std::string& request) -> ScriptedAnswer { return { answerTo(request, 200, body) }; });
    fixture.registerServer("i-1", "app", otherPort);
    fixture.runFor(100ms);
    std::vector<std::unique_ptr<SilentCaller>> callers;
    for (int number = 0; number < 6; ++number) {
        callers.push_back(std::make_unique<SilentCaller>(fixture.settings.callers, GatewayFixture::makeRequest("/once/", "r" + std::to_string(number))));
        fixture.runFor(300ms);
    }
    CHECK(large.requests.size() == 6);
    CHECK(fixture.bufferedBytes() <= bufferLimit + tolerance);
    CHECK(fixture.bufferedBytes() > 0);
}

} // namespace
