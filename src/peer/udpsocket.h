#pragma once

#include "transport.h"

#include <functional>
#include <system_error>

struct event;

namespace Primrosefork {

class EventLoop;

/**
 * Sends and receives datagrams through a UDP socket on an event loop.
 */
class UdpSocket : public DatagramSender {
public:
    using Handler = std::function<void(const Address& sender, std::span<const std::uint8_t>)>;

    UdpSocket(EventLoop&, Handler);
    ~UdpSocket() override;
    UdpSocket(const UdpSocket&) = delete;
    auto operator=(const UdpSocket&) -> UdpSocket& = delete;

    auto bind(const Address&) -> std::error_code;
    auto send(const Address& peer, std::span<const std::uint8_t> datagram) -> void override;

private:
    auto receive() -> void;

    EventLoop& loop;
    Handler handler;
    int descriptor = -1;
    event* readEvent = nullptr;
};

} // namespace Primrosefork
