#pragma once

#include "eventloop.h"
#include "messageparser.h"
#include "trafficconfiguration.h"

#include <chrono>
#include <functional>
#include <memory>
#include <sigc++/signal.h>
#include <string>
#include <string_view>

struct bufferevent;

namespace Primrosefork {

class CallerConnection;

/** A caller's request, whole. */
struct CallerMessage {
    MessageHead head;
    std::string body;
    EventLoop::TimePoint received; ///< When the head was whole.
};

/**
 * One request of a caller and the way to answer it.
 *
 * It is answered once: by respond(), or by beginStream(), any number of
 * sendPiece() and endStream() or abort(). After the caller has gone all of
 * these do nothing.
 */
class CallerExchange {
public:
    CallerExchange(CallerConnection&, CallerMessage);
    CallerExchange(const CallerExchange&) = delete;
    auto operator=(const CallerExchange&) -> CallerExchange& = delete;

    [[nodiscard]] auto request() const -> const CallerMessage& { return this->message; }

    auto respond(int status, const HttpHeaders&, std::string_view body) -> void;
    auto beginStream(int status, const HttpHeaders&) -> void;
    auto sendPiece(std::string_view) -> void;
    auto endStream() -> void;

    /** Closes the connection in the middle of the answer, so that the caller sees that it is not whole. */
    auto abort() -> void;

    /** Returns whether the caller has left so much unread that its stream is to be held back. */
    [[nodiscard]] auto isCongested() const -> bool;
    [[nodiscard]] auto isOver() const -> bool { return this->connection == nullptr; }

    /** Emitted once when the caller goes away before the answer is whole. */
    sigc::signal<void> closed;

    /** Emitted when the caller has read what was sent to it. */
    sigc::signal<void> drained;

private:
    friend class CallerConnection;

    CallerConnection* connection;
    CallerMessage message;
};

/**
 * One connection of a caller, which serves one request after the other.
 */
class CallerConnection {
public:
    using RequestHandler = std::function<void(const std::shared_ptr<CallerExchange>&)>;
    using ClosedHandler = std::function<void(CallerConnection&)>;

    /** Takes over the \a socket. \a closed is called last, from the loop. */
    CallerConnection(EventLoop&, int socket, const CallerLimits&, RequestHandler, ClosedHandler closed);
    ~CallerConnection();
    CallerConnection(const CallerConnection&) = delete;
    auto operator=(const CallerConnection&) -> CallerConnection& = delete;

    /** Closes the connection after the answer under way. An idle one stays open for a request that is on its way. */
    auto closeAfterAnswer() -> void { this->closesAfterAnswer = true; }

    /** Closes the connection if no request is under way on it. */
    auto closeIfIdle() -> void;

    [[nodiscard]] auto isAnswering() const -> bool { return this->exchange != nullptr; }

    /** Returns whether bytes of an answer or of a request are under way. */
    [[nodiscard]] auto isBusy() const -> bool;

private:
    friend class CallerExchange;

    enum class State {
        Reading,
        Answering,
        Closing, ///< The last answer is being written; nothing is read any more.
        Lingering, ///< Written; waits for the caller to close, so that a reset does not overtake the answer.
        Closed,
    };

    auto readable() -> void;
    auto parseInput() -> void;
    auto headReceived(const MessageHead&) -> void;
    auto bodyReceived(std::string_view) -> void;
    auto messageReceived() -> void;
    auto written() -> void;
    auto ended() -> void;
    auto timedOut() -> void;
    auto reject(int status) -> void;
    auto writeHead(int status, const HttpHeaders&, std::string_view framing) -> void;
    auto answered() -> void;
    auto closeAfterWriting() -> void;
    auto close() -> void;

    EventLoop& loop;
    CallerLimits limits;
    RequestHandler requestHandler;
    ClosedHandler closedHandler;
    bufferevent* stream;
    MessageParser parser;
    Timer timer;
    State state = State::Reading;
    CallerMessage incoming;
    std::shared_ptr<CallerExchange> exchange;
    bool isStreaming = false;
    bool closesAfterAnswer = false;
    bool isTooLarge = false;
};

} // namespace Primrosefork
