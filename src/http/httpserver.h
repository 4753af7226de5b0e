#pragma once

#include "address.h"
#include "httpmessage.h"
#include "units.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <sigc++/signal.h>
#include <string>
#include <string_view>
#include <system_error>

struct bufferevent;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace Primrosefork {

class EventLoop;
class HttpServer;
class InputTimeout;

/** Limits that a server enforces on its clients. */
struct HttpServerOptions {
    std::size_t headerBytes = 16 * kibibyte;
    std::size_t bodyBytes = mebibyte;
    std::size_t streamBufferBytes = 64 * kibibyte; ///< Unsent output above which isCongested() returns true.
    std::chrono::milliseconds readTimeout { 10'000 };
    std::chrono::milliseconds writeTimeout { 60'000 };
};

/**
 * A request that a server received, and the means to respond to it.
 *
 * A request is answered once: by respond(), or by beginStream(), any number of
 * sendPiece() and endStream() or abort(). After the client has disconnected,
 * these functions do nothing.
 */
class HttpExchange : public std::enable_shared_from_this<HttpExchange> {
public:
    HttpExchange(evhttp_request*, HttpRequest, HttpServer&);
    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    auto operator=(const HttpExchange&) -> HttpExchange& = delete;

    [[nodiscard]] auto request() const -> const HttpRequest& { return this->received; }

    auto respond(const HttpResponse&) -> void;
    auto beginStream(int status, const HttpHeaders&) -> void;
    auto sendPiece(std::string_view) -> void;
    auto endStream() -> void;

    /** Closes the connection without completing the response, so that the client detects the truncation. */
    auto abort() -> void;

    /** Returns the id of the connection, which all exchanges on the same connection share. */
    [[nodiscard]] auto connectionId() const -> std::uintptr_t { return this->connection; }

    /** Returns whether the client disconnected before the response was complete. */
    [[nodiscard]] auto isClosed() const -> bool { return this->hasClientClosed; }

    [[nodiscard]] auto isAnswered() const -> bool { return this->hasResponded; }
    [[nodiscard]] auto isStreaming() const -> bool { return this->hasBegun && !this->hasResponded; }

    /** Returns whether so much output is unsent that the stream should be paused until drained is emitted. */
    [[nodiscard]] auto isCongested() const -> bool;

    /** Emitted once if the client disconnects before the response is complete. */
    sigc::signal<void> closed;

    /** Emitted when the pieces sent so far have been written to the socket. */
    sigc::signal<void> drained;

private:
    friend class HttpServer;

    auto watchConnection() -> void;
    auto finish() -> evhttp_request*;
    auto connectionClosed(evhttp_connection*) -> void;
    auto addHeaders(const HttpHeaders&) -> void;

    evhttp_request* handle;
    std::uintptr_t connection;
    HttpRequest received;
    HttpServer& server;
    bool hasBegun = false;
    bool hasResponded = false;
    bool hasClientClosed = false;
};

/**
 * Listens on one address and passes each complete request to its handler.
 *
 * A request with an ambiguous length, which another HTTP implementation could
 * read differently, is rejected and its connection closed.
 */
class HttpServer {
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

    HttpServer(EventLoop&, HttpServerOptions, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    auto operator=(const HttpServer&) -> HttpServer& = delete;

    auto listen(const Address&) -> std::error_code;

    /** Stops accepting connections. Open connections are closed after their next response. */
    auto stopAccepting() -> void;

    [[nodiscard]] auto isAccepting() const -> bool { return this->socket != nullptr; }

    /** Returns the number of requests whose response has not been completely written to the network. */
    [[nodiscard]] auto openRequestCount() const -> std::size_t { return this->open.size(); }

    /** Emitted when the last open request has ended: its response was written or its client disconnected. */
    sigc::signal<void> becameIdle;

private:
    friend class HttpExchange;

    auto handle(evhttp_request*) -> void;
    auto createStream() -> bufferevent*;
    auto awaitNextRequest(evhttp_connection*) -> void;
    auto connectionClosed(evhttp_connection*) -> void;
    auto requestEnded(evhttp_connection*) -> void;

    EventLoop& loop;
    HttpServerOptions options;
    Handler handler;
    evhttp* server;
    evhttp_bound_socket* socket = nullptr;
    std::set<evhttp_connection*> open; ///< Connections with a request in progress.
    std::map<bufferevent*, std::unique_ptr<InputTimeout>> inputTimeouts;
    bool closesConnections = false;
};

} // namespace Primrosefork
