#include "backendconnection.h"

#include "bodyoutput.h"
#include "errors.h"
#include "hopheaders.h"
#include "socketoptions.h"
#include "units.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cstdlib>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t maxHeadBytes = 64 * kibibyte; ///< Size limit for the headers of a response; far above what servers send.
constexpr std::size_t maxOtherBytes = 8 * mebibyte; ///< Limit for interim responses, responses to other requests, heads and chunk framing; as much as the largest response.
constexpr std::size_t otherBytesPerBodyByte = 8; ///< Added to the limit for each byte of the body; the framing of a chunk of one byte takes five.
constexpr std::chrono::milliseconds defaultKeepAlive = 4s; ///< Assumed for servers that send no keep-alive timeout.
constexpr std::chrono::seconds maxKeepAlive = 24h; ///< Longer keep-alive timeouts are cut to this.
constexpr std::chrono::milliseconds keepAliveMargin = 500ms; ///< Subtracted from the timeout: covers the transit time of the next request and the rounding to whole seconds.
constexpr int firstFinalStatus = 200;
constexpr int firstErrorStatus = 400;

} // namespace

BackendConnection::BackendConnection(
    EventLoop& loop, const HeaderCodec& dialect, const Address& address, std::uint64_t number, std::chrono::milliseconds connectTimeout, ReleasedHandler freed)
    : loop(loop)
    , dialect(dialect)
    , serialNumber(number)
    , releasedHandler(std::move(freed))
    , stream(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , parser(MessageParser::Kind::Response,
          { [this](const MessageHead& head) { this->headReceived(head); }, [this](std::string_view bytes) { this->bodyReceived(bytes); } }, maxHeadBytes)
    , connectTimer(loop, [this] { this->connectionEnded(false); })
{
    bufferevent_setcb(
        this->stream, [](bufferevent*, void* self) { static_cast<BackendConnection*>(self)->readable(); }, nullptr,
        [](bufferevent*, short events, void* self) { static_cast<BackendConnection*>(self)->eventReceived(events); }, this);
    evbuffer_add_cb(
        bufferevent_get_output(this->stream),
        [](evbuffer*, const evbuffer_cb_info* info, void* self) { static_cast<BackendConnection*>(self)->sentBytes += info->n_deleted; }, this);

    sockaddr_in remote {};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &remote.sin_addr);
    this->connectTimer.start(connectTimeout);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(this->stream, reinterpret_cast<sockaddr*>(&remote), sizeof remote) != 0)
        this->connectTimer.start(0ms);
}

BackendConnection::~BackendConnection()
{
    bufferevent_free(this->stream);
}

auto BackendConnection::send(const BackendMessage& message, CallHandlers callHandlers) -> void
{
    this->handlers = std::make_shared<CallHandlers>(std::move(callHandlers));
    this->requestId = message.requestId;
    this->isBusy = true;
    this->isOwnResponse = false;
    this->isHeadRequest = message.method == "HEAD";
    this->sentBytes = 0;
    this->receivedBytes = 0;
    this->bodyBytes = 0;
    this->parser.reset(this->isHeadRequest);

    auto head = message.method + " " + message.target + " HTTP/1.1\r\n";
    for (const auto& header : message.headers)
        head += header.name + ": " + header.value + "\r\n";
    const auto hasBody = message.body && !message.body->isEmpty();
    if (hasBody || message.method == "POST" || message.method == "PUT")
        head += "Content-Length: " + std::to_string(hasBody ? message.body->size() : 0) + "\r\n";
    head += "\r\n";
    bufferevent_write(this->stream, head.data(), head.size());
    if (hasBody)
        addShared(bufferevent_get_output(this->stream), message.body); // All attempts share the bytes.
}

auto BackendConnection::eventReceived(short events) -> void
{
    if ((events & BEV_EVENT_CONNECTED) != 0) {
        this->isConnected = true;
        this->connectTimer.stop();
        disableNagle(bufferevent_getfd(this->stream));
        enableDeadPeerDetection(bufferevent_getfd(this->stream));
        return;
    }
    this->readable();
    // A socket reports a reset once: when a write has failed with it, the next read returns the end of the stream.
    this->connectionEnded(events == (BEV_EVENT_READING | BEV_EVENT_EOF));
}

auto BackendConnection::readable() -> void
{
    auto* input = bufferevent_get_input(this->stream);
    while (!this->isClosed && evbuffer_get_length(input) > 0) {
        // No call is in progress, so the bytes belong to no request.
        if (!this->isBusy)
            return this->release(false);
        const auto size = evbuffer_get_contiguous_space(input);
        const std::string_view bytes(reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size))), size);
        std::size_t consumed = 0;
        const auto result = this->parser.feed(bytes, consumed);
        evbuffer_drain(input, consumed);
        this->receivedBytes += consumed;
        if (this->isClosed)
            continue;
        if (result == ParseResult::HeadTooLarge)
            return this->finish(CallOutcome::TooLarge, false);
        if (result == ParseResult::Malformed)
            return this->finish(this->isOwnResponse ? CallOutcome::Truncated : CallOutcome::Lost, false);
        if (result == ParseResult::Complete)
            this->messageReceived();
        if (!this->isClosed && this->hasExcessBytes())
            return this->finish(CallOutcome::TooLarge, false);
    }
}

auto BackendConnection::hasExcessBytes() const -> bool
{
    return this->isBusy && this->receivedBytes - this->bodyBytes > maxOtherBytes + otherBytesPerBodyByte * this->bodyBytes;
}

auto BackendConnection::headReceived(const MessageHead& head) -> void
{
    this->isOwnResponse = false;
    if (head.status < firstFinalStatus)
        return;
    const auto reply = this->dialect.readReply(head.status, head.headers);
    // A server may reject a request before it has read the request id, so an error without an id is accepted.
    this->isOwnResponse = reply.requestId ? *reply.requestId == this->requestId : head.status >= firstErrorStatus;
    if (!this->isOwnResponse) {
        // No other response can follow one that ends with its connection.
        if (!head.hasLength)
            this->finish(CallOutcome::Lost, false);
        return;
    }
    // On a connection that was used before, it may be the repeated answer to an earlier request, which tells nothing of this one.
    if (!reply.requestId && this->hasAnswered)
        return this->finish(CallOutcome::Lost, false);
    this->updateReuseDeadline(head.headers);
    const auto current = this->handlers;
    if (current && current->onHead)
        current->onHead(head, reply);
}

auto BackendConnection::updateReuseDeadline(const HttpHeaders& headers) -> void
{
    constexpr std::string_view parameter = "timeout=";
    std::chrono::milliseconds keepAlive = defaultKeepAlive;
    if (const auto text = headers.get("Keep-Alive")) {
        const auto place = text->find(parameter);
        if (place != std::string::npos)
            keepAlive = std::chrono::seconds(std::clamp<std::int64_t>(std::strtol(text->c_str() + place + parameter.size(), nullptr, 10), 0, maxKeepAlive.count()));
    }
    this->reuseDeadline = EventLoop::now() + keepAlive - keepAliveMargin;
}

auto BackendConnection::bodyReceived(std::string_view bytes) -> void
{
    if (!this->isOwnResponse)
        return;
    this->bodyBytes += bytes.size();
    const auto current = this->handlers;
    if (current && current->onBody)
        current->onBody(bytes);
}

auto BackendConnection::messageReceived() -> void
{
    if (!this->isOwnResponse) {
        // An interim response or the response to another request; the expected response is still pending.
        this->parser.reset(this->isHeadRequest);
        return;
    }
    this->hasAnswered = true;
    const auto& head = this->parser.head();
    const auto isRequestSent = evbuffer_get_length(bufferevent_get_output(this->stream)) == 0;
    const auto hasUnreadBytes = evbuffer_get_length(bufferevent_get_input(this->stream)) > 0;
    // A late copy of an answer to HEAD announces a body that it does not have, and would take it from the next answer.
    this->finish(CallOutcome::Complete, head.keepsAlive && head.hasLength && isRequestSent && !hasUnreadBytes && !this->isHeadRequest);
}

auto BackendConnection::connectionEnded(bool isClean) -> void
{
    if (this->isClosed)
        return;
    if (!this->isBusy)
        return this->release(false);
    if (isClean && this->isOwnResponse && this->parser.finish())
        return this->finish(CallOutcome::Complete, false);
    if (this->isOwnResponse)
        return this->finish(CallOutcome::Truncated, false);
    this->finish(this->hasSentBytes() ? CallOutcome::Lost : CallOutcome::NotSent, false);
}

auto BackendConnection::cancel() -> void
{
    this->handlers.reset();
    this->isBusy = false;
    this->release(false);
}

auto BackendConnection::failUnconnected() -> void
{
    if (this->isBusy && !this->isConnected && !this->hasSentBytes())
        this->connectionEnded(false);
}

auto BackendConnection::pauseReading() -> void
{
    bufferevent_disable(this->stream, EV_READ);
}

auto BackendConnection::resumeReading() -> void
{
    bufferevent_enable(this->stream, EV_READ);
}

auto BackendConnection::finish(CallOutcome outcome, bool isReusable) -> void
{
    if (!this->isBusy)
        return;
    this->isBusy = false;
    const auto current = std::exchange(this->handlers, nullptr);
    this->release(isReusable);
    if (current && current->onDone)
        current->onDone(outcome);
}

auto BackendConnection::release(bool isReusable) -> void
{
    if (this->isClosed)
        return;
    if (!isReusable) {
        this->isClosed = true;
        this->connectTimer.stop();
        bufferevent_disable(this->stream, EV_READ | EV_WRITE);
    }
    this->releasedHandler(*this, isReusable);
}

} // namespace Primrosefork
