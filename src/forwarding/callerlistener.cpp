#include "callerlistener.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>
#include <sys/socket.h>
#include <utility>
#include <vector>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t closedDivisor = 32; ///< Connections are closed in groups of their number divided by this, so that all are looked at seldom.
constexpr std::chrono::milliseconds closingTime = 2ms; ///< Time in which closed connections give their descriptors back.
constexpr std::chrono::milliseconds shortageTime = 20ms; ///< Time after which connections are accepted again when there was no descriptor left.
constexpr int backlog = 1024; ///< Above the number of connections that a load balancer opens in one burst.

} // namespace

CallerListener::CallerListener(EventLoop& loop, BufferBudget& buffers, CallerConnection::RequestHandler requestHandler, Intake* intake)
    : loop(loop)
    , buffers(buffers)
    , requestHandler(std::move(requestHandler))
    , intake(intake)
    , acceptTimer(loop, [this] {
        event_add(this->acceptEvent, nullptr);
    })
{
}

CallerListener::~CallerListener()
{
    this->stopAccepting();
}

auto CallerListener::stopAccepting() -> void
{
    if (!this->listener)
        return;
    this->acceptTimer.stop();
    event_free(std::exchange(this->acceptEvent, nullptr));
    evconnlistener_free(std::exchange(this->listener, nullptr));
}

auto CallerListener::listen(const Address& address) -> std::error_code
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &local.sin_addr);
    // It only opens the socket: its own loop would accept all waiting connections, however few descriptors are left.
    this->listener = evconnlistener_new_bind(
        this->loop.base(), [](evconnlistener*, evutil_socket_t, sockaddr*, int, void*) {}, nullptr,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_DISABLED, backlog, reinterpret_cast<sockaddr*>(&local), sizeof local);
    if (!this->listener)
        return { errno, std::system_category() };
    this->acceptEvent = event_new(
        this->loop.base(), evconnlistener_get_fd(this->listener), EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<CallerListener*>(self)->acceptPending(); }, this);
    event_add(this->acceptEvent, nullptr);
    return {};
}

auto CallerListener::accepted(int socket) -> void
{
    auto connection = std::make_unique<CallerConnection>(
        this->loop, socket, this->limits, this->buffers, this->requestHandler, [this](CallerConnection& closed) {
            this->connections.erase(&closed);
            this->connectionClosed.emit();
        },
        this->intake);
    if (this->isDraining)
        connection->closeAfterResponse();
    auto* key = connection.get();
    this->connections.emplace(key, std::move(connection));
}

auto CallerListener::isShortOfDescriptors() const -> bool
{
    return this->intake && this->connections.size() + this->intake->otherDescriptors >= this->intake->descriptorLimit;
}

auto CallerListener::makeRoom() -> void
{
    const auto now = EventLoop::now();
    std::vector<CallerConnection*> candidates;
    std::vector<ConnectionUse> uses;
    for (const auto& [key, connection] : this->connections) {
        candidates.push_back(key);
        uses.push_back(connection->use(now));
    }
    for (const auto index : connectionsToClose(uses, std::max<std::size_t>(1, uses.size() / closedDivisor))) {
        if (candidates[index]->closeForOthers() && this->intake)
            ++this->intake->closedConnections;
    }
}

auto CallerListener::pauseAccepting(std::chrono::milliseconds time) -> void
{
    event_del(this->acceptEvent);
    this->acceptTimer.start(time);
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
    while (true) {
        const auto socket = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0 && (errno == EINTR || errno == ECONNABORTED))
            continue;
        if (socket >= 0)
            this->accepted(socket);
        else if (errno == EAGAIN || errno == EWOULDBLOCK)
            return;
        if (socket >= 0 && !this->isShortOfDescriptors())
            continue;
        this->makeRoom();
        return this->pauseAccepting(socket < 0 ? shortageTime : closingTime);
    }
}

auto CallerListener::closeIdle() -> void
{
    if (this->listener) {
        this->acceptPending();
        this->stopAccepting();
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
