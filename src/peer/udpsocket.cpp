#include "udpsocket.h"

#include "eventloop.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Primrosefork {

namespace {

constexpr std::size_t maxDatagramBytes = 65'536;
constexpr int maxDatagramsPerRead = 64; ///< Limit per callback, so that a flood of datagrams does not block the event loop.

auto toSocketName(const Address& address) -> sockaddr_in
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    return name;
}

auto toAddress(const sockaddr_in& name) -> Address
{
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, &name.sin_addr, text.data(), text.size());
    return { text.data(), ntohs(name.sin_port) };
}

} // namespace

UdpSocket::UdpSocket(EventLoop& loop, Handler handler)
    : loop(loop)
    , handler(std::move(handler))
{
}

UdpSocket::~UdpSocket()
{
    if (this->readEvent)
        event_free(this->readEvent);
    if (this->descriptor >= 0)
        close(this->descriptor);
}

auto UdpSocket::bind(const Address& address) -> std::error_code
{
    this->descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (this->descriptor < 0)
        return { errno, std::generic_category() };
    const auto name = toSocketName(address);
    if (::bind(this->descriptor, reinterpret_cast<const sockaddr*>(&name), sizeof name) != 0)
        return { errno, std::generic_category() };
    this->readEvent = event_new(
        this->loop.base(), this->descriptor, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<UdpSocket*>(self)->receive(); }, this);
    event_add(this->readEvent, nullptr);
    return {};
}

auto UdpSocket::send(const Address& peer, std::span<const std::uint8_t> datagram) -> void
{
    const auto name = toSocketName(peer);
    sendto(this->descriptor, datagram.data(), datagram.size(), 0, reinterpret_cast<const sockaddr*>(&name), sizeof name);
}

auto UdpSocket::receive() -> void
{
    std::array<std::uint8_t, maxDatagramBytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init): filled by recvfrom
    for (int count = 0; count < maxDatagramsPerRead; ++count) {
        sockaddr_in name {};
        socklen_t nameSize = sizeof name;
        const auto size = recvfrom(this->descriptor, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&name), &nameSize);
        if (size < 0)
            return;
        this->handler(toAddress(name), std::span(buffer.data(), static_cast<std::size_t>(size)));
    }
}

} // namespace Primrosefork
