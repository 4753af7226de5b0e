#include "gatewayfixture.h"
#include "messages.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int serverPort = 18321;
constexpr int measuredAnswers = 8; ///< Answers after which the time of the service counts as measured.
constexpr std::size_t takenAtOnce = 2; ///< Requests that a server with one slot gets at once: one runs, one waits there.
constexpr auto atOnce = 300ms; ///< Longest time for an answer that waits for nothing.

/** A node before one plain server that runs one request at a time. */
struct HeldFixture : GatewayFixture {
    explicit HeldFixture(bool isEnabled, std::chrono::milliseconds time = 10ms)
        : answerTime(time)
        , server(loop, { "127.0.0.1", serverPort }, [this](const std::string& request) -> ScriptedAnswer {
            if (this->refusals > 0) {
                --this->refusals;
                return { answerTo(request, 503, "", "X-Not-Executed: 1\r\n") };
            }
            return { .bytes = "", .later = { { this->answerTime, answerTo(request, 200, "hello") } } };
        })
    {
        this->settings.admission.enabled = isEnabled;
        this->settings.bounds.stopGrace = 3s;
        this->configure(1);
        this->registerServer("i-1", "app", serverPort, "ready", R"(,"capacity":1)");
        REQUIRE(this->start());
        for (int answer = 0; answer < measuredAnswers; ++answer)
            REQUIRE(statusOf(this->sendRequest(GatewayFixture::makeRequest("/once/", "m" + std::to_string(answer)))) == 200);
        this->server.requests.clear();
    }

    /** Sends \a count requests at the same time. */
    auto sendTogether(int count, const std::string& prefix = "/once/") -> void
    {
        for (int index = 0; index < count; ++index) {
            this->callers.push_back(std::make_unique<RawCaller>(this->loop, this->settings.callers));
            this->callers.back()->send(GatewayFixture::makeRequest(prefix, "h" + std::to_string(this->callers.size())));
        }
    }

    auto waitForAnswers(std::chrono::milliseconds limit = 5s) -> bool
    {
        return this->runUntil([this] { return this->answered() == this->callers.size(); }, limit);
    }

    [[nodiscard]] auto answered() const -> std::size_t
    {
        std::size_t count = 0;
        for (const auto& caller : this->callers)
            count += isCompleteAnswer(caller->received) ? 1 : 0;
        return count;
    }

    /** Returns how many callers got an answer with \a status. */
    [[nodiscard]] auto countOf(int status) const -> int
    {
        int count = 0;
        for (const auto& caller : this->callers)
            count += statusOf(caller->received) == status ? 1 : 0;
        return count;
    }

    std::chrono::milliseconds answerTime;
    int refusals = 0; ///< Requests that the server refuses as full.
    ScriptedServer server;
    std::vector<std::unique_ptr<RawCaller>> callers;
};

// Guards against requests that are sent to a full server, and against held requests that do not start when one ends.
TEST_CASE("requests wait while the server has no room and start when a run ends")
{
    for (const auto isEnabled : { true, false }) {
        CAPTURE(isEnabled);
        HeldFixture fixture(isEnabled);
        fixture.answerTime = 100ms;
        fixture.sendTogether(8);
        fixture.runUntil([&fixture] { return fixture.server.requests.size() >= takenAtOnce; });
        fixture.runFor(50ms);
        CHECK(fixture.server.requests.size() == (isEnabled ? takenAtOnce : 8));
        CHECK(fixture.waitForAnswers());
        CHECK(fixture.countOf(200) == 8);
        CHECK(fixture.server.requests.size() == 8);
    }
}

// Guards against callers that are kept until their deadline although they cannot be served.
TEST_CASE("requests that cannot be served before their deadline are refused at once, and the others are served")
{
    HeldFixture fixture(true, 400ms);
    fixture.sendTogether(40);
    fixture.runFor(atOnce);
    const auto refusedAtOnce = fixture.countOf(503);
    CHECK(refusedAtOnce >= 10);
    for (const auto& caller : fixture.callers) {
        if (statusOf(caller->received) == 503) {
            const auto delay = std::stod(headerOf(caller->received, "Retry-After"));
            CHECK(delay > 0);
            CHECK(delay <= 1.0);
        }
    }
    CHECK(fixture.waitForAnswers());
    CHECK(fixture.countOf(200) + fixture.countOf(503) == 40);
    CHECK(fixture.countOf(200) == static_cast<int>(fixture.server.requests.size()));
}

// Guards against a held request that reaches a server after its caller left, and against memory that it keeps.
TEST_CASE("a caller that disconnects leaves the queue")
{
    HeldFixture fixture(true);
    fixture.answerTime = 200ms;
    fixture.sendTogether(4);
    fixture.runUntil([&fixture] { return fixture.server.requests.size() >= takenAtOnce; });
    fixture.runFor(50ms);
    REQUIRE(fixture.server.requests.size() == takenAtOnce);
    fixture.callers[2]->close();
    fixture.callers[3]->close();
    fixture.callers.resize(2);
    CHECK(fixture.waitForAnswers());
    fixture.runFor(300ms);
    CHECK(fixture.server.requests.size() == takenAtOnce);
    CHECK(fixture.countOf(200) == 2);
}

// Guards against a refusal of a full server that is passed on although the request could still be served.
TEST_CASE("a request that a full server refused is tried again")
{
    for (const auto isEnabled : { true, false }) {
        CAPTURE(isEnabled);
        HeldFixture fixture(isEnabled);
        fixture.refusals = 2;
        fixture.sendTogether(1);
        CHECK(fixture.waitForAnswers());
        CHECK(fixture.countOf(200) == (isEnabled ? 1 : 0));
        CHECK(fixture.countOf(503) == (isEnabled ? 0 : 1));
        CHECK(fixture.server.requests.size() == (isEnabled ? 3 : 1));
    }
}

// Guards against held requests that a planned stop cuts off without an answer.
TEST_CASE("a planned stop answers requests that wait")
{
    HeldFixture fixture(true);
    fixture.answerTime = 1h;
    fixture.sendTogether(5);
    fixture.runUntil([&fixture] { return fixture.server.requests.size() >= takenAtOnce; });
    fixture.node->requestStop("test");
    CHECK(fixture.waitForAnswers(4s));
    CHECK(fixture.countOf(504) == static_cast<int>(takenAtOnce));
    CHECK(fixture.countOf(503) == 3);
}

// Guards against a node that holds requests before it knows the service, or while no server is left.
TEST_CASE("nothing is held when servers are gone")
{
    HeldFixture fixture(true);
    fixture.answerTime = 300ms;
    fixture.sendTogether(4);
    fixture.runUntil([&fixture] { return fixture.server.requests.size() >= takenAtOnce; });
    fixture.registerServer("i-1", "app", serverPort, "draining", R"(,"capacity":1)");
    CHECK(fixture.waitForAnswers());
    CHECK(fixture.countOf(200) == static_cast<int>(takenAtOnce));
    CHECK(fixture.countOf(503) == 2);
}

} // namespace
