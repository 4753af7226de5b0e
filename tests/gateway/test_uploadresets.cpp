#include "messages.h"
#include "serverpairfixture.h"
#include "units.h"

#include <arpa/inet.h>
#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int serverPort = 18321;
constexpr std::size_t uploadBytes = 4 * mebibyte;
constexpr auto earlyEnd = 1s; ///< Time in which an attempt whose connection was reset has to end; the timeout of the routes is 3 s.
constexpr auto oneEvent = "id: 1\ndata: a\n\n";

auto makeUpload(const std::string& prefix) -> std::string
{
    auto request = GatewayFixture::makeRequest(prefix, "r1");
    request.resize(request.find("Content-Length"));
    return request + "Content-Length: " + std::to_string(uploadBytes) + "\r\n\r\n" + std::string(uploadBytes, 'u');
}

auto earlyAnswer(const std::string& request, const std::string& lines, const std::string& body) -> std::string
{
    return "HTTP/1.1 200 X\r\nX-Attempt-Id: " + requestIdOf(request) + "\r\nX-Response-Seal: s\r\n" + lines + "\r\n" + body;
}

auto goodAnswer(const std::string& request) -> ScriptedAnswer
{
    return { GatewayFixture::answerTo(request, 200, "again") };
}

/** A node with a server that answers the first request when it has read its head. */
struct UploadFixture : ServerPairFixture {
    UploadFixture(const std::string& service, const ScriptedServer::Script& first)
        : ServerPairFixture(service, first, goodAnswer)
    {
        for (const auto& server : this->servers)
            server->answersHeads = true;
    }
};

/** An early answer without a length, part of which comes before its connection is reset. */
struct ResetCase {
    const char* name;
    const char* prefix;
    const char* service;
    const char* lines; ///< Header lines beside those of every answer.
    const char* body; ///< The part of the body that is sent.
    bool setsLinger; ///< Whether the server resets the connection itself, rather than closing it with unread bytes.
    int status; ///< Status that the caller gets.
    int requests; ///< Number of requests that the servers get.
    bool isBrokenOff = false; ///< Whether the caller gets a part of a stream.
};

constexpr auto streamLine = "Content-Type: text/event-stream\r\n";

const ResetCase resetCases[] = {
    { "a body", "/once/", "app", "", "hello", true, 502, 1 },
    { "a body, closed with unread bytes", "/once/", "app", "", "hello", false, 502, 1 },
    { "a repeatable body", "/read/", "app", "", "hello", true, 200, 2 },
    { "a repeatable body, closed with unread bytes", "/read/", "app", "", "hello", false, 200, 2 },
    { "a body, announced close", "/once/", "app", "Connection: close\r\n", "hello", true, 502, 1 },
    { "a stream", "/stream/", "llm", streamLine, oneEvent, true, 200, 1, true },
    { "a stream, closed with unread bytes", "/stream/", "llm", streamLine, oneEvent, false, 200, 1, true },
    { "a stream before its first event", "/stream/", "llm", streamLine, "", true, 502, 1 },
    { "no stream on a route for streams", "/stream/", "llm", "", "hello", true, 502, 1 },
};

constexpr std::chrono::milliseconds resetDelays[] = { 0ms, 1ms, 2ms, 5ms, 20ms };
constexpr int playsPerDelay = 3; ///< The order in which a node sees a failed write, a reset and the end of the stream varies.

// Guards against a part of an answer being passed on as a whole one, as a reset looks like the end of the stream once a failed write has reported it.
TEST_CASE("an answer without a length whose connection is reset during an upload is not passed on as a whole one")
{
    for (const auto& row : resetCases) {
        CAPTURE(std::string(row.name));
        for (const auto delay : resetDelays) {
            CAPTURE(delay.count());
            for (int play = 0; play < playsPerDelay; ++play) {
                UploadFixture fixture(row.service, [&](const std::string& request) -> ScriptedAnswer {
                    return { .bytes = earlyAnswer(request, row.lines, row.body), .closes = true, .resets = row.setsLinger, .closeDelay = delay };
                });
                RawCaller caller(fixture.loop, fixture.settings.callers);
                caller.send(makeUpload(row.prefix));
                REQUIRE(fixture.runUntil([&] { return fixture.requestCount > 0; }));
                CHECK(fixture.runUntil([&] { return caller.isClosed || isCompleteAnswer(caller.received); }, delay + earlyEnd));
                CHECK((caller.received.empty() || statusOf(caller.received) == row.status));
                CHECK(isCompleteAnswer(caller.received) != row.isBrokenOff);
                CHECK((row.isBrokenOff || bodyOf(caller.received) == (row.requests == 2 ? "again" : "")));
                CHECK(fixture.requestCount == row.requests);
            }
        }
    }
}

/** A server on a thread of its own, which answers each request when it has read its head and then resets the connection. */
class ResettingServer {
public:
    using Script = std::function<std::string(const std::string& head)>;

    ResettingServer(const Address& address, Script script, std::chrono::microseconds longestDelay)
        : script(std::move(script))
        , longestDelay(longestDelay)
        , listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const int enabled = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
        constexpr int queueLength = 16;
        this->isListening = bind(this->listener, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0 && listen(this->listener, queueLength) == 0;
        this->thread = std::thread([this] { this->run(); });
    }

    ~ResettingServer()
    {
        shutdown(this->listener, SHUT_RDWR);
        this->thread.join();
        close(this->listener);
    }

    ResettingServer(const ResettingServer&) = delete;
    auto operator=(const ResettingServer&) -> ResettingServer& = delete;

    bool isListening = false;

private:
    auto run() -> void
    {
        constexpr int steps = 6;
        for (int number = 0;; ++number) {
            const auto connection = accept(this->listener, nullptr, nullptr);
            if (connection < 0)
                return;
            this->serve(connection, this->longestDelay * (number % steps) / (steps - 1));
        }
    }

    auto serve(int connection, std::chrono::microseconds delay) -> void
    {
        std::string head;
        std::array<char, 1024> buffer {};
        while (head.find("\r\n\r\n") == std::string::npos) {
            const auto size = recv(connection, buffer.data(), buffer.size(), 0);
            if (size <= 0)
                break;
            head.append(buffer.data(), static_cast<std::size_t>(size));
        }
        const auto answer = this->script(head);
        send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        std::this_thread::sleep_for(delay);
        const linger reset { 1, 0 };
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        close(connection);
    }

    Script script;
    std::chrono::microseconds longestDelay;
    int listener;
    std::thread thread;
};

struct ConcurrentCase {
    const char* name;
    const char* prefix;
    const char* service;
    const char* lines;
    const char* body;
};

const ConcurrentCase concurrentCases[] = {
    { "a body", "/once/", "app", "", "hello" },
    { "a stream", "/stream/", "llm", streamLine, oneEvent },
};

// Guards against the same where the reset arrives at any moment of the node's work.
TEST_CASE("an answer without a length from a server beside the node is not passed on as a whole one after a reset")
{
    constexpr int plays = 60;
    for (const auto& row : concurrentCases) {
        CAPTURE(std::string(row.name));
        const ResettingServer server(
            { "127.0.0.1", serverPort }, [&row](const std::string& head) { return earlyAnswer(head, row.lines, row.body); }, 3ms);
        REQUIRE(server.isListening);
        GatewayFixture fixture;
        fixture.configure(1);
        fixture.registerServer("i-1", row.service, serverPort);
        REQUIRE(fixture.start());
        for (int play = 0; play < plays; ++play) {
            RawCaller caller(fixture.loop, fixture.settings.callers);
            caller.send(makeUpload(row.prefix));
            CHECK(fixture.runUntil([&] { return caller.isClosed || isCompleteAnswer(caller.received); }, earlyEnd));
            const auto isPassedOnWhole = statusOf(caller.received) == 200 && isCompleteAnswer(caller.received);
            CHECK_FALSE(isPassedOnWhole);
        }
    }
}

/** What a server does with a connection after an early answer. */
enum class ConnectionUse {
    ReadsOn,
    EndsOutput, ///< Ends its own side and reads on.
    Closes, ///< Closes the connection with unread bytes, which resets it.
};

/** An early answer that is whole. */
struct EarlyCase {
    const char* name;
    const char* prefix;
    const char* service;
    const char* lines;
    const char* bytes; ///< What follows the head.
    const char* body; ///< Body that the caller gets.
    ConnectionUse use;
};

const EarlyCase earlyCases[] = {
    { "a length", "/once/", "app", "Content-Length: 5\r\n", "hello", "hello", ConnectionUse::ReadsOn },
    { "a length, repeatable", "/read/", "app", "Content-Length: 5\r\n", "hello", "hello", ConnectionUse::ReadsOn },
    { "a length, and the end of the connection", "/once/", "app", "Content-Length: 5\r\n", "hello", "hello", ConnectionUse::EndsOutput },
    { "chunks", "/once/", "app", "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n", "hello", ConnectionUse::ReadsOn },
    { "no length", "/once/", "app", "", "hello", "hello", ConnectionUse::EndsOutput },
    { "no length, repeatable", "/read/", "app", "", "hello", "hello", ConnectionUse::EndsOutput },
    { "a stream in chunks", "/stream/", "llm", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", oneEvent, ConnectionUse::ReadsOn },
    { "a stream without a length", "/stream/", "llm", streamLine, oneEvent, oneEvent, ConnectionUse::EndsOutput },
    { "a stream without a length, resumable", "/chat/", "llm", streamLine, oneEvent, oneEvent, ConnectionUse::EndsOutput },
    { "a length, and a reset", "/once/", "app", "Content-Length: 5\r\n", "hello", "hello", ConnectionUse::Closes },
    { "chunks, and a reset", "/once/", "app", "Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n", "hello", ConnectionUse::Closes },
    { "a stream in chunks, and a reset", "/stream/", "llm", "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n", "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", oneEvent, ConnectionUse::Closes },
};

TEST_CASE("an early answer that is whole is passed on")
{
    for (const auto& row : earlyCases) {
        CAPTURE(std::string(row.name));
        for (const auto delay : resetDelays) {
            CAPTURE(delay.count());
            UploadFixture fixture(row.service, [&](const std::string& request) -> ScriptedAnswer {
                return { .bytes = earlyAnswer(request, row.lines, row.bytes), .closes = row.use != ConnectionUse::ReadsOn, .closeDelay = delay, .readsOn = row.use == ConnectionUse::EndsOutput };
            });
            const auto answer = fixture.sendRequest(makeUpload(row.prefix));
            CHECK(statusOf(answer) == 200);
            CHECK(isCompleteAnswer(answer));
            CHECK(bodyOf(answer) == row.body);
            CHECK(fixture.requestCount == 1);
        }
    }
}

} // namespace
