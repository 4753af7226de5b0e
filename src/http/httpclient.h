#pragma once

#include "address.h"
#include "bufferbudget.h"
#include "httpmessage.h"
#include "units.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <system_error>
#include <vector>

struct evhttp_connection;

namespace Primrosefork {

class EventLoop;
class HttpClient;

/** Timeouts, limits and use of connections of one call. */
struct HttpCallOptions {
    std::chrono::milliseconds connectTimeout { 1'000 };
    std::chrono::milliseconds firstByteTimeout { 30'000 }; ///< Time from the first byte sent to the headers of the response.
    std::chrono::milliseconds idleTimeout { 30'000 }; ///< Time between two pieces of the response.
    std::size_t maxResponseBytes = 4 * mebibyte; ///< Size limit for the response body, above which the call ends with Error::TooLarge, as it does when head and framing are far larger; 0 means no limit.
    bool detectsDeadPeer = false; ///< Whether the call ends when the peer stops acknowledging, although the response itself may take long.
    bool usesFreshConnection = false; ///< Whether to open a new connection, for calls that must not be sent on one that the server is closing.
};

/** Callbacks of one call. */
struct HttpCallHandlers {
    std::function<void(int status, const HttpHeaders&)> onHeaders;
    std::function<void(std::string_view)> onPiece;
    std::function<void(std::error_code)> onDone; ///< Called last and exactly once, but not after cancel().
};

/**
 * A request to a server that is in progress. Each call has a connection of its
 * own and is sent at most once.
 */
class HttpCall : public std::enable_shared_from_this<HttpCall> {
public:
    virtual ~HttpCall() = default;

    /** Ends the call. No handler is called afterwards. */
    virtual auto cancel() -> void = 0;

    /** Stops reading the response until resume(). The idle timeout does not run meanwhile. */
    virtual auto pause() -> void = 0;
    virtual auto resume() -> void = 0;

    /** Returns whether a byte of the request may have reached the server. */
    [[nodiscard]] virtual auto hasSentBytes() const -> bool = 0;
};

/**
 * Sends requests and keeps idle connections open for later ones.
 */
class HttpClient {
public:
    /** Answers that fetch() collects may fill \a bufferBytes together; above it the largest one ends with Error::TooLarge. */
    explicit HttpClient(EventLoop&, std::size_t bufferBytes = 64 * mebibyte);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    auto operator=(const HttpClient&) -> HttpClient& = delete;

    [[nodiscard]] auto eventLoop() const -> EventLoop& { return this->loop; }

    /** Sends \a request to \a server. The handlers are called from the event loop, never within this call. */
    auto send(const Address& server, const HttpRequest& request, const HttpCallOptions&, HttpCallHandlers) -> std::shared_ptr<HttpCall>;

    /** Sends \a request to \a server and calls \a done with the complete response. */
    auto fetch(const Address& server, const HttpRequest& request, const HttpCallOptions&,
        std::function<void(std::error_code, const HttpResponse&)> done) -> std::shared_ptr<HttpCall>;

    /** Closes the idle connections to \a server, for use when the server may have become unreachable. */
    auto dropIdleConnections(const Address& server) -> void;

private:
    friend class HttpClientCall;

    auto acquireConnection(const Address&, bool requiresNew) -> evhttp_connection*;
    auto keepConnection(const Address&, evhttp_connection*) -> void;
    auto discardConnection(evhttp_connection*) -> void;
    auto idleConnectionClosed(evhttp_connection*) -> void;

    EventLoop& loop;
    std::shared_ptr<BufferBudget> buffers; ///< For the responses that fetch() collects.
    std::map<Address, std::vector<evhttp_connection*>> idle;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
