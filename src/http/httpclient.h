#pragma once

#include "address.h"
#include "httpmessage.h"
#include "units.h"

#include <chrono>
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

/** How long one call may wait, and how it uses connections. */
struct HttpCallOptions {
    std::chrono::milliseconds connectTimeout { 1'000 };
    std::chrono::milliseconds firstByteTimeout { 30'000 }; ///< From the call to the headers of its answer.
    std::chrono::milliseconds idleTimeout { 30'000 }; ///< Between two pieces of the answer.
    std::size_t answerBytes = 4 * mebibyte; ///< A longer answer ends the call with Error::TooLarge; 0 is no limit.
    bool detectsSilence = false; ///< Ends the call when the connection goes silent, though the answer may wait.
    bool usesFreshConnection = false; ///< For calls that must not meet a connection the server is closing.
};

/** What a call tells its owner. */
struct HttpCallHandlers {
    std::function<void(int status, const HttpHeaders&)> onHeaders;
    std::function<void(std::string_view)> onPiece;
    std::function<void(std::error_code)> onDone; ///< Called last and once, but not after cancel().
};

/**
 * One request under way to a server. Each has its connection for itself and is
 * sent at most once.
 */
class HttpCall : public std::enable_shared_from_this<HttpCall> {
public:
    virtual ~HttpCall() = default;

    /** Ends the call; no handler is called any more. */
    virtual auto cancel() -> void = 0;

    /** Reads no more of the answer until resume(). The idle timeout rests meanwhile. */
    virtual auto pause() -> void = 0;
    virtual auto resume() -> void = 0;

    /** Returns whether a byte of the request may have reached the server. */
    [[nodiscard]] virtual auto hasSentBytes() const -> bool = 0;
};

/**
 * Sends requests and keeps idle connections for the next ones.
 */
class HttpClient {
public:
    explicit HttpClient(EventLoop&);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    auto operator=(const HttpClient&) -> HttpClient& = delete;

    /** Sends \a request to \a server. The handlers are called from the loop, never from here. */
    auto send(const Address& server, const HttpRequest& request, const HttpCallOptions&, HttpCallHandlers) -> std::shared_ptr<HttpCall>;

    /** Sends \a request and calls \a done with the whole answer. */
    auto fetch(const Address& server, const HttpRequest& request, const HttpCallOptions&,
        std::function<void(std::error_code, const HttpResponse&)> done) -> std::shared_ptr<HttpCall>;

    /** Closes the idle connections to \a server, which may have gone silent. */
    auto dropIdleConnections(const Address& server) -> void;

private:
    friend class HttpClientCall;

    auto takeConnection(const Address&, bool fresh) -> evhttp_connection*;
    auto keepConnection(const Address&, evhttp_connection*) -> void;
    auto discardConnection(evhttp_connection*) -> void;
    auto forget(evhttp_connection*) -> void;

    EventLoop& loop;
    std::map<Address, std::vector<evhttp_connection*>> idle;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
