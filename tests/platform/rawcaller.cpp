#include "rawcaller.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utility>

namespace Primrosefork::Testkit {

namespace {

auto drainInput(bufferevent* stream, std::string& text) -> void
{
    auto* buffer = bufferevent_get_input(stream);
    const auto size = evbuffer_get_length(buffer);
    if (size == 0)
        return;
    text.append(reinterpret_cast<const char*>(evbuffer_pullup(buffer, -1)), size);
    evbuffer_drain(buffer, size);
}

} // namespace

RawCaller::RawCaller(EventLoop& loop, const Address& address)
    : stream(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
    sockaddr_in remote {};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &remote.sin_addr);
    bufferevent_setcb(
        this->stream, [](bufferevent* from, void* self) { drainInput(from, static_cast<RawCaller*>(self)->received); }, nullptr,
        [](bufferevent* from, short events, void* argument) {
            auto* self = static_cast<RawCaller*>(argument);
            drainInput(from, self->received);
            self->isClosed = self->isClosed || (events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0;
        },
        this);
    bufferevent_enable(this->stream, EV_READ | EV_WRITE);
    bufferevent_socket_connect(this->stream, reinterpret_cast<sockaddr*>(&remote), sizeof remote);
}

RawCaller::~RawCaller()
{
    this->close();
}

auto RawCaller::send(const std::string& bytes) -> void
{
    bufferevent_write(this->stream, bytes.data(), bytes.size());
}

auto RawCaller::close() -> void
{
    if (auto* closingStream = std::exchange(this->stream, nullptr))
        bufferevent_free(closingStream);
}

} // namespace Primrosefork::Testkit
