#include "linkproxy.h"

#include <algorithm>
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork::Testkit {

namespace {

constexpr auto deliveryPeriod = 5ms;

auto toSocketAddress(const Address& address) -> sockaddr_in
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &result.sin_addr);
    return result;
}

/** Closes the connection of \a stream with a reset. */
auto resetStream(bufferevent* stream) -> void
{
    const linger reset { 1, 0 };
    setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    bufferevent_free(stream);
}

} // namespace

LinkProxy::LinkProxy(EventLoop& loop, Address listen, Address server)
    : loop(loop)
    , listenAddress(std::move(listen))
    , server(std::move(server))
    , timer(loop, [this] { this->deliver(); })
{
    this->start();
}

LinkProxy::~LinkProxy()
{
    this->stop();
}

auto LinkProxy::start() -> void
{
    auto local = toSocketAddress(this->listenAddress);
    this->listener = evconnlistener_new_bind(
        this->loop.base(), [](evconnlistener*, int socket, sockaddr*, int, void* self) { static_cast<LinkProxy*>(self)->accepted(socket); }, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, reinterpret_cast<sockaddr*>(&local), sizeof local);
    this->timer.startRepeating(deliveryPeriod);
}

auto LinkProxy::stop() -> void
{
    this->timer.stop();
    if (auto* closed = std::exchange(this->listener, nullptr))
        evconnlistener_free(closed);
    this->reset();
}

auto LinkProxy::reset() -> void
{
    for (const auto& connection : this->connections)
        this->close(*connection);
    this->connections.clear();
}

auto LinkProxy::setFault(LinkFault changed) -> void
{
    this->fault = changed;
}

auto LinkProxy::accepted(int socket) -> void
{
    auto& connection = *this->connections.emplace_back(std::make_unique<Connection>());
    auto* caller = bufferevent_socket_new(this->loop.base(), socket, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    auto* target = bufferevent_socket_new(this->loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    connection.request.from = connection.answer.to = caller;
    connection.request.to = connection.answer.from = target;
    connection.request.isToServer = true;
    for (auto* stream : { caller, target }) {
        bufferevent_setcb(
            stream, [](bufferevent* from, void* self) { static_cast<LinkProxy*>(self)->readable(from); }, nullptr,
            [](bufferevent* from, short events, void* self) {
                if ((events & BEV_EVENT_CONNECTED) == 0)
                    static_cast<LinkProxy*>(self)->ended(from);
            },
            this);
        bufferevent_enable(stream, EV_READ | EV_WRITE);
    }
    auto remote = toSocketAddress(this->server);
    bufferevent_socket_connect(target, reinterpret_cast<sockaddr*>(&remote), sizeof remote);
}

auto LinkProxy::wayFrom(const bufferevent* stream) -> Way*
{
    for (const auto& connection : this->connections) {
        for (auto* way : { &connection->request, &connection->answer }) {
            if (way->from == stream)
                return way;
        }
    }
    return nullptr;
}

auto LinkProxy::readable(bufferevent* stream) -> void
{
    auto* way = this->wayFrom(stream);
    if (!way)
        return;
    auto* input = bufferevent_get_input(stream);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_remove(input, bytes.data(), bytes.size());
    if (this->fault != LinkFault::None && way->isToServer && this->requestHarmed)
        this->requestHarmed(bytes);
    if (this->fault == LinkFault::None && way->pieces.empty()) {
        bufferevent_write(way->to, bytes.data(), bytes.size());
        return;
    }
    const auto now = EventLoop::now();
    way->pieces.push_back({ this->fault == LinkFault::Delays ? now + delay : now, std::move(bytes) });
}

auto LinkProxy::ended(bufferevent* stream) -> void
{
    if (auto* way = this->wayFrom(stream))
        way->hasEnded = true;
}

auto LinkProxy::isHeld(const Way& way) const -> bool
{
    return this->fault == (way.isToServer ? LinkFault::HoldsRequests : LinkFault::HoldsAnswers);
}

auto LinkProxy::deliver() -> void
{
    const auto now = EventLoop::now();
    std::erase_if(this->connections, [this, now](const auto& connection) {
        for (auto* way : { &connection->request, &connection->answer }) {
            while (!this->isHeld(*way) && !way->pieces.empty() && way->pieces.front().due <= now) {
                bufferevent_write(way->to, way->pieces.front().bytes.data(), way->pieces.front().bytes.size());
                way->pieces.pop_front();
            }
            // The end follows the last byte, and is held up as the bytes are.
            if (way->hasEnded && way->pieces.empty() && !this->isHeld(*way) && evbuffer_get_length(bufferevent_get_output(way->to)) == 0) {
                bufferevent_free(way->from);
                bufferevent_free(way->to);
                return true;
            }
        }
        return false;
    });
}

auto LinkProxy::close(Connection& connection) -> void
{
    resetStream(connection.request.from);
    resetStream(connection.request.to);
}

} // namespace Primrosefork::Testkit
