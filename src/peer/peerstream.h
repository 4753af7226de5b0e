#pragma once

#include "address.h"

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

class EventLoop;

/**
 * One end of a TCP connection between nodes on which one message goes each way.
 */
class PeerStream {
public:
    /** Called once with the message that came, or with an error; the stream may be destroyed from it. */
    using Handler = std::function<void(std::error_code, std::span<const std::uint8_t> message)>;

    /** Takes over the connection \a descriptor, or none yet when it is -1; refuses messages longer than \a limit. */
    PeerStream(EventLoop&, int descriptor, std::size_t limit, std::chrono::milliseconds timeout, Handler);
    ~PeerStream();
    PeerStream(const PeerStream&) = delete;
    auto operator=(const PeerStream&) -> PeerStream& = delete;

    auto connect(const Address&) -> std::error_code;
    auto send(std::span<const std::uint8_t> message) -> void;

    /** Has \a task called when all that was sent is with the system, or the connection is lost. */
    auto whenSent(std::function<void()> task) -> void;

private:
    auto read() -> void;
    auto written() -> void;
    auto ended(short events) -> void;
    auto finish(std::error_code, std::span<const std::uint8_t> message = {}) -> void;

    bufferevent* buffer;
    std::size_t limit;
    Handler handler;
    std::function<void()> sentTask;
};

} // namespace Primrosefork
