#pragma once

#include "address.h"
#include "blockbuffer.h"
#include "eventloop.h"
#include "headercodec.h"
#include "messageparser.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

struct bufferevent;

namespace Primrosefork {

/** A request in the form in which it is sent to a backend server. */
struct BackendMessage {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::shared_ptr<const BlockBuffer> body;
    std::string requestId; ///< Responses that carry another id are discarded.
    std::vector<std::uint64_t> usedConnections; ///< Connections that have carried the request before, which do not carry it again: a late copy of their response has the same id.
};

/** How one call to a backend server ended. */
enum class CallOutcome {
    Complete, ///< The complete response was received.
    NotSent, ///< No byte of the request was sent.
    Lost, ///< The server may have run the request, but sent no valid response.
    Truncated, ///< The response ended before it was complete.
    TooLarge, ///< The response, or what came in its place, exceeded a size limit.
};

/** Callbacks of one call. */
struct CallHandlers {
    std::function<void(const MessageHead&, const ReplyFields&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(CallOutcome)> onDone; ///< Called last and exactly once, but not after cancel().
};

/**
 * A connection to a backend server, which handles one call at a time.
 *
 * A response that carries the id of another request is read to its end and discarded.
 * The bytes that are read for one call beside the body of its response are limited.
 */
class BackendConnection {
public:
    /** Called when the connection can take the next call (\a isReusable) or is to be destroyed. */
    using ReleasedHandler = std::function<void(BackendConnection&, bool isReusable)>;

    /** \a number tells the connection from all others of the node. */
    BackendConnection(EventLoop&, const HeaderCodec&, const Address&, std::uint64_t number, std::chrono::milliseconds connectTimeout, ReleasedHandler);
    ~BackendConnection();
    BackendConnection(const BackendConnection&) = delete;
    auto operator=(const BackendConnection&) -> BackendConnection& = delete;

    auto send(const BackendMessage&, CallHandlers) -> void;

    /** Ends the current call by closing the connection. No handler of the call is called afterwards. */
    auto cancel() -> void;

    /** Ends the current call as not sent if the connection is not established yet. */
    auto failUnconnected() -> void;

    auto pauseReading() -> void;
    auto resumeReading() -> void;

    [[nodiscard]] auto number() const -> std::uint64_t { return this->serialNumber; }

    /** Returns the time until which the server is expected to keep the idle connection open. */
    [[nodiscard]] auto reusableUntil() const -> EventLoop::TimePoint { return this->reuseDeadline; }

    /** Returns whether a byte of the current call may have reached the server. */
    [[nodiscard]] auto hasSentBytes() const -> bool { return this->sentBytes > 0; }

private:
    auto readable() -> void;
    auto eventReceived(short events) -> void;
    [[nodiscard]] auto hasExcessBytes() const -> bool;
    auto headReceived(const MessageHead&) -> void;
    auto bodyReceived(std::string_view) -> void;
    auto messageReceived() -> void;
    auto connectionEnded(bool isClean) -> void;
    auto updateReuseDeadline(const HttpHeaders&) -> void;
    auto finish(CallOutcome, bool isReusable) -> void;
    auto release(bool isReusable) -> void;

    EventLoop& loop;
    const HeaderCodec& dialect;
    std::uint64_t serialNumber;
    ReleasedHandler releasedHandler;
    bufferevent* stream;
    MessageParser parser;
    Timer connectTimer;
    std::shared_ptr<CallHandlers> handlers; ///< Shared, so that a running handler survives when it ends the call.
    std::string requestId;
    std::size_t sentBytes = 0;
    std::size_t receivedBytes = 0; ///< Number of bytes read during the current call.
    std::size_t bodyBytes = 0; ///< Number of bytes of the body of the current call's response.
    EventLoop::TimePoint reuseDeadline;
    bool isConnected = false;
    bool isBusy = false;
    bool isOwnResponse = false; ///< Whether the message being read is the response to the current call.
    bool isHeadRequest = false;
    bool hasAnswered = false; ///< Whether the server has answered an earlier call on this connection.
    bool isClosed = false;
};

} // namespace Primrosefork
