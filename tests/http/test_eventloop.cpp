#include "eventloop.h"

#include <array>
#include <doctest/doctest.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <memory>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds delay = 20ms;

/** A buffer whose input stops a timer, like a response that ends the wait for it. */
struct TimeoutFixture {
    TimeoutFixture()
    {
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, this->sockets.data()) == 0);
        this->stream = bufferevent_socket_new(this->loop.base(), this->sockets[0], BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
        bufferevent_setcb(
            this->stream, [](bufferevent*, void* self) { static_cast<TimeoutFixture*>(self)->timer.stop(); }, nullptr, nullptr, this);
        bufferevent_enable(this->stream, EV_READ);
    }

    ~TimeoutFixture()
    {
        bufferevent_free(this->stream);
        ::close(this->sockets[1]);
    }

    EventLoop loop;
    int expired = 0;
    Timer timer { loop, [this] { ++this->expired; } };
    std::array<int, 2> sockets {};
    bufferevent* stream = nullptr;
};

/** When input arrives, if it does. */
enum class Input {
    None,
    BeforeExpiry,
    DuringTurn, ///< While another callback of the turn in which the timer expires keeps the loop busy.
};

struct BusyLoopCase {
    const char* name;
    Input input;
    bool repeats;
    int expired; ///< Number of times that the task is called.
};

const BusyLoopCase busyLoopCases[] = {
    { "input that arrived in time", Input::BeforeExpiry, false, 0 },
    { "input that arrived while the loop was still busy", Input::DuringTurn, false, 0 },
    { "no input", Input::None, false, 1 },
    { "input that arrived in time, repeating timer", Input::BeforeExpiry, true, 0 },
    { "no input, repeating timer", Input::None, true, 1 },
};

// Guards against a timeout for input that had arrived in time, but was not read yet because the loop was busy.
TEST_CASE("input that arrives while the loop is busy is handled before a timer that expired meanwhile")
{
    for (const auto& row : busyLoopCases) {
        CAPTURE(row.name);
        TimeoutFixture fixture;
        row.repeats ? fixture.timer.startRepeating(delay) : fixture.timer.start(delay);
        const auto write = [&fixture] { CHECK(::write(fixture.sockets[1], "x", 1) == 1); };
        if (row.input == Input::BeforeExpiry)
            write();
        std::this_thread::sleep_for(2 * delay);
        if (row.input == Input::DuringTurn)
            fixture.loop.post(write);
        for (int turn = 0; turn < 3; ++turn)
            fixture.loop.runOnce();
        CHECK(fixture.expired == row.expired);
        CHECK(fixture.timer.isRunning() == (row.repeats && row.input == Input::None));
    }
}

// Guards against requests and retries that lose their order because the loop was busy.
TEST_CASE("timers that expire while the loop is busy are called in the order in which they expired")
{
    EventLoop loop;
    std::vector<int> order;
    std::vector<std::unique_ptr<Timer>> timers;
    constexpr int count = 8;
    for (int index = 0; index < count; ++index) {
        timers.push_back(std::make_unique<Timer>(loop, [&order, index] { order.push_back(index); }));
        timers.back()->start(2ms * (index + 1));
    }
    std::this_thread::sleep_for(2 * delay);
    for (int turn = 0; turn < 3; ++turn)
        loop.runOnce();
    CHECK(order == std::vector<int> { 0, 1, 2, 3, 4, 5, 6, 7 });
}

} // namespace
