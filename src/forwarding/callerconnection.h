#pragma once

#include "blockbuffer.h"
#include "bufferbudget.h"
#include "connectionchoice.h"
#include "eventloop.h"
#include "intake.h"
#include "messageparser.h"
#include "trafficconfiguration.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <sigc++/signal.h>
#include <string>
#include <string_view>
#include <utility>

struct bufferevent;

namespace Primrosefork {

class CallerConnection;

/** A complete request of a caller. */
struct CallerMessage {
    MessageHead head;
    BlockBuffer body;
    EventLoop::TimePoint received; ///< Time at which the headers were complete.
};

/**
 * A request of a caller and the means to respond to it.
 *
 * A request is answered once: by respond(), or by beginStream(), any number of
 * sendPiece() and endStream() or abort(). After the caller has disconnected,
 * these functions do nothing.
 */
class CallerExchange {
public:
    CallerExchange(CallerConnection&, BufferBudget&, CallerMessage, Intake*);
    CallerExchange(const CallerExchange&) = delete;
    auto operator=(const CallerExchange&) -> CallerExchange& = delete;

    [[nodiscard]] auto request() const -> const CallerMessage& { return this->message; }

    /** Returns the body of the request, which request() no longer has afterwards. */
    auto takeBody() -> BlockBuffer { return std::exchange(this->message.body, {}); }

    auto respond(int status, const HttpHeaders&, std::string_view body) -> void;
    auto respond(int status, const HttpHeaders&, BlockBuffer&& body) -> void;
    auto beginStream(int status, const HttpHeaders&) -> void;
    auto sendPiece(std::string_view) -> void;
    auto endStream() -> void;

    /** Closes the connection without completing the response, so that the caller detects the truncation. */
    auto abort() -> void;

    /** Returns whether so much output is unsent that the stream should be paused until drained is emitted. */
    [[nodiscard]] auto isCongested() const -> bool;
    [[nodiscard]] auto isOver() const -> bool { return this->connection == nullptr; }

    /** Emitted once, with the reason, if the connection ends before the response is complete. */
    sigc::signal<void, const std::string&> closed;

    /** Emitted when all buffered output of a stream has been written to the socket. */
    sigc::signal<void> drained;

private:
    friend class CallerConnection;

    auto respond(int status, const HttpHeaders&, std::size_t bodyBytes, const std::function<void(bufferevent*)>& writeBody) -> void;

    CallerConnection* connection;
    CallerMessage message;
    BufferBudget::Account buffered; ///< For the request, which is kept for all attempts.
    std::optional<BodyAdmission::Share> admitted; ///< For the same bytes.
};

/**
 * A connection of a caller, which serves its requests one after the other.
 */
class CallerConnection {
public:
    using RequestHandler = std::function<void(const std::shared_ptr<CallerExchange>&)>;
    using ClosedHandler = std::function<void(CallerConnection&)>;

    /**
     * Takes ownership of \a socket. What is buffered counts against \a buffers. \a closed is called last, from the event loop, and may
     * destroy the connection. Without \a intake, which has to outlive the exchanges, bodies are limited by \a buffers alone.
     */
    CallerConnection(EventLoop&, int socket, const CallerLimits&, BufferBudget& buffers, RequestHandler, ClosedHandler closed, Intake* intake = nullptr);
    ~CallerConnection();
    CallerConnection(const CallerConnection&) = delete;
    auto operator=(const CallerConnection&) -> CallerConnection& = delete;

    /** Closes the connection after the next response. An idle connection stays open for a request that may be in transit. */
    auto closeAfterResponse() -> void { this->closesAfterResponse = true; }

    /** Closes the connection if no request is in progress on it. */
    auto closeIfIdle() -> void;

    /** Refuses the request that has arrived only in part, if there is one, and closes the connection. */
    auto refuseIncomplete() -> void;

    /** Closes the connection so that its descriptor can be used for another one, unless the next request has arrived unread; an incomplete request is refused first. Returns whether it is closed. */
    auto closeForOthers() -> bool;

    /** Returns what the connection is used for at \a now. */
    [[nodiscard]] auto use(EventLoop::TimePoint now) const -> ConnectionUse;

    [[nodiscard]] auto isResponding() const -> bool { return this->exchange != nullptr; }

    /** Returns whether a request has arrived at least in part or is being handled, or a response is not completely sent. */
    [[nodiscard]] auto isBusy() const -> bool;

private:
    friend class CallerExchange;

    enum class State {
        Reading,
        Responding,
        Closing, ///< Writes the last response; discards further input.
        Lingering, ///< Has written the last response; waits for the caller to close, because a TCP reset could discard the response.
        Closed,
    };

    auto readable() -> void;
    auto parseInput() -> void;
    auto headReceived() -> void;
    auto bodyReceived(std::string_view) -> void;
    [[nodiscard]] auto admits(std::size_t bytes) const -> bool;
    auto countIncoming() -> void;
    auto refuse() -> void;
    auto waitForBody() -> void;
    auto responseHead(int status, const HttpHeaders&, std::string_view framing) const -> std::string;
    auto messageReceived() -> void;
    auto outputChanged() -> void;
    auto outputWritten() -> void;
    auto eventReceived(short events) -> void;
    auto timedOut() -> void;
    auto reject(int status, const HttpHeaders& = {}) -> void;
    auto writeHead(int status, const HttpHeaders&, std::string_view framing) -> void;
    auto responseCompleted() -> void;
    [[nodiscard]] auto hasUnreadInput() const -> bool;
    auto closeAfterWriting() -> void;
    auto close(const std::string& reason) -> void;

    /** Calls \a task from the loop, unless the connection was destroyed. */
    auto post(std::function<void()> task) -> void;

    EventLoop& loop;
    CallerLimits limits;
    BufferBudget& buffers;
    Intake* intake;
    RequestHandler requestHandler;
    ClosedHandler closedHandler;
    bufferevent* stream;
    MessageParser parser;
    Timer timer;
    State state = State::Reading;
    EventLoop::TimePoint phaseBegan; ///< Time at which the connection became idle, or its request or its end began.
    bool hasServed = false; ///< Whether a whole request has arrived.
    CallerMessage incoming;
    std::shared_ptr<CallerExchange> exchange;
    bool isStreaming = false;
    bool closesAfterResponse = false;
    bool isTooLarge = false;
    bool isRefused = false; ///< Whether the body that arrives can't be admitted.
    BufferBudget::Account heldBytes; ///< For the connection itself and the input behind an open request.
    std::unique_ptr<BufferBudget::Account> incomingBytes; ///< For the headers and the body of a request that is still arriving, once they are large.
    std::unique_ptr<BufferBudget::Account> unreadBytes; ///< For output that the caller has not read, once it is large.
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
