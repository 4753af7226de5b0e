#pragma once

#include "address.h"
#include "callerconnection.h"

#include <map>
#include <memory>
#include <sigc++/signal.h>
#include <system_error>

struct evconnlistener;

namespace Primrosefork {

/**
 * Accepts connections of callers and owns them.
 */
class CallerListener {
public:
    /** Buffered requests and answers count against \a buffers. */
    CallerListener(EventLoop&, BufferBudget& buffers, CallerConnection::RequestHandler);
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

    /** Accepts the connections that callers have opened already. */
    auto acceptPending() -> void;

    EventLoop& loop;
    BufferBudget& buffers;
    CallerConnection::RequestHandler requestHandler;
    CallerLimits limits;
    evconnlistener* listener = nullptr;
    std::map<CallerConnection*, std::unique_ptr<CallerConnection>> connections;
    bool isDraining = false;
};

} // namespace Primrosefork
