#include "peerstream.h"

#include "configurationexchange.h"
#include "errors.h"

#include <arpa/inet.h>
#include <array>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <utility>

namespace Primrosefork {

PeerStream::PeerStream(EventLoop& loop, int descriptor, std::size_t limit, std::chrono::milliseconds timeout, Handler handler)
    : buffer(bufferevent_socket_new(loop.base(), descriptor, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS))
    , maxMessageBytes(limit)
    , timeout(timeout)
    , handler(std::move(handler))
    , timer(loop, [this] { this->timedOut(); })
{
    bufferevent_setcb(
        this->buffer, [](bufferevent*, void* self) { static_cast<PeerStream*>(self)->handleReadable(); },
        [](bufferevent*, void* self) { static_cast<PeerStream*>(self)->handleWritten(); },
        [](bufferevent*, short events, void* self) { static_cast<PeerStream*>(self)->handleEvent(events); }, this);
    bufferevent_setwatermark(this->buffer, EV_READ, 0, limit + ConfigurationExchange::lengthBytes);
    bufferevent_enable(this->buffer, EV_READ | EV_WRITE);
    this->timer.start(this->timeout);
}

PeerStream::~PeerStream()
{
    bufferevent_free(this->buffer);
}

auto PeerStream::connect(const Address& address) -> std::error_code
{
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &name.sin_addr);
    if (bufferevent_socket_connect(this->buffer, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0)
        return Error::ConnectionFailed;
    return {};
}

auto PeerStream::send(std::span<const std::uint8_t> message) -> void
{
    const auto framed = ConfigurationExchange::frame(message);
    bufferevent_write(this->buffer, framed.data(), framed.size());
    this->timer.start(this->timeout);
}

auto PeerStream::whenSent(std::function<void()> task) -> void
{
    this->sentTask = std::move(task);
}

auto PeerStream::handleReadable() -> void
{
    if (this->handler)
        this->timer.start(this->timeout);
    static_cast<void>(this->receiveMessage());
}

auto PeerStream::receiveMessage() -> bool
{
    auto* input = bufferevent_get_input(this->buffer);
    std::array<std::uint8_t, ConfigurationExchange::lengthBytes> header {};
    if (evbuffer_copyout(input, header.data(), header.size()) < static_cast<ev_ssize_t>(header.size()))
        return false;
    const auto length = ConfigurationExchange::frameLength(header);
    if (length > this->maxMessageBytes) {
        this->finish(Error::TooLarge);
        return true;
    }
    if (evbuffer_get_length(input) < header.size() + length)
        return false;
    const auto* data = evbuffer_pullup(input, static_cast<ev_ssize_t>(header.size() + length));
    const std::vector<std::uint8_t> message(data + header.size(), data + header.size() + length);
    evbuffer_drain(input, header.size() + length);
    this->finish({}, message);
    return true;
}

auto PeerStream::handleWritten() -> void
{
    // Also called when the connection opens, before the message is sent.
    if (this->sentTask && evbuffer_get_length(bufferevent_get_output(this->buffer)) == 0)
        std::exchange(this->sentTask, nullptr)();
}

auto PeerStream::handleEvent(short events) -> void
{
    if ((events & BEV_EVENT_CONNECTED) != 0)
        return;
    if (this->sentTask)
        return std::exchange(this->sentTask, nullptr)();
    this->finish(Error::ConnectionLost);
}

auto PeerStream::timedOut() -> void
{
    if (this->sentTask)
        return std::exchange(this->sentTask, nullptr)();
    if (this->receiveMessage())
        return;
    if (this->handler && this->hasUnreadInput())
        return this->timer.start(this->timeout);
    this->finish(Error::Timeout);
}

auto PeerStream::hasUnreadInput() const -> bool
{
    int unread = 0;
    return ioctl(bufferevent_getfd(this->buffer), FIONREAD, &unread) == 0 && unread > 0;
}

auto PeerStream::finish(std::error_code error, std::span<const std::uint8_t> message) -> void
{
    if (this->handler)
        std::exchange(this->handler, nullptr)(error, message);
}

} // namespace Primrosefork
