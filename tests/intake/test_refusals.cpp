#include "callerlistener.h"
#include "rawconnection.h"
#include "units.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

const Address callersAddress { "127.0.0.1", 18491 };

/** A listener that leaves all requests open. */
struct IntakeListener {
    explicit IntakeListener(const IntakeSettings& settings)
        : intake(settings, mebibyte)
    {
        CallerLimits limits;
        limits.idleTimeout = 100ms;
        this->listener.setLimits(limits);
        REQUIRE_FALSE(this->listener.listen(callersAddress));
    }

    auto runUntil(const std::function<bool()>& done) -> bool
    {
        const auto end = EventLoop::now() + 3s;
        while (!done() && EventLoop::now() < end)
            this->loop.runOnce();
        return done();
    }

    EventLoop loop;
    BufferBudget buffers { mebibyte };
    Intake intake;
    std::vector<std::shared_ptr<CallerExchange>> requests;
    CallerListener listener { loop, buffers, [this](const std::shared_ptr<CallerExchange>& exchange) { this->requests.push_back(exchange); }, &intake };
};

auto requestOf(std::size_t announced, std::size_t sent) -> std::string
{
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(announced) + "\r\n\r\n" + std::string(sent, 'a');
}

struct RefusalCase {
    const char* name;
    std::string request;
    std::size_t requests; ///< Requests that are passed on, the large one before included.
    const char* answer; ///< Begin of the answer; empty when the request is passed on.
};

const RefusalCase refusalCases[] = {
    { "a large body that is announced", requestOf(500'000, 10), 1, "HTTP/1.1 503" },
    { "a small body", requestOf(1'000, 1'000), 2, "" },
    { "a small body that does not arrive", requestOf(1'000, 999), 1, "HTTP/1.1 408" },
};

// Guards against a refused request that is passed on all the same, and against refusing small requests with large ones.
TEST_CASE("a request that can't be kept is refused before it is passed on")
{
    for (const auto& row : refusalCases) {
        CAPTURE(std::string(row.name));
        IntakeSettings settings;
        settings.bodyTime = 300ms;
        IntakeListener fixture(settings);
        RawConnection first(callersAddress);
        first.send(requestOf(400'000, 400'000));
        REQUIRE(fixture.runUntil([&] { return fixture.requests.size() == 1; }));
        RawConnection second(callersAddress);
        second.send(row.request);
        fixture.runUntil([&] {
            second.poll();
            return fixture.requests.size() > 1 || !second.received().empty();
        });
        CHECK(fixture.requests.size() == row.requests);
        CHECK(second.received().substr(0, std::string_view("HTTP/1.1 503").size()) == row.answer);
        CHECK((second.received().find("Retry-After: ") != std::string::npos) == (std::string_view(row.answer) == "HTTP/1.1 503"));
    }
}

} // namespace
