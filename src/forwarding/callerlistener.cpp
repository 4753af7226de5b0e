#include "callerlistener.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/listener.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace Primrosefork {

namespace {

constexpr int backlog = 1024; ///< Above the number of connections that a load balancer opens in one burst.

} // namespace

CallerListener::CallerListener(EventLoop& loop, BufferBudget& buffers, CallerConnection::RequestHandler requestHandler)
    : loop(loop)
    , buffers(buffers)
    , requestHandler(std::move(requestHandler))
{
}

CallerListener::~CallerListener()
{
    if (this->listener)
        evconnlistener_free(this->listener);
}

auto CallerListener::listen(const Address& address) -> std::error_code
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &local.sin_addr);
    this->listener = evconnlistener_new_bind(
        this->loop.base(),
        [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) { static_cast<CallerListener*>(self)->accepted(socket); },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, backlog, reinterpret_cast<sockaddr*>(&local), sizeof local);
    return this->listener ? std::error_code() : std::error_code(errno, std::system_category());
}

auto CallerListener::accepted(int socket) -> void
{
    auto connection = std::make_unique<CallerConnection>(this->loop, socket, this->limits, this->buffers, this->requestHandler, [this](CallerConnection& closed) {
        this->connections.erase(&closed);
        this->connectionClosed.emit();
    });
    if (this->isDraining)
        connection->closeAfterResponse();
    auto* key = connection.get();
    this->connections.emplace(key, std::move(connection));
}

auto CallerListener::beginDrain() -> void
{
    this->isDraining = true;
    for (const auto& [key, connection] : this->connections)
        connection->closeAfterResponse();
}

auto CallerListener::acceptPending() -> void
{
    const auto listening = evconnlistener_get_fd(this->listener);
    for (auto socket = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); socket >= 0; socket = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC))
        this->accepted(socket);
}

auto CallerListener::closeIdle() -> void
{
    if (this->listener) {
        this->acceptPending();
        evconnlistener_free(std::exchange(this->listener, nullptr));
    }
    for (const auto& [key, connection] : this->connections)
        connection->closeIfIdle();
}

auto CallerListener::refuseIncomplete() -> void
{
    for (const auto& [key, connection] : this->connections)
        connection->refuseIncomplete();
}

auto CallerListener::busyCount() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->connections.begin(), this->connections.end(), [](const auto& entry) { return entry.second->isBusy(); }));
}

} // namespace Primrosefork
