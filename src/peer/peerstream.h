#pragma once

#include "address.h"
#include "eventloop.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <system_error>
#include <vector>

struct bufferevent;

namespace Primrosefork {

/**
 * One end of a TCP connection between nodes that carries one message in each direction.
 */
class PeerStream {
public:
    /** Called once with the received message or with an error; may destroy the stream. */
    using Handler = std::function<void(std::error_code, std::span<const std::uint8_t> message)>;

    /** Takes ownership of the connected socket \a descriptor; -1 means that connect() opens one. Refuses received messages longer than \a limit bytes. */
    PeerStream(EventLoop&, int descriptor, std::size_t limit, std::chrono::milliseconds timeout, Handler);
    ~PeerStream();
    PeerStream(const PeerStream&) = delete;
    auto operator=(const PeerStream&) -> PeerStream& = delete;

    auto connect(const Address&) -> std::error_code;
    auto send(std::span<const std::uint8_t> message) -> void;

    /** Calls \a task once when the operating system has taken all sent bytes, or the connection is lost. */
    auto whenSent(std::function<void()> task) -> void;

private:
    auto handleReadable() -> void;
    /** Returns whether a message was complete or too large; the handler was called then and may have destroyed the stream. */
    [[nodiscard]] auto receiveMessage() -> bool;

    auto handleWritten() -> void;
    auto handleEvent(short events) -> void;
    auto timedOut() -> void;
    [[nodiscard]] auto hasUnreadInput() const -> bool;
    auto finish(std::error_code, std::span<const std::uint8_t> message = {}) -> void;

    bufferevent* buffer;
    std::size_t maxMessageBytes;
    std::chrono::milliseconds timeout; ///< Time limit for the next input, and for the operating system to take what is sent.
    Handler handler;
    std::function<void()> sentTask;
    Timer timer;
};

} // namespace Primrosefork
