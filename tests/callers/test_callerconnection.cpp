#include "callerlistener.h"
#include "rawconnection.h"
#include "units.h"

#include <doctest/doctest.h>
#include <memory>
#include <thread>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

const Address callersAddress { "127.0.0.1", 18391 };
constexpr std::chrono::milliseconds idleTimeout = 200ms;
constexpr std::chrono::milliseconds closingTime = idleTimeout + 1'500ms; ///< Time after which an idle connection is closed for certain.
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
    BufferBudget buffers { mebibyte };
    CallerListener listener { loop, buffers, [this](const std::shared_ptr<CallerExchange>& exchange) {
                                 ++this->answered;
                                 exchange->respond(200, {}, "");
                             } };
};

struct BusyCase {
    const char* name;
    int callers; ///< Number of callers, each with a kept connection.
    bool sends; ///< Whether each sends another request while the loop is busy.
};

const BusyCase busyCases[] = {
    { "a request before the timeout", 1, true },
    { "no request before the timeout", 1, false },
    { "more callers than the loop looks at in one turn", 60, true },
    { "many callers", 200, true },
};

// Guards against closing a kept connection, as idle, whose next request has arrived but was not read yet, because the loop was busy.
TEST_CASE("a request that arrives while the loop is busy is answered before its connection counts as idle")
{
    for (const auto& row : busyCases) {
        CAPTURE(row.name);
        ListenerFixture fixture;
        std::vector<std::unique_ptr<RawConnection>> callers;
        for (int index = 0; index < row.callers; ++index) {
            callers.push_back(std::make_unique<RawConnection>(callersAddress));
            callers.back()->send(request);
            REQUIRE(fixture.runUntil([&] { return fixture.answered == index + 1; }));
        }
        for (const auto& caller : callers) {
            if (row.sends)
                caller->send(request);
        }
        std::this_thread::sleep_for(closingTime);
        const auto expected = row.sends ? 2 * row.callers : row.callers;
        CHECK(fixture.runUntil([&] { return fixture.listener.connectionCount() == 0 || fixture.answered >= expected; }));
        CHECK(fixture.answered == expected);
    }
}

struct IdleCase {
    const char* name;
    std::chrono::milliseconds pause; ///< Time between the first answer and the next request.
    int answered; ///< Number of requests that are answered in all.
};

const IdleCase idleCases[] = {
    { "within the timeout", idleTimeout / 2, 2 },
    { "at the end of the timeout, and read after it", idleTimeout + 300ms, 2 },
    { "long after the timeout", closingTime, 1 },
};

// Guards against closing a kept connection while the next request of a caller that keeps within the timeout is on its way.
TEST_CASE("a connection is kept a little longer than its caller may leave it idle")
{
    for (const auto& row : idleCases) {
        CAPTURE(row.name);
        ListenerFixture fixture;
        RawConnection caller(callersAddress);
        caller.send(request);
        REQUIRE(fixture.runUntil([&] { return fixture.answered == 1; }));
        const auto end = EventLoop::now() + row.pause;
        static_cast<void>(fixture.runUntil([end] { return EventLoop::now() >= end; }));
        caller.send(request);
        static_cast<void>(fixture.runUntil([&] { return fixture.listener.connectionCount() == 0 || fixture.answered > 1; }));
        CHECK(fixture.answered == row.answered);
    }
}

struct AnnouncementCase {
    const char* name;
    std::chrono::milliseconds timeout;
    bool drains; ///< Whether a planned stop has begun.
    const char* header; ///< Header line of the answer about the connection; empty when there is none.
};

const AnnouncementCase announcementCases[] = {
    { "whole seconds", 2s, false, "Keep-Alive: timeout=2\r\n" },
    { "rounded down", 3'900ms, false, "Keep-Alive: timeout=3\r\n" },
    { "under a second", 900ms, false, "" },
    { "a planned stop", 2s, true, "Connection: close\r\n" },
};

// Guards against callers that reuse a connection at the moment at which the node closes it, since they don't know when that is.
TEST_CASE("an answer says how long its connection may stay idle")
{
    for (const auto& row : announcementCases) {
        CAPTURE(row.name);
        ListenerFixture fixture;
        CallerLimits limits;
        limits.idleTimeout = row.timeout;
        fixture.listener.setLimits(limits);
        if (row.drains)
            fixture.listener.beginDrain();
        RawConnection caller(callersAddress);
        caller.send(request);
        REQUIRE(fixture.runUntil([&] {
            caller.poll();
            return caller.received().ends_with("\r\n\r\n");
        }));
        CHECK(caller.received() == std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n") + row.header + "\r\n");
    }
}

// Guards against resetting connections that callers have opened, but that the node has not accepted when a planned stop ends its listener.
TEST_CASE("a planned stop answers requests on connections that were not accepted yet")
{
    ListenerFixture fixture;
    RawConnection caller(callersAddress);
    caller.send(request);
    fixture.listener.beginDrain();
    fixture.listener.closeIdle();
    CHECK(fixture.listener.busyCount() == 1);
    CHECK(fixture.runUntil([&] { return fixture.answered == 1; }));
}

struct StopCase {
    const char* name;
    bool sends; ///< Whether the caller sends another request before idle connections are closed.
    int answered; ///< Number of requests that are answered in all.
};

const StopCase stopCases[] = {
    { "a request that is not read yet", true, 2 },
    { "no request", false, 1 },
};

// Guards against cutting off a request that arrives while a planned stop closes idle connections.
TEST_CASE("a planned stop closes idle connections only if they have no unread input")
{
    for (const auto& row : stopCases) {
        CAPTURE(row.name);
        ListenerFixture fixture;
        RawConnection caller(callersAddress);
        caller.send(request);
        REQUIRE(fixture.runUntil([&] { return fixture.answered == 1; }));
        if (row.sends)
            caller.send(request);
        fixture.listener.beginDrain();
        fixture.listener.closeIdle();
        CHECK((fixture.listener.busyCount() > 0) == row.sends);
        static_cast<void>(fixture.runUntil([&] { return fixture.listener.connectionCount() == 0 || fixture.answered > 1; }));
        CHECK(fixture.answered == row.answered);
    }
}

} // namespace
