#include "backendpool.h"
#include "headers.h"
#include "messages.h"
#include "scriptedserver.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <doctest/doctest.h>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

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
    const auto call = pool.send(server, { "POST", "/x", {}, {}, "r1", {} }, std::move(handlers));
    runFor(loop, 50ms);
    REQUIRE_FALSE(outcome.has_value());
    pool.failUnconnected("i-2");
    CHECK_FALSE(outcome.has_value());
    pool.failUnconnected("i-1");
    CHECK(outcome == CallOutcome::NotSent);
    CHECK(pool.connectionCount("i-1") == 0);
    runFor(loop, 10ms);
}

struct ReuseCase {
    const char* name;
    std::vector<std::string> first; ///< Requests that are sent at the same time, each on a connection of its own.
    std::vector<std::size_t> used; ///< Places among them of the connections that have carried the next request before.
    std::optional<std::size_t> expected; ///< Place of the connection that the next request gets, or nothing for a new one.
};

const ReuseCase reuseCases[] = {
    { "another request, after one", { "a" }, {}, 0 },
    { "another request, after two", { "a", "b" }, {}, 1 },
    { "the same request", { "a" }, { 0 }, std::nullopt },
    { "the same request beside another one", { "a", "b" }, { 1 }, 0 },
    { "a request that both have carried", { "a", "b" }, { 0, 1 }, std::nullopt },
};

// Guards against a request on a connection that may still bring a late copy of the answer to an earlier sending of it.
TEST_CASE("a request gets no connection that has carried it before; other requests still do")
{
    for (const auto& row : reuseCases) {
        CAPTURE(std::string(row.name));
        EventLoop loop;
        const PlatformHeaders dialect;
        BackendPool pool(loop, dialect, 1s);
        constexpr std::uint16_t port = 18321;
        const Testkit::ScriptedServer scripted(loop, { "127.0.0.1", port }, [](const std::string& request) -> Testkit::ScriptedAnswer {
            return { .bytes = "", .later = { { 5ms, Testkit::answerTo(request, 200, "x") } } };
        });
        BackendServer server;
        server.id = "i-1";
        server.address = { "127.0.0.1", port };
        std::size_t finished = 0;
        const auto send = [&](const std::string& id, std::vector<std::uint64_t> used) {
            CallHandlers handlers;
            handlers.onDone = [&finished](CallOutcome outcome) { finished += outcome == CallOutcome::Complete ? 1 : 0; };
            return pool.send(server, { "POST", "/x", { { "X-Attempt-Id", id } }, {}, id, std::move(used) }, std::move(handlers));
        };
        std::vector<std::uint64_t> numbers;
        for (const auto& id : row.first)
            numbers.push_back(send(id, {})->connectionNumber());
        while (finished < row.first.size())
            loop.runOnce();
        std::vector<std::uint64_t> used;
        for (const auto place : row.used)
            used.push_back(numbers[place]);
        const auto number = send("next", used)->connectionNumber();
        if (row.expected)
            CHECK(number == numbers[*row.expected]);
        else
            CHECK(std::find(numbers.begin(), numbers.end(), number) == numbers.end());
        while (finished < row.first.size() + 1)
            loop.runOnce();
        CHECK(pool.connectionCount("i-1") == row.first.size() + (row.expected ? 0 : 1));
        const auto opened = pool.openedCount();
        for (std::size_t count = 0; count < opened; ++count)
            send("other-" + std::to_string(count), {});
        CHECK(pool.openedCount() == opened);
        runFor(loop, 20ms);
    }
}

struct CopyCase {
    const char* name;
    const char* method; ///< Of the request whose answer comes a second time before that to the next one.
    std::string head; ///< Head of that answer, without its id.
    std::string body;
};

const CopyCase copyCases[] = {
    { "a whole answer", "POST", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "first" },
    { "a refusal", "POST", "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n", "" },
    { "an answer in chunks", "POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "5\r\nfirst\r\n0\r\n\r\n" },
    { "an answer without a body", "POST", "HTTP/1.1 204 No Content\r\n", "" },
    { "the head of an answer with a length", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 300\r\n", "" },
    { "the head of an answer in chunks", "HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "" },
};

// Guards against the late copy of an answer that takes bytes of the next one with it: after HEAD, nothing tells that it has no body.
TEST_CASE("the late copy of an answer leaves the answer to the next request whole")
{
    for (const auto& row : copyCases) {
        CAPTURE(std::string(row.name));
        EventLoop loop;
        const PlatformHeaders dialect;
        BackendPool pool(loop, dialect, 1s);
        constexpr std::uint16_t port = 18321;
        const Testkit::ScriptedServer scripted(loop, { "127.0.0.1", port }, [&row](const std::string& request) -> Testkit::ScriptedAnswer {
            if (Testkit::requestIdOf(request) != "first")
                return { Testkit::answerTo(request, 200, "second") };
            const auto answer = row.head + "X-Attempt-Id: first\r\n\r\n" + row.body;
            return { .bytes = answer, .beforeNext = answer };
        });
        BackendServer server;
        server.id = "i-1";
        server.address = { "127.0.0.1", port };
        for (const auto* id : { "first", "second" }) {
            const auto isFirst = std::string_view(id) == "first";
            std::optional<CallOutcome> outcome;
            std::string body;
            CallHandlers handlers;
            handlers.onBody = [&body](std::string_view bytes) { body += bytes; };
            handlers.onDone = [&outcome](CallOutcome ended) { outcome = ended; };
            const auto call = pool.send(server, { isFirst ? row.method : "POST", "/x", { { "X-Attempt-Id", id } }, {}, id, {} }, std::move(handlers));
            const auto end = EventLoop::now() + 2s;
            while (!outcome && EventLoop::now() < end)
                loop.runOnce();
            CHECK(outcome == CallOutcome::Complete);
            if (!isFirst)
                CHECK(body == "second");
        }
    }
}

} // namespace
