#include "callerconnection.h"

#include "bodyoutput.h"
#include "bodytiming.h"
#include "hopheaders.h"
#include "socketoptions.h"
#include "units.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <system_error>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr int statusHeadTooLarge = 431;
constexpr std::size_t streamBufferBytes = 64 * kibibyte; ///< Unsent output above which a stream counts as congested.
constexpr std::size_t maxInputBytes = 64 * kibibyte; ///< Limit for input that is buffered before it is parsed.
constexpr std::size_t maxReadAheadBytes = 8 * kibibyte; ///< The same for input of the next request during a response; the rest stays in the socket.
constexpr std::size_t connectionBytes = 4 * kibibyte; ///< Memory of a connection with an ordinary request, which counts from its start.
constexpr std::size_t uncountedOutputBytes = 16 * kibibyte; ///< Unsent output up to which it is not counted, as most of it is written at once.
constexpr int bodyPauses = 2; ///< Number of idle timeouts for which a body may pause in all.
constexpr std::chrono::milliseconds idleMargin = 1s; ///< Added to the idle timeout: the last response and the next request are on their way while the caller keeps within it.
constexpr std::chrono::milliseconds otherNodeDelay = 100ms; ///< Retry-After for callers whom another node can serve.
constexpr std::chrono::milliseconds lingerTimeout = 1s; ///< Time for the caller to read the last response and close the connection, since its last input.
constexpr std::chrono::milliseconds finalWriteTimeout = 30s; ///< Time limit for writing the last response, if the caller does not read it.

auto chunkSizeLine(std::size_t size) -> std::string
{
    std::array<char, 24> text {};
    const auto length = std::snprintf(text.data(), text.size(), "%zx\r\n", size);
    return { text.data(), static_cast<std::size_t>(length) };
}

/** Returns the memory of a head beyond that of an ordinary one, which counts with its connection. */
auto excessHeadBytes(const MessageHead& head) -> std::size_t
{
    const auto bytes = head.memorySize();
    return bytes > connectionBytes ? bytes : 0;
}

/** Returns the bytes of a request that are kept until it ends. */
auto keptBytes(const CallerMessage& message) -> std::size_t
{
    return message.body.size() + excessHeadBytes(message.head);
}

} // namespace

CallerExchange::CallerExchange(CallerConnection& connection, BufferBudget& buffers, CallerMessage message, Intake* intake)
    : connection(&connection)
    , message(std::move(message))
    , buffered(buffers)
{
    this->buffered.resize(this->message.body.capacity() + excessHeadBytes(this->message.head));
    if (intake)
        this->admitted.emplace(intake->bodies, keptBytes(this->message));
}

auto CallerExchange::respond(int status, const HttpHeaders& headers, std::string_view body) -> void
{
    this->respond(status, headers, body.size(), [body](bufferevent* stream) { bufferevent_write(stream, body.data(), body.size()); });
}

auto CallerExchange::respond(int status, const HttpHeaders& headers, BlockBuffer&& body) -> void
{
    this->respond(status, headers, body.size(), [&body](bufferevent* stream) { addOwned(bufferevent_get_output(stream), std::move(body)); });
}

auto CallerExchange::respond(int status, const HttpHeaders& headers, std::size_t bodyBytes, const std::function<void(bufferevent*)>& writeBody) -> void
{
    if (!this->connection)
        return;
    auto* target = this->connection;
    target->writeHead(status, headers, "Content-Length: " + std::to_string(bodyBytes) + "\r\n");
    if (this->message.head.method != "HEAD")
        writeBody(target->stream);
    target->responseCompleted();
}

auto CallerExchange::beginStream(int status, const HttpHeaders& headers) -> void
{
    if (!this->connection)
        return;
    this->connection->isStreaming = true;
    this->connection->writeHead(status, headers, "Transfer-Encoding: chunked\r\n");
}

auto CallerExchange::sendPiece(std::string_view piece) -> void
{
    if (!this->connection || piece.empty())
        return;
    auto* output = bufferevent_get_output(this->connection->stream);
    const auto head = chunkSizeLine(piece.size());
    evbuffer_add(output, head.data(), head.size());
    evbuffer_add(output, piece.data(), piece.size());
    evbuffer_add(output, "\r\n", 2);
}

auto CallerExchange::endStream() -> void
{
    if (!this->connection)
        return;
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    bufferevent_write(this->connection->stream, lastChunk.data(), lastChunk.size());
    this->connection->responseCompleted();
}

auto CallerExchange::abort() -> void
{
    if (!this->connection)
        return;
    auto* target = this->connection;
    this->connection = nullptr;
    target->exchange.reset();
    target->closeAfterWriting();
}

auto CallerExchange::isCongested() const -> bool
{
    return this->connection && evbuffer_get_length(bufferevent_get_output(this->connection->stream)) > streamBufferBytes;
}

CallerConnection::CallerConnection(EventLoop& loop, int socket, const CallerLimits& limits, BufferBudget& buffers, RequestHandler requestHandler, ClosedHandler closed, Intake* intake)
    : loop(loop)
    , limits(limits)
    , buffers(buffers)
    , intake(intake)
    , requestHandler(std::move(requestHandler))
    , closedHandler(std::move(closed))
    , stream(bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , parser(MessageParser::Kind::Request,
          { [this](const MessageHead&) { this->headReceived(); }, [this](std::string_view bytes) { this->bodyReceived(bytes); } },
          limits.headerBytes)
    , timer(loop, [this] { this->timedOut(); })
    , phaseBegan(EventLoop::now())
    , heldBytes(buffers)
    , isAlive(std::make_shared<bool>(true))
{
    disableNagle(socket);
    enableDeadPeerDetection(socket);
    bufferevent_setcb(
        this->stream,
        [](bufferevent*, void* self) { static_cast<CallerConnection*>(self)->readable(); },
        [](bufferevent*, void* self) { static_cast<CallerConnection*>(self)->outputWritten(); },
        [](bufferevent*, short events, void* self) { static_cast<CallerConnection*>(self)->eventReceived(events); }, this);
    evbuffer_add_cb(
        bufferevent_get_output(this->stream), [](evbuffer*, const evbuffer_cb_info*, void* self) { static_cast<CallerConnection*>(self)->outputChanged(); }, this);
    bufferevent_setwatermark(this->stream, EV_READ, 0, maxInputBytes);
    this->heldBytes.resize(connectionBytes);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    this->timer.start(limits.idleTimeout + idleMargin);
}

CallerConnection::~CallerConnection()
{
    *this->isAlive = false;
    if (this->exchange)
        this->exchange->connection = nullptr;
    bufferevent_free(this->stream);
}

auto CallerConnection::readable() -> void
{
    if (this->state == State::Reading)
        return this->parseInput();
    auto* input = bufferevent_get_input(this->stream);
    if (this->state == State::Responding)
        this->heldBytes.resize(connectionBytes + evbuffer_get_length(input));
    if (this->state == State::Closing || this->state == State::Lingering) {
        evbuffer_drain(input, evbuffer_get_length(input));
        // A caller that still sends its body reads the refusal afterwards.
        if (this->state == State::Lingering && EventLoop::now() - this->phaseBegan < finalWriteTimeout)
            this->timer.start(lingerTimeout);
    }
}

auto CallerConnection::parseInput() -> void
{
    auto* input = bufferevent_get_input(this->stream);
    while (this->state == State::Reading && evbuffer_get_length(input) > 0) {
        if (!this->parser.hasBegun()) {
            this->timer.start(this->limits.headerTimeout);
            this->phaseBegan = EventLoop::now();
        }
        const auto size = evbuffer_get_contiguous_space(input);
        const std::string_view bytes(reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size))), size);
        std::size_t consumed = 0;
        const auto result = this->parser.feed(bytes, consumed);
        evbuffer_drain(input, consumed);
        if (this->isTooLarge)
            return this->reject(HttpStatus::tooLarge);
        if (this->isRefused)
            return this->refuse();
        if (result == ParseResult::Malformed)
            return this->reject(HttpStatus::badRequest);
        if (result == ParseResult::HeadTooLarge)
            return this->reject(statusHeadTooLarge);
        if (result == ParseResult::Complete)
            this->messageReceived();
        else if (this->parser.hasHead())
            this->waitForBody();
        if (result == ParseResult::NeedsMore)
            this->countIncoming();
    }
}

auto CallerConnection::headReceived() -> void
{
    this->incoming = {};
    this->incoming.head = this->parser.takeHead();
    this->incoming.received = EventLoop::now();
    const auto& head = this->incoming.head;
    if (const auto text = head.headers.get("Content-Length")) {
        const auto length = std::strtoull(text->c_str(), nullptr, 10);
        this->isTooLarge = length > this->limits.bodyBytes;
        this->isRefused = length > BodyAdmission::smallBytes && !this->admits(length);
    }
    const auto expect = head.headers.get("Expect");
    if (!this->isTooLarge && !this->isRefused && expect && strcasecmp(expect->c_str(), "100-continue") == 0) {
        constexpr std::string_view proceed = "HTTP/1.1 100 Continue\r\n\r\n";
        bufferevent_write(this->stream, proceed.data(), proceed.size());
    }
}

auto CallerConnection::bodyReceived(std::string_view bytes) -> void
{
    if (this->incoming.body.size() + bytes.size() > this->limits.bodyBytes)
        this->isTooLarge = true;
    else
        this->incoming.body.add(bytes);
    const auto size = this->incoming.body.size();
    if (size > BodyAdmission::smallBytes && !this->admits(size))
        this->isRefused = true;
}

auto CallerConnection::waitForBody() -> void
{
    auto limit = this->limits.idleTimeout;
    if (this->intake) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(EventLoop::now() - this->incoming.received);
        limit = std::min(limit, bodyTimeLeft(this->intake->settings, bodyPauses * this->limits.idleTimeout, this->incoming.body.size(), age));
    }
    this->timer.start(timerDelay(limit));
}

auto CallerConnection::admits(std::size_t bytes) const -> bool
{
    return !this->intake || this->intake->bodies.admits(bytes, this->buffers.pinnedSize());
}

auto CallerConnection::countIncoming() -> void
{
    const auto bytes = this->parser.head().memorySize() + this->incoming.head.memorySize() + this->incoming.body.capacity();
    if (!this->incomingBytes && bytes <= connectionBytes)
        return;
    if (!this->incomingBytes) {
        this->incomingBytes = std::make_unique<BufferBudget::Account>(this->buffers, [this] {
            this->post([this] { this->refuseIncomplete(); });
        });
    }
    this->incomingBytes->resize(bytes);
}

auto CallerConnection::refuse() -> void
{
    ++this->intake->refusedBodies;
    this->reject(HttpStatus::unavailable, { { "Retry-After", retryAfterValue(otherNodeDelay) } });
}

auto CallerConnection::messageReceived() -> void
{
    this->timer.stop();
    this->state = State::Responding;
    this->hasServed = true;
    this->isStreaming = false;
    if (!this->incoming.head.keepsAlive)
        this->closesAfterResponse = true;
    this->incomingBytes.reset();
    bufferevent_setwatermark(this->stream, EV_READ, 0, maxReadAheadBytes);
    const auto isAdmitted = this->admits(keptBytes(this->incoming));
    this->exchange = std::make_shared<CallerExchange>(*this, this->buffers, std::move(this->incoming), isAdmitted ? this->intake : nullptr);
    this->incoming = {};
    const auto current = this->exchange;
    if (!isAdmitted) {
        ++this->intake->refusedBodies;
        return current->respond(HttpStatus::unavailable, { { "Retry-After", retryAfterValue(otherNodeDelay) } }, "");
    }
    this->requestHandler(current);
}

auto CallerConnection::responseHead(int status, const HttpHeaders& headers, std::string_view framing) const -> std::string
{
    auto text = statusLine(status);
    for (const auto& header : headers)
        text += header.name + ": " + header.value + "\r\n";
    text += framing;
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(this->limits.idleTimeout).count();
    if (this->closesAfterResponse)
        text += "Connection: close\r\n";
    else if (seconds > 0)
        text += "Keep-Alive: timeout=" + std::to_string(seconds) + "\r\n";
    text += "\r\n";
    return text;
}

auto CallerConnection::writeHead(int status, const HttpHeaders& headers, std::string_view framing) -> void
{
    const auto text = this->responseHead(status, headers, framing);
    bufferevent_write(this->stream, text.data(), text.size());
}

auto CallerConnection::responseCompleted() -> void
{
    this->exchange->connection = nullptr;
    this->exchange.reset();
    if (this->closesAfterResponse)
        return this->closeAfterWriting();
    this->state = State::Reading;
    this->phaseBegan = EventLoop::now();
    bufferevent_setwatermark(this->stream, EV_READ, 0, maxInputBytes);
    this->heldBytes.resize(connectionBytes);
    this->parser.reset();
    this->timer.start(this->limits.idleTimeout + idleMargin);
    // The next request may already be buffered. It is parsed from the event loop, since this one is still on the call stack.
    bufferevent_trigger(this->stream, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

auto CallerConnection::reject(int status, const HttpHeaders& headers) -> void
{
    this->closesAfterResponse = true;
    this->incoming = {};
    this->incomingBytes.reset();
    this->parser.reset(); // The connection may linger, and the head is not needed.
    this->writeHead(status, headers, "Content-Length: 0\r\n");
    this->closeAfterWriting();
}

auto CallerConnection::closeAfterWriting() -> void
{
    this->state = State::Closing;
    this->timer.start(finalWriteTimeout);
    if (evbuffer_get_length(bufferevent_get_output(this->stream)) == 0)
        this->outputWritten();
}

auto CallerConnection::outputChanged() -> void
{
    const auto size = evbuffer_get_length(bufferevent_get_output(this->stream));
    if (size <= uncountedOutputBytes)
        return this->unreadBytes.reset();
    if (!this->unreadBytes) {
        this->unreadBytes = std::make_unique<BufferBudget::Account>(this->buffers, [this] {
            this->post([this] { this->close("the answer was not read"); });
        });
    }
    this->unreadBytes->resize(size);
}

auto CallerConnection::outputWritten() -> void
{
    if (this->exchange && this->isStreaming) {
        const auto current = this->exchange;
        current->drained.emit();
    }
    if (this->state != State::Closing || evbuffer_get_length(bufferevent_get_output(this->stream)) > 0)
        return;
    this->state = State::Lingering;
    this->phaseBegan = EventLoop::now();
    shutdown(bufferevent_getfd(this->stream), SHUT_WR);
    this->timer.start(lingerTimeout);
}

auto CallerConnection::eventReceived(short events) -> void
{
    const std::error_code error(EVUTIL_SOCKET_ERROR(), std::system_category());
    this->close((events & BEV_EVENT_EOF) != 0 ? "closed by the caller" : error.message());
}

auto CallerConnection::timedOut() -> void
{
    if (this->state == State::Reading && this->parser.hasBegun()) {
        if (this->intake && this->parser.hasHead())
            ++this->intake->slowBodies;
        return this->reject(HttpStatus::requestTimeout);
    }
    if (this->state == State::Reading && this->hasUnreadInput())
        return this->timer.start(this->limits.headerTimeout);
    this->close("timed out");
}

auto CallerConnection::closeIfIdle() -> void
{
    if (this->state == State::Reading && !this->parser.hasBegun() && !this->hasUnreadInput())
        this->close("idle");
}

auto CallerConnection::refuseIncomplete() -> void
{
    if (this->state == State::Reading && this->parser.hasBegun())
        this->reject(HttpStatus::unavailable, { { "Retry-After", retryAfterValue(otherNodeDelay) } });
}

auto CallerConnection::closeForOthers() -> bool
{
    if (this->state == State::Reading && !this->parser.hasBegun() && this->hasUnreadInput())
        return false;
    if (this->state == State::Reading && this->parser.hasBegun()) {
        this->closesAfterResponse = true;
        const auto text = this->responseHead(HttpStatus::unavailable, { { "Retry-After", retryAfterValue(otherNodeDelay) } }, "Content-Length: 0\r\n");
        // Written at once, as the socket is not kept for a part that it does not take.
        static_cast<void>(send(bufferevent_getfd(this->stream), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
    }
    this->close("closed for others");
    return true;
}

auto CallerConnection::use(EventLoop::TimePoint now) const -> ConnectionUse
{
    ConnectionUse result;
    result.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - this->phaseBegan);
    result.receivedBytes = this->parser.headSize() + this->incoming.body.size();
    result.hasServed = this->hasServed;
    result.phase = ConnectionUse::Phase::Responding;
    // What is written to a caller that has not read it all is an answer in progress, even if the next request has begun.
    if (this->state == State::Lingering)
        result.phase = ConnectionUse::Phase::Ending;
    else if (this->state == State::Reading && evbuffer_get_length(bufferevent_get_output(this->stream)) == 0)
        result.phase = this->parser.hasBegun() ? ConnectionUse::Phase::Receiving : ConnectionUse::Phase::Idle;
    return result;
}

auto CallerConnection::hasUnreadInput() const -> bool
{
    int unread = 0;
    const auto isKnown = ioctl(bufferevent_getfd(this->stream), FIONREAD, &unread) == 0;
    return evbuffer_get_length(bufferevent_get_input(this->stream)) > 0 || (isKnown && unread > 0);
}

auto CallerConnection::post(std::function<void()> task) -> void
{
    this->loop.post([task = std::move(task), alive = this->isAlive] {
        if (*alive)
            task();
    });
}

auto CallerConnection::isBusy() const -> bool
{
    return this->state == State::Responding || this->state == State::Closing
        || (this->state == State::Reading && (this->parser.hasBegun() || this->hasUnreadInput()))
        || evbuffer_get_length(bufferevent_get_output(this->stream)) > 0;
}

auto CallerConnection::close(const std::string& reason) -> void
{
    if (this->state == State::Closed)
        return;
    this->state = State::Closed;
    this->timer.stop();
    bufferevent_disable(this->stream, EV_READ | EV_WRITE);
    if (const auto current = std::exchange(this->exchange, nullptr)) {
        current->connection = nullptr;
        current->closed.emit(reason);
    }
    this->loop.post([this] {
        // Moved out first, because the handler destroys the connection and with it the member.
        const auto handler = std::move(this->closedHandler);
        handler(*this);
    });
}

} // namespace Primrosefork
