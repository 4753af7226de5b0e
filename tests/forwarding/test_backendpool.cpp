#include "backendpool.h"
#include "headers.h"

#include <arpa/inet.h>
#include <array>
#include <doctest/doctest.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

/** A port whose queue of connections is full, so that a new one is not established. */
class FullListener {
public:
    FullListener()
        : listener(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in local {};
        local.sin_family = AF_INET;
        inet_pton(AF_INET, "127.0.0.1", &local.sin_addr);
        socklen_t size = sizeof local;
        this->isListening = bind(this->listener, reinterpret_cast<sockaddr*>(&local), size) == 0 && listen(this->listener, 0) == 0
            && getsockname(this->listener, reinterpret_cast<sockaddr*>(&local), &size) == 0;
        this->address = { "127.0.0.1", ntohs(local.sin_port) };
        for (auto& filler : this->fillers) {
            filler = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            static_cast<void>(connect(filler, reinterpret_cast<sockaddr*>(&local), size));
        }
    }

    FullListener(const FullListener&) = delete;
    auto operator=(const FullListener&) -> FullListener& = delete;

    ~FullListener()
    {
        for (const auto filler : this->fillers)
            close(filler);
        close(this->listener);
    }

    Address address;
    bool isListening = false;

private:
    int listener;
    std::array<int, 4> fillers {};
};

auto runFor(EventLoop& loop, std::chrono::milliseconds time) -> void
{
    const auto end = EventLoop::now() + time;
    while (EventLoop::now() < end)
        loop.runOnce();
}

TEST_CASE("a call whose connection is not established ends as not sent when its server asks for a pause")
{
    EventLoop loop;
    const PlatformHeaders dialect;
    BackendPool pool(loop, dialect, 10s);
    const FullListener listener;
    REQUIRE(listener.isListening);
    BackendServer server;
    server.id = "i-1";
    server.address = listener.address;
    std::optional<CallOutcome> outcome;
    CallHandlers handlers;
    handlers.onDone = [&outcome](CallOutcome ended) { outcome = ended; };
    const auto call = pool.send(server, { "POST", "/x", {}, {}, "r1" }, std::move(handlers));
    runFor(loop, 50ms);
    REQUIRE_FALSE(outcome.has_value());
    pool.failUnconnected("i-2");
    CHECK_FALSE(outcome.has_value());
    pool.failUnconnected("i-1");
    CHECK(outcome == CallOutcome::NotSent);
    CHECK(pool.connectionCount("i-1") == 0);
    runFor(loop, 10ms);
}

} // namespace
