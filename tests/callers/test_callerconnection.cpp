#include "callerlistener.h"
#include "rawconnection.h"

#include <doctest/doctest.h>
#include <thread>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

const Address callersAddress { "127.0.0.1", 18391 };
constexpr std::chrono::milliseconds idleTimeout = 200ms;
constexpr auto request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/** A listener that answers each request, and one kept connection to it. */
struct ListenerFixture {
    ListenerFixture()
    {
        CallerLimits limits;
        limits.idleTimeout = idleTimeout;
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
    int answered = 0;
    CallerListener listener { loop, [this](const std::shared_ptr<CallerExchange>& exchange) {
                                 ++this->answered;
                                 exchange->respond(200, {}, "");
                             } };
};

struct BusyCase {
    const char* name;
    bool sends; ///< Whether the caller sends another request while the loop is busy.
    int answered; ///< Number of requests that are answered in all.
};

const BusyCase busyCases[] = {
    { "a request before the timeout", true, 2 },
    { "no request before the timeout", false, 1 },
};

// Guards against closing a kept connection, as idle, whose next request has arrived but was not read yet, because the loop was busy.
TEST_CASE("a request that arrives while the loop is busy is answered before its connection counts as idle")
{
    for (const auto& row : busyCases) {
        CAPTURE(row.name);
        ListenerFixture fixture;
        RawConnection caller(callersAddress);
        caller.send(request);
        REQUIRE(fixture.runUntil([&] { return fixture.answered == 1; }));
        if (row.sends)
            caller.send(request);
        std::this_thread::sleep_for(2 * idleTimeout);
        CHECK(fixture.runUntil([&] { return fixture.listener.connectionCount() == 0 || fixture.answered > 1; }));
        CHECK(fixture.answered == row.answered);
    }
}

} // namespace
