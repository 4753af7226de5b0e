#pragma once

#include "address.h"
#include "callerconnection.h"

#include <map>
#include <memory>
#include <sigc++/signal.h>
#include <system_error>

struct event;
struct evconnlistener;

namespace Primrosefork {

/**
 * Accepts connections of callers and owns them.
 */
class CallerListener {
public:
    /** Buffered requests and answers count against \a buffers; \a intake limits bodies and connections, if it is given. */
    CallerListener(EventLoop&, BufferBudget& buffers, CallerConnection::RequestHandler, Intake* intake = nullptr);
    ~CallerListener();
    CallerListener(const CallerListener&) = delete;
    auto operator=(const CallerListener&) -> CallerListener& = delete;

    auto listen(const Address&) -> std::error_code;

    /** Sets \a limits for connections that are accepted from now on. */
    auto setLimits(const CallerLimits& limits) -> void { this->limits = limits; }

    /** Closes each connection after its next response. */
    auto beginDrain() -> void;

    /** Stops accepting connections, except those that callers have opened already, and closes those without a request in progress. */
    auto closeIdle() -> void;

    /** Refuses the requests that have arrived only in part. */
    auto refuseIncomplete() -> void;

    /** Returns the number of connections with a request or a response in progress. */
    [[nodiscard]] auto busyCount() const -> std::size_t;
    [[nodiscard]] auto connectionCount() const -> std::size_t { return this->connections.size(); }

    /** Emitted after a connection was closed. */
    sigc::signal<void> connectionClosed;

private:
    auto accepted(int socket) -> void;
    auto stopAccepting() -> void;

    /** Returns whether the descriptors that connections of callers may take are in use. */
    [[nodiscard]] auto isShortOfDescriptors() const -> bool;

    /** Closes the connections that are used least. */
    auto makeRoom() -> void;

    /** Accepts no connections for \a time. */
    auto pauseAccepting(std::chrono::milliseconds time) -> void;

    /** Accepts the connections that callers have opened already; closes others and pauses when descriptors are short. */
    auto acceptPending() -> void;

    EventLoop& loop;
    BufferBudget& buffers;
    CallerConnection::RequestHandler requestHandler;
    Intake* intake;
    CallerLimits limits;
    evconnlistener* listener = nullptr;
    event* acceptEvent = nullptr; ///< Pending while connections are accepted.
    Timer acceptTimer;
    std::map<CallerConnection*, std::unique_ptr<CallerConnection>> connections;
    bool isDraining = false;
};

} // namespace Primrosefork
