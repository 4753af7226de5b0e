#pragma once

#include "eventloop.h"

#include <chrono>
#include <cstddef>
#include <functional>

struct bufferevent;
struct evbuffer_cb_entry;

namespace Primrosefork {

/**
 * Ends the wait for input on a connection that libevent's HTTP server owns.
 *
 * Unlike the read timeout of a bufferevent, it does not expire while input that
 * has arrived is unread, however long the loop was busy.
 */
class InputTimeout {
public:
    /** Starts the timeout. Calls \a released when it finds that the owner has freed \a stream; may destroy the timeout. */
    InputTimeout(EventLoop&, bufferevent* stream, std::chrono::milliseconds timeout, std::function<void()> released);
    ~InputTimeout();
    InputTimeout(const InputTimeout&) = delete;
    auto operator=(const InputTimeout&) -> InputTimeout& = delete;

    /** Waits for input from now on; each input starts the timeout again. */
    auto start() -> void;

    auto stop() -> void;

private:
    auto inputChanged(std::size_t addedBytes) -> void;
    auto expired() -> void;
    [[nodiscard]] auto isReleased() const -> bool;
    [[nodiscard]] auto hasUnreadInput() const -> bool;

    bufferevent* stream;
    std::chrono::milliseconds timeout;
    std::function<void()> released;
    Timer timer;
    evbuffer_cb_entry* inputWatch;
};

} // namespace Primrosefork
