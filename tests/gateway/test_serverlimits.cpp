#include "gatewayfixture.h"
#include "messages.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int limitedPort = 18321;
constexpr int otherPort = 18322;
constexpr auto atOnce = 250ms; ///< Longest time for an answer that waits for nothing.
constexpr auto ruleWindow = 4s;
constexpr auto ruleDelay = 500ms; ///< Time after the first answer with a limit from which requests count.

auto limitLine(const std::string& value) -> std::string
{
    return "Server-Limit: " + value + "\r\n";
}

/** Returns how many requests may arrive in ruleWindow at a server that names the limit \a perSecond. */
auto allowedInWindow(double perSecond) -> std::size_t
{
    return static_cast<std::size_t>(1.5 * perSecond * 4) + 5;
}

/** A node with a server whose answers have the header lines \a lines, and another one when \a hasOther. */
struct LimitFixture : GatewayFixture {
    LimitFixture(std::string firstLines, bool hasOther)
        : lines(std::move(firstLines))
        , limited(loop, { "127.0.0.1", limitedPort }, [this](const std::string& request) -> ScriptedAnswer {
            this->arrivals.push_back(EventLoop::now());
            return { GatewayFixture::answerTo(request, 200, "hello", this->lines) };
        })
        , other(loop, { "127.0.0.1", otherPort }, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "hello") }; })
    {
        this->configure(1);
        this->registerServer("i-1", "app", limitedPort);
        if (hasOther)
            this->registerServer("i-2", "app", otherPort);
        REQUIRE(this->start());
        REQUIRE(this->runUntil([this] { return this->node->board().leadership.value().isOwn; }));
    }

    auto send() -> std::string { return this->sendRequest(GatewayFixture::makeRequest("/read/", "l" + std::to_string(++this->sent))); }

    /** Sends a request each 20 ms for \a time; each has to be answered at once. */
    auto sendFor(std::chrono::milliseconds time) -> void
    {
        const auto end = EventLoop::now() + time;
        while (EventLoop::now() < end) {
            const auto begin = EventLoop::now();
            const auto answer = this->send();
            CHECK(EventLoop::now() - begin < atOnce);
            ++this->answersByStatus[statusOf(answer)];
            if (statusOf(answer) == 503)
                CHECK(std::stod(headerOf(answer, "Retry-After")) > 0);
            this->runFor(20ms);
        }
    }

    /** Returns the largest number of requests that reached the limited server in a window which begins at \a from or later. */
    [[nodiscard]] auto mostInWindow(EventLoop::TimePoint from) const -> std::size_t
    {
        std::size_t most = 0;
        for (auto first = std::lower_bound(this->arrivals.begin(), this->arrivals.end(), from); first != this->arrivals.end(); ++first)
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, this->arrivals.end(), *first + ruleWindow) - first));
        return most;
    }

    std::string lines;
    std::vector<EventLoop::TimePoint> arrivals; ///< Times at which requests reached the limited server.
    ScriptedServer limited;
    ScriptedServer other;
    std::map<int, int> answersByStatus;
    int sent = 0;
};

struct RateCase {
    const char* name;
    const char* value;
    double perSecond;
    bool hasOther; ///< Whether another server without a limit can take the requests.
};

const RateCase rateCases[] = {
    { "two a second, with another server", "2", 2, true },
    { "two and a half a second, alone", "2.5", 2.5, false },
    { "less than one a second", "0.4", 0.4, true },
    { "none at all", "0", 0, true },
};

// Guards against a server that gets more requests than the limit that it names in its answers.
TEST_CASE("a server that names a limit gets no more than that, and callers are served elsewhere or refused at once")
{
    for (const auto& row : rateCases) {
        CAPTURE(row.name);
        LimitFixture fixture(limitLine(row.value), row.hasOther);
        while (fixture.arrivals.empty())
            static_cast<void>(fixture.send());
        const auto from = EventLoop::now() + ruleDelay;
        fixture.sendFor(5s);
        CHECK(fixture.mostInWindow(from) <= allowedInWindow(row.perSecond));
        if (row.hasOther)
            CHECK(fixture.answersByStatus[503] == 0);
        else
            CHECK(fixture.answersByStatus[200] >= static_cast<int>(row.perSecond * 5 * 0.6));
        CHECK(fixture.answersByStatus[200] + fixture.answersByStatus[503] > 100);
    }
}

struct ChangeCase {
    const char* name;
    const char* lines; ///< Header lines of the answers from the change on.
    double perSecond; ///< The limit that holds afterwards; 0 for none.
};

const ChangeCase changeCases[] = {
    { "the limit is withdrawn", "", 0 },
    { "the limit is raised", "Server-Limit: 20\r\n", 20 },
    { "the limit is no number", "Server-Limit: some\r\n", 2 },
    { "the limit is negative", "Server-Limit: -3\r\n", 2 },
    { "the limit is not finite", "Server-Limit: inf\r\n", 2 },
    { "several limits, of which one is unreadable", "Server-Limit: 30\r\nServer-Limit: x\r\nServer-Limit: 20\r\n", 20 },
    { "a huge limit", "Server-Limit: 1e300\r\n", 0 },
};

// Guards against a limit that outlives its withdrawal, and against limits that make no sense.
TEST_CASE("a limit holds until the server's answers name another one or none")
{
    for (const auto& row : changeCases) {
        CAPTURE(row.name);
        LimitFixture fixture(limitLine("2"), false);
        fixture.sendFor(1s);
        fixture.lines = row.lines;
        fixture.sendFor(2s);
        const auto from = EventLoop::now();
        fixture.sendFor(2s);
        const auto perSecond = static_cast<double>(std::count_if(fixture.arrivals.begin(), fixture.arrivals.end(), [from](auto arrival) { return arrival >= from; })) / 2;
        CHECK((perSecond < 6) == (row.perSecond == 2));
        if (row.perSecond == 20)
            CHECK(perSecond <= 30);
    }
}

// Guards against a limit that is kept when another process runs under the server's id.
TEST_CASE("a limit ends with the process that named it")
{
    LimitFixture fixture(limitLine("0.2"), false);
    fixture.sendFor(1s);
    fixture.lines = "";
    fixture.registerServer("i-1", "app", limitedPort, "ready", R"(,"born":2000)");
    fixture.runFor(600ms);
    const auto before = fixture.arrivals.size();
    fixture.sendFor(1s);
    CHECK(fixture.arrivals.size() - before > 20);
}

} // namespace
