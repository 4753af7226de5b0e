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
 * Listens for callers and keeps their connections.
 */
class CallerListener {
public:
    CallerListener(EventLoop&, CallerConnection::RequestHandler);
    ~CallerListener();
    CallerListener(const CallerListener&) = delete;
    auto operator=(const CallerListener&) -> CallerListener& = delete;

    auto listen(const Address&) -> std::error_code;

    /** Sets the limits for connections that come from now on. */
    auto setLimits(const CallerLimits& limits) -> void { this->limits = limits; }

    /** Ends each connection with its next answer. */
    auto beginDrain() -> void;

    /** Closes the connections without a request under way, and takes no new ones. */
    auto closeIdle() -> void;

    /** Returns how many connections have a request or an answer under way. */
    [[nodiscard]] auto busyCount() const -> std::size_t;
    [[nodiscard]] auto connectionCount() const -> std::size_t { return this->connections.size(); }

    /** Emitted after a connection was closed. */
    sigc::signal<void> connectionClosed;

private:
    auto accepted(int socket) -> void;

    EventLoop& loop;
    CallerConnection::RequestHandler requestHandler;
    CallerLimits limits;
    evconnlistener* listener = nullptr;
    std::map<CallerConnection*, std::unique_ptr<CallerConnection>> connections;
    bool isDraining = false;
};

} // namespace Primrosefork
