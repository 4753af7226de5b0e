#pragma once

#include "address.h"
#include "eventloop.h"
#include "headerdialect.h"
#include "messageparser.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

struct bufferevent;

namespace Primrosefork {

/** A request as it goes to a backend server. */
struct BackendMessage {
    std::string method;
    std::string target;
    HttpHeaders headers;
    std::shared_ptr<const std::string> body;
    std::string requestId; ///< Answers that name another one belong to another request.
};

/** How one call of a backend server ended. */
enum class CallOutcome {
    Complete, ///< The whole answer came.
    NotSent, ///< No byte reached the server.
    Lost, ///< It may have run; no answer came, or none that is one.
    Truncated, ///< The answer began and broke off.
};

/** What a call tells its owner. */
struct CallHandlers {
    std::function<void(const MessageHead&, const ReplyFields&)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(CallOutcome)> onDone; ///< Called last and once, but not after cancel().
};

/**
 * One connection to a backend server, which carries one call at a time.
 *
 * An answer that names another request is read to its end and passed to nobody.
 */
class BackendConnection {
public:
    /** Tells the owner that the connection is free for the next call, or to be destroyed. */
    using FreedHandler = std::function<void(BackendConnection&, bool isReusable)>;

    BackendConnection(EventLoop&, const HeaderDialect&, const Address&, std::chrono::milliseconds connectTimeout, FreedHandler);
    ~BackendConnection();
    BackendConnection(const BackendConnection&) = delete;
    auto operator=(const BackendConnection&) -> BackendConnection& = delete;

    auto send(const BackendMessage&, CallHandlers) -> void;

    /** Ends the call under way by closing the connection; its handlers are not called any more. */
    auto cancel() -> void;

    auto pauseReading() -> void;
    auto resumeReading() -> void;

    /** Returns until when the server is expected to keep the idle connection open. */
    [[nodiscard]] auto keptUntil() const -> EventLoop::TimePoint { return this->keepUntil; }

    /** Returns whether a byte of the call under way may have reached the server. */
    [[nodiscard]] auto hasSentBytes() const -> bool { return this->sentBytes > 0; }

private:
    auto readable() -> void;
    auto eventReceived(short events) -> void;
    auto headReceived(const MessageHead&) -> void;
    auto bodyReceived(std::string_view) -> void;
    auto messageReceived() -> void;
    auto connectionEnded(bool isClean) -> void;
    auto noteKeepAlive(const HttpHeaders&) -> void;
    auto finish(CallOutcome, bool isReusable) -> void;
    auto free(bool isReusable) -> void;

    EventLoop& loop;
    const HeaderDialect& dialect;
    FreedHandler freedHandler;
    bufferevent* stream;
    MessageParser parser;
    Timer connectTimer;
    std::shared_ptr<CallHandlers> handlers; ///< Shared with the call of a handler that ends the call.
    std::string requestId;
    std::size_t sentBytes = 0;
    EventLoop::TimePoint keepUntil;
    bool isConnected = false;
    bool isBusy = false;
    bool isOwnAnswer = false; ///< Whether the message that is read answers the call under way.
    bool isHeadRequest = false;
    bool isBroken = false;
};

} // namespace Primrosefork
