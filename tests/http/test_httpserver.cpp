#include "blockingclient.h"
#include "httpserver.h"
#include "rawconnection.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

const Address serverAddress { "127.3.1.1", 18'080 };
constexpr std::size_t headerLimit = 2048;
constexpr std::size_t bodyLimit = 1000;
constexpr auto readTimeout = 300ms;

/** A server that answers every request with its method, path and body size. */
struct EchoServer {
    explicit EchoServer(EventLoop& loop)
        : server(loop, { .headerBytes = headerLimit, .bodyBytes = bodyLimit, .streamBufferBytes = 4096, .readTimeout = readTimeout, .writeTimeout = 5s },
            [this](const std::shared_ptr<HttpExchange>& exchange) { this->handle(exchange); })
    {
        this->listenError = this->server.listen(serverAddress);
    }

    auto handle(const std::shared_ptr<HttpExchange>& exchange) -> void
    {
        ++this->handled;
        const auto& request = exchange->request();
        if (request.path == "/hold") {
            exchange->closed.connect([this] { ++this->closed; });
            this->held.push_back(exchange);
            return;
        }
        exchange->respond({ HttpStatus::ok, {}, request.method + " " + request.path + " " + std::to_string(request.body.size()) });
    }

    int handled = 0;
    int closed = 0;
    std::error_code listenError;
    std::vector<std::shared_ptr<HttpExchange>> held;
    HttpServer server;
};

struct InputCase {
    const char* name;
    std::string input;
    const char* answer; ///< Text that the response contains; empty if the connection ends without a response.
    bool endsConnection; ///< Whether the server closes the connection.
    int handled; ///< Number of requests that reach the handler.
};

const InputCase inputCases[] = {
    { "complete request", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc", "POST /a 3", false, 1 },
    { "two requests in one packet", "GET /a HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n", "GET /b 0", false, 2 },
    { "chunked request", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", "POST /a 3", false, 1 },
    { "length and chunked encoding", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400 Bad Request", true, 0 },
    { "two different lengths", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", "ambiguous_length", true, 0 },
    { "length with a sign", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\nabc", "ambiguous_length", true, 0 },
    { "unknown transfer encoding", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "ambiguous_length", true, 0 },
    { "two transfer encodings", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400 Bad Request", true, 0 },
    { "negative length", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: -3\r\n\r\n", "400", true, 0 },
    { "body above the limit", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n", "413", true, 0 },
    { "chunk above the limit", "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n", "413", true, 0 },
    { "headers above the limit", "GET /a HTTP/1.1\r\nX: " + std::string(headerLimit, 'x') + "\r\n\r\n", "400", true, 0 },
    { "request line above the limit", "GET /" + std::string(headerLimit, 'x') + " HTTP/1.1\r\n\r\n", "400", true, 0 },
    { "no request line", "hello\r\n\r\n", "400", true, 0 },
    { "unknown method", "BREW /a HTTP/1.1\r\nHost: x\r\n\r\n", "501", false, 0 },
    { "incomplete header", "GET /a HTTP/1.1\r\nHo", "", true, 0 },
    { "nothing", "", "", true, 0 },
    { "nothing after a request", "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "GET /a 0", true, 1 },
    { "incomplete body", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 30\r\n\r\nabc", "", true, 0 },
};

TEST_CASE("valid requests are handled; malformed, oversized and incomplete ones are rejected")
{
    for (const auto& row : inputCases) {
        CAPTURE(std::string(row.name));
        Testkit::BlockingClient client;
        EchoServer echo(client.eventLoop());
        REQUIRE_FALSE(echo.listenError);
        Testkit::RawConnection connection(serverAddress);

        connection.send(row.input);

        const auto isOver = [&] {
            connection.poll();
            const auto isAnswered = *row.answer && connection.received().find(row.answer) != std::string::npos;
            return (isAnswered || !*row.answer) && (connection.isEnded() || !row.endsConnection);
        };
        const auto isMet = client.waitUntil(isOver, 3s);
        INFO("received: ", connection.received());
        CHECK(isMet);
        CHECK(echo.handled == row.handled);
    }
}

struct BusyCase {
    const char* name;
    std::string first; ///< Sent before the loop is busy.
    std::string second; ///< Sent while the loop is busy for longer than the read timeout.
    int connections;
    int handled; ///< Number of requests that reach the handler, of each connection.
};

const BusyCase busyCases[] = {
    { "a request on a new connection", "", "GET /b HTTP/1.1\r\nHost: x\r\n\r\n", 1, 1 },
    { "a request on a connection that was idle", "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "GET /b HTTP/1.1\r\nHost: x\r\n\r\n", 1, 2 },
    { "the rest of a head", "GET /a HTTP/1.1\r\nHo", "st: x\r\n\r\n", 1, 1 },
    { "the rest of a body", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 6\r\n\r\nabc", "def", 1, 1 },
    { "a whole body", "", "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 900\r\n\r\n" + std::string(900, 'x'), 1, 1 },
    { "requests on many new connections", "", "GET /b HTTP/1.1\r\nHost: x\r\n\r\n", 200, 1 },
    { "requests on many connections that were idle", "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", "GET /b HTTP/1.1\r\nHost: x\r\n\r\n", 200, 2 },
};

auto answerCount(const std::string& received) -> int
{
    constexpr std::string_view status = "200 OK";
    auto count = 0;
    for (auto position = received.find(status); position != std::string::npos; position = received.find(status, position + 1))
        ++count;
    return count;
}

// Guards against a read timeout that is decided before input that had arrived in time.
TEST_CASE("input that arrives while the loop is busy for longer than the read timeout is handled")
{
    for (const auto& row : busyCases) {
        INFO(std::string(row.name));
        Testkit::BlockingClient client;
        EchoServer echo(client.eventLoop());
        REQUIRE_FALSE(echo.listenError);
        std::vector<std::unique_ptr<Testkit::RawConnection>> connections;
        for (auto count = 0; count < row.connections; ++count) {
            connections.push_back(std::make_unique<Testkit::RawConnection>(serverAddress));
            connections.back()->send(row.first);
        }
        CHECK_FALSE(client.waitUntil([] { return false; }, 50ms));
        std::this_thread::sleep_for(readTimeout - 100ms);
        for (const auto& connection : connections)
            connection->send(row.second);
        std::this_thread::sleep_for(300ms);
        client.waitUntil([&] { return echo.handled == row.handled * row.connections; }, 2s);
        CHECK(echo.handled == row.handled * row.connections);
        const auto isAnswered = [&row](const auto& connection) {
            connection->poll();
            return answerCount(connection->received()) == row.handled && !connection->isEnded();
        };
        CHECK(client.waitUntil([&] { return std::ranges::all_of(connections, isAnswered); }, 200ms));
    }
}

TEST_CASE("closed is emitted when a client disconnects before its response is complete")
{
    struct Row {
        const char* name;
        bool resets;
        bool isStreaming;
    };
    const Row rows[] = {
        { "orderly close before the response", false, false },
        { "reset before the response", true, false },
        { "orderly close within a stream", false, true },
        { "reset within a stream", true, true },
    };
    for (const auto& row : rows) {
        CAPTURE(std::string(row.name));
        Testkit::BlockingClient client;
        EchoServer echo(client.eventLoop());
        auto connection = std::make_unique<Testkit::RawConnection>(serverAddress);
        connection->send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
        REQUIRE(client.waitUntil([&echo] { return !echo.held.empty(); }, 2s));
        if (row.isStreaming) {
            echo.held[0]->beginStream(HttpStatus::ok, {});
            echo.held[0]->sendPiece("piece");
            REQUIRE(client.waitUntil([&] { connection->poll(); return !connection->received().empty(); }, 2s));
        }

        if (row.resets)
            connection->reset();
        connection.reset();

        CHECK(client.waitUntil([&echo] { return echo.closed == 1; }, 2s));
        CHECK(echo.handled == 1);
        CHECK(echo.server.openRequestCount() == 0);
        echo.held[0]->sendPiece("late");
        echo.held[0]->endStream();
        echo.held.clear();
        Testkit::RawConnection next(serverAddress);
        next.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(client.waitUntil([&next] { next.poll(); return next.received().find("GET /a 0") != std::string::npos; }, 2s));
    }
}

TEST_CASE("a pipelined request is handled only after the response to the previous one")
{
    Testkit::BlockingClient client;
    EchoServer echo(client.eventLoop());
    Testkit::RawConnection connection(serverAddress);
    connection.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(client.waitUntil([&echo] { return !echo.held.empty(); }, 2s));

    // The next request is handled only after the first one is answered.
    connection.send("GET /next HTTP/1.1\r\nHost: x\r\n\r\n");
    client.waitUntil([] { return false; }, 50ms);
    CHECK(echo.handled == 1);
    echo.held[0]->respond({ HttpStatus::ok, {}, "first" });

    CHECK(client.waitUntil([&] { connection.poll(); return connection.received().find("GET /next 0") != std::string::npos; }, 2s));
    CHECK(connection.received().find("first") < connection.received().find("GET /next 0"));
}

TEST_CASE("a stream is congested while its client does not read, and drained after the client reads")
{
    Testkit::BlockingClient client;
    EchoServer echo(client.eventLoop());
    Testkit::RawConnection connection(serverAddress);
    connection.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(client.waitUntil([&echo] { return !echo.held.empty(); }, 2s));
    auto& exchange = *echo.held[0];
    int drained = 0;
    exchange.drained.connect([&drained] { ++drained; });
    exchange.beginStream(HttpStatus::ok, {});

    const std::string piece(4096, 'x');
    REQUIRE(client.waitUntil([&] { exchange.sendPiece(piece); return exchange.isCongested(); }, 20s));

    drained = 0;
    CHECK(client.waitUntil([&] { connection.poll(); return drained > 0 && !exchange.isCongested(); }, 5s));
    exchange.endStream();
    CHECK(client.waitUntil([&] { connection.poll(); return connection.received().ends_with("0\r\n\r\n"); }, 5s));
}

TEST_CASE("an aborted stream ends without its last chunk")
{
    Testkit::BlockingClient client;
    EchoServer echo(client.eventLoop());
    Testkit::RawConnection connection(serverAddress);
    connection.send("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(client.waitUntil([&echo] { return !echo.held.empty(); }, 2s));
    echo.held[0]->beginStream(HttpStatus::ok, {});
    echo.held[0]->sendPiece("piece");
    REQUIRE(client.waitUntil([&] { connection.poll(); return connection.received().find("piece") != std::string::npos; }, 2s));

    echo.held[0]->abort();

    CHECK(client.waitUntil([&] { connection.poll(); return connection.isEnded(); }, 2s));
    CHECK_FALSE(connection.received().ends_with("0\r\n\r\n"));
    CHECK(client.waitUntil([&echo] { return echo.server.openRequestCount() == 0; }, 2s));
}

} // namespace
