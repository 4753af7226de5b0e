#include "peerstream.h"

#include "configurationexchange.h"
#include "errors.h"
#include "eventloop.h"
#include "units.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t limit = 1000;
constexpr std::chrono::milliseconds timeout = 200ms;

/** A stream whose other end the test writes to. */
struct StreamFixture {
    explicit StreamFixture(EventLoop& loop)
    {
        REQUIRE(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, this->sockets.data()) == 0);
        this->stream = std::make_unique<PeerStream>(loop, this->sockets[0], limit, timeout,
            [this](std::error_code error, std::span<const std::uint8_t> message) {
                this->isFinished = true;
                this->error = error;
                this->received.assign(message.begin(), message.end());
            });
    }

    ~StreamFixture() { ::close(this->sockets[1]); }
    StreamFixture(const StreamFixture&) = delete;
    auto operator=(const StreamFixture&) -> StreamFixture& = delete;

    auto write(std::span<const std::uint8_t> bytes) const -> void
    {
        REQUIRE(::write(this->sockets[1], bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    }

    std::array<int, 2> sockets {};
    bool isFinished = false;
    std::error_code error;
    std::vector<std::uint8_t> received;
    std::unique_ptr<PeerStream> stream;
};

struct BusyCase {
    const char* name;
    std::size_t before; ///< Bytes of the frame that are sent before the loop is busy.
    std::size_t meanwhile; ///< Bytes of the frame that are sent by the end of the time that it is busy.
    int streams;
    std::error_code error;
};

const std::vector<std::uint8_t> message(500, 7);
const auto frame = ConfigurationExchange::frame(message);

const BusyCase busyCases[] = {
    { "a whole message", 0, frame.size(), 1, {} },
    { "the rest of a message", 100, frame.size(), 1, {} },
    { "whole messages on many streams", 0, frame.size(), 200, {} },
    { "nothing", 0, 0, 1, Error::Timeout },
    { "part of a message", 0, 100, 1, Error::Timeout },
    { "nothing after a part of a message", 100, 100, 1, Error::Timeout },
    { "parts of messages on many streams", 0, 100, 200, Error::Timeout },
};

} // namespace

// Guards against a timeout that is decided before input that had arrived in time.
TEST_CASE("a message that arrives while the loop is busy for longer than the timeout is received")
{
    for (const auto& row : busyCases) {
        INFO(std::string(row.name));
        EventLoop loop;
        std::vector<std::unique_ptr<StreamFixture>> streams;
        for (auto count = 0; count < row.streams; ++count) {
            streams.push_back(std::make_unique<StreamFixture>(loop));
            streams.back()->write(std::span(frame).first(row.before));
        }
        for (auto turn = 0; turn < 50; ++turn)
            loop.runOnce();
        std::this_thread::sleep_for(timeout / 2);
        for (const auto& stream : streams)
            stream->write(std::span(frame).first(row.meanwhile).subspan(row.before));
        std::this_thread::sleep_for(timeout);

        const auto end = EventLoop::now() + 2s;
        const auto isFinished = [](const auto& stream) { return stream->isFinished; };
        while (!std::ranges::all_of(streams, isFinished) && EventLoop::now() < end)
            loop.runOnce();
        const auto expected = row.error ? std::vector<std::uint8_t>() : message;
        const auto hasExpected = [&](const auto& stream) { return stream->isFinished && stream->error == row.error && stream->received == expected; };
        CHECK(std::ranges::count_if(streams, hasExpected) == row.streams);
    }
}

TEST_CASE("whenSent() is called after the timeout if the peer does not read the message, also if it sends more")
{
    for (const auto sendsMore : { false, true }) {
        CAPTURE(sendsMore);
        EventLoop loop;
        StreamFixture fixture(loop);
        fixture.write(frame);
        while (!fixture.isFinished)
            loop.runOnce();
        bool isSent = false;
        fixture.stream->send(std::vector<std::uint8_t>(8 * mebibyte, 7));
        fixture.stream->whenSent([&isSent] { isSent = true; });
        const auto begin = EventLoop::now();
        while (!isSent && EventLoop::now() < begin + 2s) {
            if (sendsMore)
                static_cast<void>(::send(fixture.sockets[1], frame.data(), frame.size(), MSG_DONTWAIT));
            loop.runOnce();
        }
        CHECK(isSent);
        CHECK(EventLoop::now() - begin >= timeout - 20ms);
    }
}
