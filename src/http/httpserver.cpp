#include "httpserver.h"

#include "eventloop.h"
#include "inputtimeout.h"
#include "units.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <utility>

namespace Primrosefork {

namespace {

constexpr int listenBacklog = 1024;
constexpr std::size_t maxReadAheadBytes = 16 * kibibyte; ///< Limit for input that is buffered while a response is in progress.

auto toTimeval(std::chrono::milliseconds duration) -> timeval
{
    return { duration.count() / 1000, (duration.count() % 1000) * 1000 };
}

auto methodName(evhttp_cmd_type command) -> const char*
{
    switch (command) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

auto readHeaders(evhttp_request* request) -> HttpHeaders
{
    HttpHeaders headers;
    for (const auto* header = evhttp_request_get_input_headers(request)->tqh_first; header; header = header->next.tqe_next)
        headers.add(header->key, header->value);
    return headers;
}

auto readBody(evhttp_request* request) -> std::string
{
    auto* buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

auto readRequest(evhttp_request* request) -> HttpRequest
{
    HttpRequest result;
    result.method = methodName(evhttp_request_get_command(request));
    const std::string target = evhttp_request_get_uri(request);
    const auto question = target.find('?');
    result.path = target.substr(0, question);
    if (question != std::string::npos)
        result.query = target.substr(question + 1);
    result.headers = readHeaders(request);
    result.body = readBody(request);
    return result;
}

auto hasAmbiguousLength(const HttpHeaders& headers) -> bool
{
    const auto lengths = headers.count("Content-Length");
    const auto encodings = headers.count("Transfer-Encoding");
    if (lengths + encodings > 1)
        return true;
    if (encodings == 1 && strcasecmp(headers.get("Transfer-Encoding")->c_str(), "chunked") != 0)
        return true;
    return lengths == 1 && headers.get("Content-Length")->find_first_not_of("0123456789") != std::string::npos;
}

auto bindListener(const Address& address) -> evutil_socket_t
{
    const auto descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return -1;
    const int enabled = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) == 0 && ::listen(descriptor, listenBacklog) == 0)
        return descriptor;
    const auto reason = errno;
    evutil_closesocket(descriptor);
    errno = reason;
    return -1;
}

auto disableNagle(bufferevent* connection) -> void
{
    const int enabled = 1;
    setsockopt(bufferevent_getfd(connection), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

/** Detects that the client closes \a connection while a response is in progress, without parsing a next request. */
auto watchForClose(bufferevent* connection) -> void
{
    bufferevent_data_cb readCallback = nullptr;
    bufferevent_data_cb writeCallback = nullptr;
    bufferevent_event_cb eventCallback = nullptr;
    void* argument = nullptr;
    bufferevent_getcb(connection, &readCallback, &writeCallback, &eventCallback, &argument);
    bufferevent_setcb(connection, nullptr, writeCallback, eventCallback, argument);
    bufferevent_setwatermark(connection, EV_READ, 0, maxReadAheadBytes);
    bufferevent_enable(connection, EV_READ);
}

} // namespace

HttpExchange::HttpExchange(evhttp_request* handle, HttpRequest received, HttpServer& server)
    : handle(handle)
    , connection(reinterpret_cast<std::uintptr_t>(evhttp_request_get_connection(handle)))
    , received(std::move(received))
    , server(server)
{
}

HttpExchange::~HttpExchange()
{
    if (!this->hasResponded)
        this->respond({ HttpStatus::internalError, {}, "" });
}

auto HttpExchange::watchConnection() -> void
{
    auto* connection = evhttp_request_get_connection(this->handle);
    watchForClose(evhttp_connection_get_bufferevent(connection));
    evhttp_connection_set_closecb(
        connection, [](evhttp_connection* closed, void* self) { static_cast<HttpExchange*>(self)->connectionClosed(closed); }, this);
    evhttp_request_set_on_complete_cb(
        this->handle,
        [](evhttp_request* request, void* argument) {
            auto* owner = static_cast<HttpServer*>(argument);
            auto* finished = evhttp_request_get_connection(request);
            owner->awaitNextRequest(finished);
            owner->requestEnded(finished);
        },
        &this->server);
}

auto HttpExchange::respond(const HttpResponse& response) -> void
{
    if (this->hasResponded)
        return;
    if (this->hasBegun)
        return this->abort();
    this->addHeaders(response.headers);
    auto* buffer = evbuffer_new();
    evbuffer_add(buffer, response.body.data(), response.body.size());
    evhttp_send_reply(this->finish(), response.status, nullptr, buffer);
    evbuffer_free(buffer);
}

auto HttpExchange::beginStream(int status, const HttpHeaders& headers) -> void
{
    if (this->hasResponded || this->hasBegun)
        return;
    this->hasBegun = true;
    this->addHeaders(headers);
    evhttp_send_reply_start(this->handle, status, nullptr);
}

auto HttpExchange::sendPiece(std::string_view piece) -> void
{
    if (!this->isStreaming() || this->hasClientClosed || piece.empty())
        return;
    auto* buffer = evbuffer_new();
    evbuffer_add(buffer, piece.data(), piece.size());
    evhttp_send_reply_chunk_with_cb(
        this->handle, buffer,
        [](evhttp_connection*, void* self) { static_cast<HttpExchange*>(self)->drained.emit(); }, this);
    evbuffer_free(buffer);
}

auto HttpExchange::endStream() -> void
{
    if (!this->isStreaming())
        return;
    evhttp_send_reply_end(this->finish());
}

auto HttpExchange::abort() -> void
{
    if (this->hasResponded)
        return;
    if (!this->hasClientClosed) {
        auto* connection = evhttp_request_get_connection(this->handle);
        shutdown(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)), SHUT_RDWR);
    }
    evhttp_send_reply_end(this->finish());
}

auto HttpExchange::isCongested() const -> bool
{
    if (this->hasResponded || this->hasClientClosed)
        return false;
    auto* connection = evhttp_request_get_connection(this->handle);
    auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection));
    return evbuffer_get_length(output) > this->server.options.streamBufferBytes;
}

auto HttpExchange::finish() -> evhttp_request*
{
    this->hasResponded = true;
    if (!this->hasClientClosed) {
        evhttp_connection_set_closecb(
            evhttp_request_get_connection(this->handle),
            [](evhttp_connection* closed, void* owner) { static_cast<HttpServer*>(owner)->connectionClosed(closed); }, &this->server);
    }
    return std::exchange(this->handle, nullptr);
}

auto HttpExchange::connectionClosed(evhttp_connection* connection) -> void
{
    const auto self = this->weak_from_this().lock();
    this->hasClientClosed = true;
    this->server.connectionClosed(connection);
    this->closed.emit();
}

auto HttpExchange::addHeaders(const HttpHeaders& headers) -> void
{
    if (this->hasClientClosed)
        return;
    auto* output = evhttp_request_get_output_headers(this->handle);
    for (const auto& header : headers)
        evhttp_add_header(output, header.name.c_str(), header.value.c_str());
}

HttpServer::HttpServer(EventLoop& loop, HttpServerOptions options, Handler handler)
    : loop(loop)
    , options(options)
    , handler(std::move(handler))
    , server(evhttp_new(loop.base()))
{
    evhttp_set_max_headers_size(this->server, static_cast<ev_ssize_t>(options.headerBytes));
    evhttp_set_max_body_size(this->server, static_cast<ev_ssize_t>(options.bodyBytes));
    evhttp_set_allowed_methods(this->server, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE);
    evhttp_set_default_content_type(this->server, "application/json");
    evhttp_set_bevcb(
        this->server, [](event_base*, void* self) { return static_cast<HttpServer*>(self)->createStream(); }, this);
    evhttp_set_gencb(
        this->server, [](evhttp_request* request, void* self) { static_cast<HttpServer*>(self)->handle(request); }, this);
}

HttpServer::~HttpServer()
{
    evhttp_free(this->server);
}

auto HttpServer::listen(const Address& address) -> std::error_code
{
    const auto descriptor = bindListener(address);
    if (descriptor < 0)
        return { errno, std::generic_category() };
    this->socket = evhttp_accept_socket_with_handle(this->server, descriptor);
    if (!this->socket) {
        evutil_closesocket(descriptor);
        return std::make_error_code(std::errc::address_not_available);
    }
    return {};
}

auto HttpServer::stopAccepting() -> void
{
    this->closesConnections = true;
    if (!this->socket)
        return;
    evhttp_del_accept_socket(this->server, this->socket);
    this->socket = nullptr;
}

auto HttpServer::handle(evhttp_request* request) -> void
{
    disableNagle(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)));
    auto received = readRequest(request);
    const auto isAmbiguous = hasAmbiguousLength(received.headers);
    if (isAmbiguous || this->closesConnections)
        evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
    const auto exchange = std::make_shared<HttpExchange>(request, std::move(received), *this);
    if (isAmbiguous)
        return exchange->respond({ HttpStatus::badRequest, {}, R"({"error":"ambiguous_length"})" });
    this->open.insert(evhttp_request_get_connection(request));
    this->inputTimeouts.at(evhttp_connection_get_bufferevent(evhttp_request_get_connection(request)))->stop();
    exchange->watchConnection();
    this->handler(exchange);
}

auto HttpServer::createStream() -> bufferevent*
{
    auto* stream = bufferevent_socket_new(this->loop.base(), -1, 0);
    if (!stream)
        return nullptr;
    const auto writeTimeout = toTimeval(this->options.writeTimeout);
    bufferevent_set_timeouts(stream, nullptr, &writeTimeout);
    this->inputTimeouts[stream] = std::make_unique<InputTimeout>(
        this->loop, stream, this->options.readTimeout, [this, stream] { this->inputTimeouts.erase(stream); });
    return stream;
}

auto HttpServer::awaitNextRequest(evhttp_connection* connection) -> void
{
    auto* stream = evhttp_connection_get_bufferevent(connection);
    bufferevent_setwatermark(stream, EV_READ, 0, 0);
    this->inputTimeouts.at(stream)->start();
}

auto HttpServer::connectionClosed(evhttp_connection* connection) -> void
{
    this->inputTimeouts.erase(evhttp_connection_get_bufferevent(connection));
    this->requestEnded(connection);
}

auto HttpServer::requestEnded(evhttp_connection* connection) -> void
{
    if (this->open.erase(connection) > 0 && this->open.empty())
        this->becameIdle.emit();
}

} // namespace Primrosefork
