#include "blockingclient.h"
#include "errors.h"
#include "httpclient.h"
#include "httpserver.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

/** How a scripted server handles one request. */
struct Script {
    std::string answer; ///< Response sent on receipt of the request; may be empty.
    bool closes; ///< Whether the server then closes the connection.
    std::string repeated = {}; ///< Bytes that follow again and again, until the client closes the connection.
};

/**
 * A server that handles each request by the next script, repeating the last one,
 * and counts connections and requests.
 */
class ScriptedServer {
public:
    ScriptedServer(const Address& address, std::vector<Script> scripts)
        : scripts(std::move(scripts))
        , listener(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        const int enabled = 1;
        setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
        sockaddr_in name {};
        name.sin_family = AF_INET;
        name.sin_port = htons(address.port);
        inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
        this->isListening = bind(this->listener, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0 && listen(this->listener, 16) == 0;
    }

    ~ScriptedServer()
    {
        for (const auto connection : this->connections)
            close(connection);
        close(this->listener);
    }

    ScriptedServer(const ScriptedServer&) = delete;
    auto operator=(const ScriptedServer&) -> ScriptedServer& = delete;

    auto poll() -> void
    {
        const auto accepted = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (accepted >= 0) {
            this->connections.push_back(accepted);
            ++this->acceptedCount;
        }
        for (auto& connection : this->connections)
            this->serve(connection);
        for (auto& connection : this->connections)
            this->flood(connection);
        std::erase(this->connections, -1);
    }

    bool isListening = false;
    int acceptedCount = 0;
    int requestCount = 0;
    int floodsClosed = 0; ///< Number of connections that the client closed while bytes went on.
    std::size_t floodBytes = 0; ///< Number of the repeated bytes that the sockets have taken.

private:
    auto flood(int& connection) -> void
    {
        const auto found = this->floods.find(connection);
        if (found == this->floods.end())
            return;
        for (;;) {
            const auto size = send(connection, found->second.data(), found->second.size(), MSG_NOSIGNAL);
            if (size < 0 && errno == EAGAIN)
                return;
            if (size < 0)
                break;
            this->floodBytes += static_cast<std::size_t>(size);
            // The rest is sent first, so that the bytes stay in order.
            std::rotate(found->second.begin(), found->second.begin() + size, found->second.end());
        }
        ++this->floodsClosed;
        this->floods.erase(found);
        close(std::exchange(connection, -1));
    }

    auto serve(int& connection) -> void
    {
        std::array<char, 4096> buffer {};
        const auto size = recv(connection, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return;
        const auto index = std::min<std::size_t>(static_cast<std::size_t>(this->requestCount++), this->scripts.size() - 1);
        const auto& script = this->scripts[index];
        send(connection, script.answer.data(), script.answer.size(), MSG_NOSIGNAL);
        if (!script.repeated.empty())
            this->floods[connection] = script.repeated;
        if (script.closes)
            close(std::exchange(connection, -1));
    }

    std::vector<Script> scripts;
    int listener;
    std::vector<int> connections;
    std::map<int, std::string> floods; ///< Bytes that are sent again and again, by connection.
};

const Address serverAddress { "127.3.2.1", 18'081 };
constexpr auto okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct CallCase {
    const char* name;
    std::vector<Script> scripts; ///< Scripts of the server; if empty, no server listens.
    std::error_code error;
    bool hasSentBytes;
    int requests; ///< Number of requests that reach the server.
};

const CallCase callCases[] = {
    { "complete response", { { okAnswer, false } }, {}, true, 1 },
    { "no server listens", {}, Error::ConnectionFailed, false, 0 },
    { "connection closed without a response", { { "", true } }, Error::ConnectionLost, true, 1 },
    { "connection closed within the response", { { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true } }, Error::ConnectionLost, true, 1 },
    { "connection closed within a chunked response", { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true } }, Error::ConnectionLost, true, 1 },
    { "response without a length, which ends with its connection", { { "HTTP/1.1 200 OK\r\n\r\nok", true } }, {}, true, 1 },
    { "no response within the timeout", { { "", false } }, Error::Timeout, true, 1 },
    { "no further bytes of the response within the timeout", { { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false } }, Error::Timeout, true, 1 },
    { "response that is not HTTP", { { "hello\r\n\r\n", true } }, Error::ConnectionLost, true, 1 },
    { "response above its size limit", { { "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\n0123456789012345678901234567890123456789", false } }, Error::TooLarge, true, 1 },
};

struct Outcome {
    std::error_code error;
    HttpResponse response;
    bool isDone = false;
};

auto shortCallOptions() -> HttpCallOptions
{
    HttpCallOptions options;
    options.connectTimeout = 300ms;
    options.firstByteTimeout = 300ms;
    options.idleTimeout = 300ms;
    options.maxResponseBytes = 30;
    return options;
}

TEST_CASE("a call is sent once and reports how it ended")
{
    for (const auto& row : callCases) {
        CAPTURE(std::string(row.name));
        Testkit::BlockingClient client;
        std::unique_ptr<ScriptedServer> server;
        if (!row.scripts.empty()) {
            server = std::make_unique<ScriptedServer>(serverAddress, row.scripts);
            REQUIRE(server->isListening);
        }
        Outcome outcome;
        const auto call = client.httpClient().fetch(serverAddress, { "POST", "/a", "", {}, "body" }, shortCallOptions(),
            [&outcome](std::error_code error, const HttpResponse& response) { outcome = { error, response, true }; });

        CHECK(client.waitUntil([&] {
            if (server)
                server->poll();
            return outcome.isDone;
        },
            3s));
        CHECK(outcome.error == row.error);
        CHECK(call->hasSentBytes() == row.hasSentBytes);
        CHECK((server ? server->requestCount : 0) == row.requests);
    }
}

TEST_CASE("a request is not sent again when its reused connection is closed")
{
    Testkit::BlockingClient client;
    ScriptedServer server(serverAddress, { { okAnswer, false }, { "", true }, { okAnswer, false } });
    const auto fetch = [&] {
        Outcome outcome;
        client.httpClient().fetch(serverAddress, { "POST", "/a", "", {}, "body" }, shortCallOptions(),
            [&outcome](std::error_code error, const HttpResponse& response) { outcome = { error, response, true }; });
        client.waitUntil([&] { server.poll(); return outcome.isDone; }, 3s);
        return outcome;
    };

    CHECK_FALSE(fetch().error);
    CHECK(fetch().error == Error::ConnectionLost);
    CHECK(server.acceptedCount == 1);
    CHECK(server.requestCount == 2);

    CHECK_FALSE(fetch().error);
    CHECK(server.acceptedCount == 2);
    CHECK(server.requestCount == 3);
}

TEST_CASE("a call with usesFreshConnection opens a new connection")
{
    Testkit::BlockingClient client;
    ScriptedServer server(serverAddress, { { okAnswer, false } });
    auto options = shortCallOptions();
    options.usesFreshConnection = true;
    for (int count = 1; count <= 3; ++count) {
        Outcome outcome;
        client.httpClient().fetch(serverAddress, { "POST", "/a", "", {}, "body" }, options,
            [&outcome](std::error_code error, const HttpResponse& response) { outcome = { error, response, true }; });
        CHECK(client.waitUntil([&] { server.poll(); return outcome.isDone; }, 3s));
        CHECK(server.acceptedCount == count);
    }
}

TEST_CASE("a cancelled call calls no handler")
{
    Testkit::BlockingClient client;
    ScriptedServer server(serverAddress, { { "", false } });
    Outcome outcome;
    const auto call = client.httpClient().fetch(serverAddress, { "POST", "/a", "", {}, "body" }, shortCallOptions(),
        [&outcome](std::error_code error, const HttpResponse& response) { outcome = { error, response, true }; });
    REQUIRE(client.waitUntil([&] { server.poll(); return server.requestCount == 1; }, 3s));

    call->cancel();

    client.waitUntil([&server] { server.poll(); return false; }, 500ms);
    CHECK_FALSE(outcome.isDone);
}

/** An answer that breaks the syntax of HTTP, after which the connection stays open. */
struct BrokenCase {
    const char* name;
    std::string answer;
    const char* body = ""; ///< What the caller has received of the body when the call fails.
};

const BrokenCase brokenCases[] = {
    { "status 000", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok" },
    { "status 000, without a length", "HTTP/1.1 000 X\r\n\r\nok" },
    { "status 099", "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok" },
    { "status 600", "HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\nok" },
    { "status of two digits, without a length", "HTTP/1.1 20 X\r\n\r\nok" },
    { "status of four digits", "HTTP/1.1 0200 X\r\nContent-Length: 2\r\n\r\nok" },
    { "status with a letter", "HTTP/1.1 200a X\r\nContent-Length: 2\r\n\r\nok" },
    { "status with a sign", "HTTP/1.1 +200 X\r\nContent-Length: 2\r\n\r\nok" },
    { "negative status", "HTTP/1.1 -200 X\r\n\r\nok" },
    { "another protocol", "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" },
    { "version 0.9", "HTTP/0.9 200 X\r\nContent-Length: 2\r\n\r\nok" },
    { "version 2.0", "HTTP/2.0 200 X\r\nContent-Length: 2\r\n\r\nok" },
    { "version with two digits", "HTTP/1.10 200 X\r\nContent-Length: 2\r\n\r\nok" },
    { "small letters", "http/1.1 200 X\r\nContent-Length: 2\r\n\r\nok" },
    { "blank in a name", "HTTP/1.1 200 X\r\nX Blank: 1\r\nContent-Length: 2\r\n\r\nok" },
    { "blank before a colon", "HTTP/1.1 200 X\r\nContent-Length: 2\r\nX-Blank : 1\r\n\r\nok" },
    { "control byte in a name", "HTTP/1.1 200 X\r\nContent-Length: 2\r\nX\x01Key: 1\r\n\r\nok" },
    { "zero byte in a name", std::string("HTTP/1.1 200 X\r\nContent-Length: 2\r\nX\0Zero: 1\r\n\r\nok", 50) },
    { "empty name", "HTTP/1.1 200 X\r\nContent-Length: 2\r\n: 1\r\n\r\nok" },
    { "line without a colon", "HTTP/1.1 200 X\r\nContent-Length: 2\r\nX-Line\r\n\r\nok" },
    { "control byte in a value", "HTTP/1.1 200 X\r\nContent-Length: 2\r\nX-Value: a\x01z\r\n\r\nok" },
    { "two different lengths", "HTTP/1.1 200 X\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok" },
    { "length beside chunks", "HTTP/1.1 200 X\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" },
    { "unknown transfer coding", "HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\nConnection: close\r\n\r\nok" },
    { "other bytes after a chunk", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n", "ok" },
    { "no line end after a chunk", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok0\r\n\r\n", "ok" },
    { "size of a chunk with a prefix", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n" },
    { "blank in the name of a trailer", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Blank: 1\r\n\r\n", "ok" },
};

// Guards against a broken answer being taken for a whole one, or waited for until the timeout of its call.
TEST_CASE("an answer that breaks the syntax of HTTP fails its call at once")
{
    for (const auto& row : brokenCases) {
        CAPTURE(std::string(row.name));
        Testkit::BlockingClient client;
        ScriptedServer server(serverAddress, { { row.answer, false }, { okAnswer, false } });
        REQUIRE(server.isListening);
        auto options = shortCallOptions();
        options.idleTimeout = 2s;
        const auto fetch = [&] {
            Outcome outcome;
            client.httpClient().fetch(serverAddress, { "POST", "/a", "", {}, "body" }, options,
                [&outcome](std::error_code error, const HttpResponse& response) { outcome = { error, response, true }; });
            CHECK(client.waitUntil([&] { server.poll(); return outcome.isDone; }, 1s));
            return outcome;
        };
        const auto broken = fetch();
        CHECK(broken.error == Error::ConnectionLost);
        CHECK(std::string(row.body).starts_with(broken.response.body));
        if (std::string(row.body).empty())
            CHECK(broken.response.headers.begin() == broken.response.headers.end());
        CHECK_FALSE(fetch().error);
        CHECK(server.acceptedCount == 2);
    }
}

// Guards against bytes after a whole answer being read as the answer to the next call.
TEST_CASE("a connection on which bytes follow a whole answer is not used again")
{
    const std::string strayed = std::string(okAnswer) + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray";
    Testkit::BlockingClient client;
    ScriptedServer server(serverAddress, { { strayed, false }, { okAnswer, false } });
    for (int count = 1; count <= 2; ++count) {
        Outcome outcome;
        client.httpClient().fetch(serverAddress, { "POST", "/a", "", {}, "body" }, shortCallOptions(),
            [&outcome](std::error_code error, const HttpResponse& response) { outcome = { error, response, true }; });
        CHECK(client.waitUntil([&] { server.poll(); return outcome.isDone; }, 3s));
        CHECK_FALSE(outcome.error);
        CHECK(outcome.response.body == "ok");
        CHECK(server.acceptedCount == count);
    }
}

struct ResetCase {
    const char* name;
    const char* answer; ///< Sent while the request is still being written, before the connection is reset.
};

const ResetCase resetCases[] = {
    { "no answer", "" },
    { "a body without a length", "HTTP/1.1 200 OK\r\n\r\nok" },
    { "a body without a length, announced close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok" },
    { "a body that is shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok" },
    { "an unfinished chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok" },
};

TEST_CASE("an answer whose connection is reset during an upload is not taken for a whole one")
{
    constexpr std::size_t uploadBytes = 4 * mebibyte;
    constexpr int plays = 20; // The order of a failed write, the reset and the end of the stream varies.
    for (const auto& row : resetCases) {
        CAPTURE(std::string(row.name));
        for (int play = 0; play < plays; ++play) {
            Testkit::BlockingClient client;
            ScriptedServer server(serverAddress, { { row.answer, true } }); // Closing with unread bytes resets the connection.
            Outcome outcome;
            client.httpClient().fetch(serverAddress, { "POST", "/a", "", {}, std::string(uploadBytes, 'u') }, shortCallOptions(),
                [&outcome](std::error_code error, const HttpResponse& response) { outcome = { error, response, true }; });
            CHECK(client.waitUntil([&] { server.poll(); return outcome.isDone; }, 1s));
            CHECK(outcome.error == Error::ConnectionLost);
        }
    }
}

struct EndlessCase {
    const char* name;
    const char* begin; ///< First bytes of the response.
    std::string repeated; ///< Bytes that follow without end.
    Error error = Error::TooLarge; ///< How the call ends.
};

auto block(const std::string& text) -> std::string
{
    constexpr std::size_t size = 65'536;
    std::string result;
    while (result.size() < size)
        result += text;
    return result;
}

constexpr auto chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

const EndlessCase endlessCases[] = {
    { "bytes that are no HTTP", "", block("zz"), Error::ConnectionLost },
    { "one long status line", "HTTP/1.1 200 ", block("a") },
    { "one long header name", "HTTP/1.1 200 OK\r\n", block("a") },
    { "one long header", "HTTP/1.1 200 OK\r\nX-Long: ", block("a") },
    { "many headers", "HTTP/1.1 200 OK\r\n", block("X-More: 1\r\n") },
    { "empty lines", "", block("\r\n"), Error::ConnectionLost },
    { "interim responses", "", block("HTTP/1.1 100 X\r\n\r\n") },
    { "interim responses with headers", "", block("HTTP/1.1 100 X\r\nX-More: 1\r\n\r\n") },
    { "a body with a length", "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n", block("a") },
    { "a body without a length", "HTTP/1.1 200 OK\r\n\r\n", block("a") },
    { "small chunks", chunkedHead, block("1\r\na\r\n") },
    { "one large chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\n", block("a") },
    { "a chunk size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0", block("0") },
    { "a chunk extension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", block("a") },
    { "empty lines in place of chunks", chunkedHead, block("\r\n"), Error::ConnectionLost },
    { "one trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", block("a") },
    { "many trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", block("X-More: 1\r\n") },
};

TEST_CASE("a response without end ends its call by its size limits")
{
    constexpr std::size_t socketBytes = 6 * mebibyte; // What the sockets on both sides may hold.
    constexpr auto timeout = 3s; // Not reached, as the size limits end the calls.
    for (const auto& row : endlessCases) {
        CAPTURE(std::string(row.name));
        Testkit::BlockingClient client;
        ScriptedServer server(serverAddress, { { row.begin, false, row.repeated } });
        REQUIRE(server.isListening);
        auto options = shortCallOptions();
        options.firstByteTimeout = timeout;
        options.idleTimeout = timeout;
        Outcome outcome;
        const auto begin = EventLoop::now();
        const auto call = client.httpClient().fetch(serverAddress, { "POST", "/a", "", {}, "body" }, options,
            [&outcome](std::error_code error, const HttpResponse& response) { outcome = { error, response, true }; });

        CHECK(client.waitUntil([&] { server.poll(); return outcome.isDone; }, timeout + 1s));
        CHECK(outcome.error == row.error);
        CHECK(client.waitUntil([&] { server.poll(); return server.floodsClosed == 1; }, 2s));
        CHECK(EventLoop::now() - begin < timeout);
        CHECK(server.floodBytes < socketBytes);
        CHECK(outcome.response.body.size() <= options.maxResponseBytes);
    }
}

} // namespace
