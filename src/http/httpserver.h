#pragma once

#include "address.h"
#include "httpmessage.h"
#include "units.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <sigc++/signal.h>
#include <string>
#include <string_view>
#include <system_error>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace Primrosefork {

class EventLoop;
class HttpServer;

/** The limits that a server holds its clients to. */
struct HttpServerOptions {
    std::size_t headerBytes = 16 * kibibyte;
    std::size_t bodyBytes = mebibyte;
    std::size_t streamBufferBytes = 64 * kibibyte; ///< Unread by the client before isCongested().
    std::chrono::milliseconds readTimeout { 10'000 };
    std::chrono::milliseconds writeTimeout { 60'000 };
};

/**
 * One request that a server received, and the way to answer it.
 *
 * It is answered once: by respond(), or by beginStream(), any number of
 * sendPiece() and endStream() or abort(). After the client has gone away all of
 * these do nothing.
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

    /** Closes the connection without ending the answer, so that the client sees it is not whole. */
    auto abort() -> void;

    /** Returns a number that exchanges on the same connection share. */
    [[nodiscard]] auto connectionId() const -> std::uintptr_t { return this->connection; }

    /** Returns whether the client went away before the answer was whole. */
    [[nodiscard]] auto isClosed() const -> bool { return this->hasClosed; }

    [[nodiscard]] auto isAnswered() const -> bool { return this->hasAnswered; }
    [[nodiscard]] auto isStreaming() const -> bool { return this->hasBegun && !this->hasAnswered; }

    /** Returns whether the client has left so much unread that its stream is to be held back. */
    [[nodiscard]] auto isCongested() const -> bool;

    /** Emitted once when the client goes away before the answer is whole. */
    sigc::signal<void> closed;

    /** Emitted when the client has read what was sent to it. */
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
    bool hasAnswered = false;
    bool hasClosed = false;
};

/**
 * Listens on one address and hands each whole request to its handler.
 *
 * A request whose length two readers could understand differently is refused
 * and its connection closed.
 */
class HttpServer {
public:
    using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

    HttpServer(EventLoop&, HttpServerOptions, Handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    auto operator=(const HttpServer&) -> HttpServer& = delete;

    auto listen(const Address&) -> std::error_code;

    /** Takes no new connections; open ones go on and are closed after their answer. */
    auto stopAccepting() -> void;

    [[nodiscard]] auto isAccepting() const -> bool { return this->socket != nullptr; }

    /** Returns how many requests are not answered, or their answers not yet written to the network. */
    [[nodiscard]] auto openCount() const -> std::size_t { return this->open.size(); }

    /** Emitted when the last answer was written, or its client went away. */
    sigc::signal<void> becameIdle;

private:
    friend class HttpExchange;

    auto handle(evhttp_request*) -> void;
    auto requestOver(evhttp_connection*) -> void;

    EventLoop& loop;
    HttpServerOptions options;
    Handler handler;
    evhttp* server;
    evhttp_bound_socket* socket = nullptr;
    std::set<evhttp_connection*> open; ///< Connections whose request is not over.
    bool closesConnections = false;
};

} // namespace Primrosefork
