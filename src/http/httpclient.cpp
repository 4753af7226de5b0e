#include "httpclient.h"

#include "errors.h"
#include "eventloop.h"
#include "responsecheck.h"
#include "socketoptions.h"

#include <algorithm>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <utility>

namespace Primrosefork {

namespace {

constexpr int firstRedirection = 300;
constexpr int statusNoContent = 204;
constexpr std::size_t maxIdlePerServer = 64;
constexpr int libraryTimeoutSeconds = 24 * 3600; ///< One day, so that the timers of each call expire first.
constexpr std::size_t maxHeadBytes = 64 * kibibyte; ///< Size limit for the headers of a response.
constexpr std::size_t otherBytesPerBodyByte = 8; ///< Limit for the framing of the body; the framing of a chunk of one byte takes five.

auto commandOf(const std::string& method) -> evhttp_cmd_type
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    return EVHTTP_REQ_GET;
}

auto readHeaders(evhttp_request* request) -> HttpHeaders
{
    HttpHeaders headers;
    for (const auto* header = evhttp_request_get_input_headers(request)->tqh_first; header; header = header->next.tqe_next)
        headers.add(header->key, header->value);
    return headers;
}

} // namespace

/** The response to a call as far as it was received. */
struct CollectedResponse {
    std::shared_ptr<BufferBudget> budget; ///< Kept, because a call may outlive its client.
    HttpResponse response;
    std::unique_ptr<BufferBudget::Account> buffered;
};

/**
 * The HttpCall that HttpClient returns, on one evhttp connection.
 */
class HttpClientCall : public HttpCall {
public:
    HttpClientCall(HttpClient& client, Address server, const HttpCallOptions& options, HttpCallHandlers handlers)
        : client(client)
        , server(std::move(server))
        , options(options)
        , handlers(std::move(handlers))
        , timer(client.loop, [this] { this->timedOut(); })
        , check(maxHeadBytes)
    {
    }

    auto begin(const HttpRequest& message) -> void;
    auto cancel() -> void override;
    auto pause() -> void override;
    auto resume() -> void override;

    /** Ends the call from the loop, because its response is too large. */
    auto giveUp() -> void;
    [[nodiscard]] auto hasSentBytes() const -> bool override { return this->sentBytes > 0; }

private:
    [[nodiscard]] auto isTooLarge() const -> bool;
    [[nodiscard]] auto isBroken() const -> bool { return this->check.isMalformed() || this->check.isHeadTooLarge(); }
    auto watchOutput() -> void;
    auto watchInput() -> void;
    auto connected() -> void;
    auto headersReceived(evhttp_request*) -> void;
    auto piecesReceived(evhttp_request*) -> void;
    auto completed(evhttp_request*) -> void;
    [[nodiscard]] auto isCutAfterHead(evhttp_request*) const -> bool;
    [[nodiscard]] auto isWhole(evhttp_request*) -> bool;

    /** Returns why a response that is not whole is not. */
    [[nodiscard]] auto failure() const -> Error;
    auto timedOut() -> void;
    auto fail(Error) -> void;
    auto release(bool isReusable) -> void;
    auto finish(std::error_code) -> void;

    HttpClient& client;
    Address server;
    HttpCallOptions options;
    HttpCallHandlers handlers;
    Timer timer;
    ResponseCheck check;
    evhttp_connection* connection = nullptr;
    evhttp_request* handle = nullptr;
    evbuffer_cb_entry* outputCallback = nullptr;
    evbuffer_cb_entry* inputCallback = nullptr;
    std::shared_ptr<HttpClientCall> self; ///< Keeps the call alive until it is done.
    std::size_t sentBytes = 0;
    std::size_t receivedBytes = 0; ///< Number of bytes of the body.
    std::size_t inputBytes = 0; ///< Number of bytes that the connection has received during the call.
    bool hasHeaders = false;
    bool isPaused = false;
    bool isFailing = false;
    bool hasExceededLimit = false; ///< Whether the library ended the call because of a size limit.
    bool isDone = false;
};

auto HttpClientCall::begin(const HttpRequest& message) -> void
{
    this->self = std::static_pointer_cast<HttpClientCall>(this->shared_from_this());
    this->connection = this->client.acquireConnection(this->server, this->options.usesFreshConnection);
    this->handle = evhttp_request_new(
        [](evhttp_request* request, void* call) { static_cast<HttpClientCall*>(call)->completed(request); }, this);
    evhttp_request_set_header_cb(this->handle, [](evhttp_request* request, void* call) {
        static_cast<HttpClientCall*>(call)->headersReceived(request);
        return 0;
    });
    evhttp_request_set_chunked_cb(this->handle,
        [](evhttp_request* request, void* call) { static_cast<HttpClientCall*>(call)->piecesReceived(request); });
    evhttp_request_set_error_cb(this->handle, [](evhttp_request_error error, void* call) {
        static_cast<HttpClientCall*>(call)->isFailing = true;
        static_cast<HttpClientCall*>(call)->hasExceededLimit = error == EVREQ_HTTP_DATA_TOO_LONG;
    });

    auto* output = evhttp_request_get_output_headers(this->handle);
    for (const auto& header : message.headers)
        evhttp_add_header(output, header.name.c_str(), header.value.c_str());
    if (!message.headers.get("Host"))
        evhttp_add_header(output, "Host", this->server.toString().c_str());
    evbuffer_add(evhttp_request_get_output_buffer(this->handle), message.body.data(), message.body.size());

    this->watchOutput();
    this->watchInput();
    this->timer.start(std::min(this->options.connectTimeout, this->options.firstByteTimeout));
    if (evhttp_make_request(this->connection, this->handle, commandOf(message.method), message.target().c_str()) != 0) {
        this->handle = nullptr;
        this->client.loop.post([call = this->self] { call->fail(Error::ConnectionFailed); });
    }
}

auto HttpClientCall::watchOutput() -> void
{
    auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(this->connection));
    this->outputCallback = evbuffer_add_cb(
        output,
        [](evbuffer*, const evbuffer_cb_info* info, void* argument) {
            auto* call = static_cast<HttpClientCall*>(argument);
            if (call->isFailing || info->n_deleted == 0)
                return;
            if (call->sentBytes == 0)
                call->connected();
            call->sentBytes += info->n_deleted;
        },
        this);
}

auto HttpClientCall::watchInput() -> void
{
    constexpr ev_ssize_t unlimited = -1;
    const auto bodyLimit = this->options.maxResponseBytes;
    evhttp_connection_set_max_headers_size(this->connection, static_cast<ev_ssize_t>(maxHeadBytes));
    evhttp_connection_set_max_body_size(this->connection, bodyLimit > 0 ? static_cast<ev_ssize_t>(bodyLimit) : unlimited);
    this->inputCallback = evbuffer_add_cb(
        bufferevent_get_input(evhttp_connection_get_bufferevent(this->connection)),
        [](evbuffer* buffer, const evbuffer_cb_info* info, void* argument) {
            auto* call = static_cast<HttpClientCall*>(argument);
            if (info->n_added == 0 || call->isDone)
                return;
            call->inputBytes += info->n_added;
            call->check.bytesAdded(buffer, info->n_added);
            if (call->isBroken())
                call->client.loop.post([failed = call->self] { failed->fail(failed->failure()); });
            else if (call->isTooLarge())
                call->client.loop.post([failed = call->self] { failed->fail(Error::TooLarge); });
        },
        this);
}

auto HttpClientCall::isTooLarge() const -> bool
{
    const auto bodyLimit = this->options.maxResponseBytes;
    // A chunk is part of the body only when it is complete.
    const auto otherLimit = maxHeadBytes + bodyLimit + otherBytesPerBodyByte * this->receivedBytes;
    return bodyLimit > 0 && (this->receivedBytes > bodyLimit || this->inputBytes > this->receivedBytes + otherLimit);
}

auto HttpClientCall::connected() -> void
{
    this->timer.start(this->options.firstByteTimeout);
    if (this->options.detectsDeadPeer)
        enableDeadPeerDetection(bufferevent_getfd(evhttp_connection_get_bufferevent(this->connection)));
}

auto HttpClientCall::headersReceived(evhttp_request* request) -> void
{
    if (this->isDone || this->isBroken())
        return;
    if (evhttp_request_get_response_code(request) < HttpStatus::ok) {
        // The library adds the headers of the next response to those of an interim response.
        evhttp_clear_headers(evhttp_request_get_input_headers(request));
        return;
    }
    this->hasHeaders = true;
    this->timer.start(this->options.idleTimeout);
    if (this->handlers.onHeaders)
        this->handlers.onHeaders(evhttp_request_get_response_code(request), readHeaders(request));
}

auto HttpClientCall::piecesReceived(evhttp_request* request) -> void
{
    auto* buffer = evhttp_request_get_input_buffer(request);
    const auto size = evbuffer_get_length(buffer);
    if (this->isDone || this->isBroken() || size == 0)
        return;
    this->receivedBytes += size;
    if (this->isTooLarge()) {
        this->client.loop.post([call = this->self] { call->fail(Error::TooLarge); });
        return;
    }
    if (!this->isPaused)
        this->timer.start(this->options.idleTimeout);
    const std::string_view piece(reinterpret_cast<const char*>(evbuffer_pullup(buffer, -1)), size);
    if (this->handlers.onPiece)
        this->handlers.onPiece(piece);
}

auto HttpClientCall::completed(evhttp_request* request) -> void
{
    this->handle = nullptr;
    if (this->isDone)
        return;
    if (this->isTooLarge()) {
        this->release(false);
        return this->finish(Error::TooLarge);
    }
    if (!request || this->isFailing || !this->isWhole(request)) {
        this->release(false);
        return this->finish(this->hasSentBytes() ? this->failure() : Error::ConnectionFailed);
    }
    this->release(this->check.isReusable());
    this->finish({});
}

auto HttpClientCall::isWhole(evhttp_request* request) -> bool
{
    return this->check.isComplete() && evhttp_request_get_response_code(request) >= HttpStatus::ok && !this->isCutAfterHead(request);
}

auto HttpClientCall::failure() const -> Error
{
    // evhttp reports broken chunks as too large.
    const auto hasExceeded = this->hasExceededLimit && !this->check.isMalformed();
    return hasExceeded || this->check.isHeadTooLarge() ? Error::TooLarge : Error::ConnectionLost;
}

auto HttpClientCall::isCutAfterHead(evhttp_request* request) const -> bool
{
    // An empty body that ends with its connection looks the same as one that was cut off after the head.
    const auto status = evhttp_request_get_response_code(request);
    const auto* headers = evhttp_request_get_input_headers(request);
    const auto isFramed = evhttp_find_header(headers, "Content-Length") || evhttp_find_header(headers, "Transfer-Encoding");
    return this->receivedBytes == 0 && !isFramed && status < firstRedirection && status != statusNoContent;
}

auto HttpClientCall::timedOut() -> void
{
    this->fail(this->hasSentBytes() ? Error::Timeout : Error::ConnectionFailed);
}

auto HttpClientCall::fail(Error error) -> void
{
    if (this->isDone)
        return;
    const auto keepAlive = this->self;
    this->isFailing = true;
    this->release(false);
    this->finish(error);
}

auto HttpClientCall::giveUp() -> void
{
    this->client.loop.post([call = this->self] {
        if (call)
            call->fail(Error::TooLarge);
    });
}

auto HttpClientCall::cancel() -> void
{
    if (this->isDone)
        return;
    const auto keepAlive = this->self;
    this->isDone = true;
    this->isFailing = true;
    this->release(false);
    this->self.reset();
}

auto HttpClientCall::pause() -> void
{
    if (this->isPaused || this->isDone)
        return;
    this->isPaused = true;
    this->timer.stop();
    // evhttp enables reading again when a callback returns, so reading is disabled only afterwards.
    this->client.loop.post([call = this->self] {
        if (call->isPaused && call->connection)
            bufferevent_disable(evhttp_connection_get_bufferevent(call->connection), EV_READ);
    });
}

auto HttpClientCall::resume() -> void
{
    if (!this->isPaused || this->isDone)
        return;
    this->isPaused = false;
    this->timer.start(this->options.idleTimeout);
    if (this->connection)
        bufferevent_enable(evhttp_connection_get_bufferevent(this->connection), EV_READ);
}

auto HttpClientCall::release(bool isReusable) -> void
{
    this->timer.stop();
    if (!this->connection)
        return;
    if (this->outputCallback) {
        auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(this->connection));
        evbuffer_remove_cb_entry(output, this->outputCallback);
        this->outputCallback = nullptr;
    }
    if (this->inputCallback) {
        evbuffer_remove_cb_entry(bufferevent_get_input(evhttp_connection_get_bufferevent(this->connection)), this->inputCallback);
        this->inputCallback = nullptr;
    }
    auto* released = std::exchange(this->connection, nullptr);
    if (this->handle) {
        evhttp_request_set_chunked_cb(this->handle, nullptr);
        evhttp_request_set_header_cb(this->handle, nullptr);
        evhttp_request_set_error_cb(this->handle, nullptr);
        evhttp_cancel_request(std::exchange(this->handle, nullptr));
    }
    if (isReusable && !this->options.usesFreshConnection)
        this->client.keepConnection(this->server, released);
    else
        this->client.discardConnection(released);
}

auto HttpClientCall::finish(std::error_code error) -> void
{
    this->isDone = true;
    const auto keepAlive = std::move(this->self);
    if (this->handlers.onDone)
        this->handlers.onDone(error);
}

HttpClient::HttpClient(EventLoop& loop, std::size_t bufferBytes)
    : loop(loop)
    , buffers(std::make_shared<BufferBudget>(bufferBytes))
    , isAlive(std::make_shared<bool>(true))
{
}

HttpClient::~HttpClient()
{
    *this->isAlive = false;
    for (auto& [server, connections] : this->idle) {
        for (auto* connection : connections) {
            evhttp_connection_set_closecb(connection, nullptr, nullptr);
            evhttp_connection_free(connection);
        }
    }
}

auto HttpClient::send(const Address& server, const HttpRequest& request, const HttpCallOptions& options, HttpCallHandlers handlers)
    -> std::shared_ptr<HttpCall>
{
    const auto call = std::make_shared<HttpClientCall>(*this, server, options, std::move(handlers));
    call->begin(request);
    return call;
}

auto HttpClient::fetch(const Address& server, const HttpRequest& request, const HttpCallOptions& options,
    std::function<void(std::error_code, const HttpResponse&)> done) -> std::shared_ptr<HttpCall>
{
    const auto collected = std::make_shared<CollectedResponse>();
    collected->budget = this->buffers;
    HttpCallHandlers handlers;
    handlers.onHeaders = [collected](int status, const HttpHeaders& headers) {
        collected->response.status = status;
        collected->response.headers = headers;
    };
    handlers.onPiece = [collected](std::string_view piece) {
        collected->response.body += piece;
        collected->buffered->resize(collected->response.body.size());
    };
    handlers.onDone = [collected, done = std::move(done)](std::error_code error) { done(error, collected->response); };
    const auto call = std::make_shared<HttpClientCall>(*this, server, options, std::move(handlers));
    collected->buffered = std::make_unique<BufferBudget::Account>(*this->buffers, [weakCall = std::weak_ptr(call)] {
        if (const auto givenUp = weakCall.lock())
            givenUp->giveUp();
    });
    call->begin(request);
    return call;
}

auto HttpClient::dropIdleConnections(const Address& server) -> void
{
    const auto found = this->idle.find(server);
    if (found == this->idle.end())
        return;
    const auto connections = std::move(found->second);
    this->idle.erase(found);
    for (auto* connection : connections)
        this->discardConnection(connection);
}

auto HttpClient::acquireConnection(const Address& server, bool requiresNew) -> evhttp_connection*
{
    auto& connections = this->idle[server];
    if (!requiresNew && !connections.empty()) {
        auto* connection = connections.back();
        connections.pop_back();
        evhttp_connection_set_closecb(connection, nullptr, nullptr);
        return connection;
    }
    auto* connection = evhttp_connection_base_new(this->loop.base(), nullptr, server.ip.c_str(), server.port);
    evhttp_connection_set_retries(connection, 0);
    evhttp_connection_set_timeout(connection, libraryTimeoutSeconds);
    return connection;
}

auto HttpClient::keepConnection(const Address& server, evhttp_connection* connection) -> void
{
    // The connection is idle only after the callback that ended its request has returned.
    this->loop.post([this, alive = this->isAlive, server, connection] {
        if (!*alive)
            return evhttp_connection_free(connection);
        auto& connections = this->idle[server];
        if (connections.size() >= maxIdlePerServer)
            return evhttp_connection_free(connection);
        connections.push_back(connection);
        evhttp_connection_set_closecb(
            connection, [](evhttp_connection* closed, void* client) { static_cast<HttpClient*>(client)->idleConnectionClosed(closed); }, this);
    });
}

auto HttpClient::discardConnection(evhttp_connection* connection) -> void
{
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    this->loop.post([connection] { evhttp_connection_free(connection); });
}

auto HttpClient::idleConnectionClosed(evhttp_connection* connection) -> void
{
    for (auto& [server, connections] : this->idle) {
        const auto found = std::find(connections.begin(), connections.end(), connection);
        if (found == connections.end())
            continue;
        connections.erase(found);
        return this->discardConnection(connection);
    }
}

} // namespace Primrosefork
