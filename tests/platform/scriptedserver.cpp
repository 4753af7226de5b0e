#include "scriptedserver.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <sys/socket.h>
#include <utility>

namespace Primrosefork::Testkit {

namespace {

/** Returns the size in bytes of the first complete request in \a input, or 0 when there is none; with \a isHeadOnly, of its head. */
auto completeRequestSize(const std::string& input, bool isHeadOnly) -> std::size_t
{
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos)
        return 0;
    if (isHeadOnly)
        return end + 4;
    const auto length = headerOf(input.substr(0, end + 2), "Content-Length");
    const auto size = end + 4 + (length.empty() ? 0 : std::stoul(length));
    return input.size() >= size ? size : 0;
}

} // namespace

auto headerOf(const std::string& message, const std::string& name) -> std::string
{
    const auto position = message.find("\r\n" + name + ": ");
    if (position == std::string::npos)
        return "";
    const auto start = position + name.size() + 4;
    return message.substr(start, message.find("\r\n", start) - start);
}

ScriptedServer::ScriptedServer(EventLoop& loop, const Address& address, Script script)
    : loop(loop)
    , script(std::move(script))
{
    sockaddr_in local {};
    local.sin_family = AF_INET;
    local.sin_port = htons(address.port);
    inet_pton(AF_INET, address.ip.c_str(), &local.sin_addr);
    this->listener = evconnlistener_new_bind(
        loop.base(), [](evconnlistener*, evutil_socket_t socket, sockaddr*, int, void* self) { static_cast<ScriptedServer*>(self)->accepted(socket); }, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 64, reinterpret_cast<sockaddr*>(&local), sizeof local);
}

ScriptedServer::~ScriptedServer()
{
    evconnlistener_free(this->listener);
    this->closeAll();
}

auto ScriptedServer::closeAll() -> void
{
    for (const auto& [stream, connection] : this->connections)
        bufferevent_free(stream);
    this->connections.clear();
}

auto ScriptedServer::sendToAll(const std::string& bytes) -> void
{
    for (const auto& [stream, connection] : this->connections)
        bufferevent_write(stream, bytes.data(), bytes.size());
}

auto ScriptedServer::connectionsOf(const std::string& start) const -> std::vector<bufferevent*>
{
    std::vector<bufferevent*> found;
    for (const auto& [stream, connection] : this->connections) {
        if (connection.lastRequest.starts_with(start))
            found.push_back(stream);
    }
    return found;
}

auto ScriptedServer::sendTo(const std::string& start, const std::string& bytes) -> void
{
    for (auto* stream : this->connectionsOf(start))
        bufferevent_write(stream, bytes.data(), bytes.size());
}

auto ScriptedServer::closeConnectionsOf(const std::string& start) -> void
{
    for (auto* stream : this->connectionsOf(start)) {
        if (evbuffer_get_length(bufferevent_get_output(stream)) == 0)
            this->close(stream);
        else
            this->closeAfterOutput(stream);
    }
}

auto ScriptedServer::accepted(int socket) -> void
{
    auto* stream = bufferevent_socket_new(this->loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    this->connections[stream];
    evbuffer_add_cb(
        bufferevent_get_output(stream),
        [](evbuffer*, const evbuffer_cb_info* info, void* self) { static_cast<ScriptedServer*>(self)->sentBytes += info->n_deleted; }, this);
    bufferevent_setcb(
        stream, [](bufferevent* from, void* self) { static_cast<ScriptedServer*>(self)->readable(from); },
        [](bufferevent* to, void* self) { static_cast<ScriptedServer*>(self)->written(to); },
        [](bufferevent* from, short, void* self) { static_cast<ScriptedServer*>(self)->closedByCaller(from); }, this);
    bufferevent_enable(stream, EV_READ | EV_WRITE);
}

auto ScriptedServer::readable(bufferevent* stream) -> void
{
    auto* buffer = bufferevent_get_input(stream);
    auto& input = this->connections[stream].input;
    const auto size = evbuffer_get_length(buffer);
    input.append(reinterpret_cast<const char*>(evbuffer_pullup(buffer, -1)), size);
    evbuffer_drain(buffer, size);
    if (this->answersHeads && !this->connections[stream].lastRequest.empty())
        return input.clear();
    for (auto requestSize = completeRequestSize(input, this->answersHeads); requestSize > 0; requestSize = completeRequestSize(input, this->answersHeads)) {
        this->requests.push_back(input.substr(0, requestSize));
        this->connections[stream].lastRequest = this->requests.back();
        input.erase(0, requestSize);
        const auto scripted = this->script(this->requests.back());
        this->answer(stream, scripted);
        if (scripted.closes)
            return;
    }
}

auto ScriptedServer::answer(bufferevent* stream, const ScriptedAnswer& answer) -> void
{
    auto& connection = this->connections[stream];
    const auto lateCopy = std::exchange(connection.beforeNext, answer.beforeNext);
    bufferevent_write(stream, lateCopy.data(), lateCopy.size());
    bufferevent_write(stream, answer.bytes.data(), answer.bytes.size());
    if (!answer.repeated.empty()) {
        connection.repeated = answer.repeated;
        this->written(stream);
    }
    if (answer.closes && answer.resets) {
        const linger reset { 1, 0 };
        setsockopt(bufferevent_getfd(stream), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    if (answer.closes) {
        connection.closeDelay = answer.closeDelay;
        connection.readsOn = answer.readsOn;
        if (this->answersHeads && !answer.readsOn)
            bufferevent_disable(stream, EV_READ);
        return answer.bytes.empty() ? this->outputSent(stream) : this->closeAfterOutput(stream);
    }
    const auto isWaiting = !connection.later.empty();
    connection.later.insert(connection.later.end(), answer.later.begin(), answer.later.end());
    if (isWaiting || connection.later.empty())
        return;
    if (!connection.timer)
        connection.timer = std::make_unique<Timer>(this->loop, [this, stream] { this->sendLater(stream); });
    connection.timer->start(connection.later.front().delay);
}

auto ScriptedServer::written(bufferevent* stream) -> void
{
    const auto found = this->connections.find(stream);
    if (found != this->connections.end() && !found->second.repeated.empty())
        bufferevent_write(stream, found->second.repeated.data(), found->second.repeated.size());
}

auto ScriptedServer::sendLater(bufferevent* stream) -> void
{
    auto& connection = this->connections[stream];
    const auto next = std::move(connection.later.front());
    connection.later.pop_front();
    bufferevent_write(stream, next.bytes.data(), next.bytes.size());
    if (!connection.later.empty())
        connection.timer->start(connection.later.front().delay);
}

auto ScriptedServer::closeAfterOutput(bufferevent* stream) -> void
{
    bufferevent_setcb(
        stream, nullptr, [](bufferevent* from, void* self) { static_cast<ScriptedServer*>(self)->outputSent(from); }, nullptr, this);
}

auto ScriptedServer::outputSent(bufferevent* stream) -> void
{
    auto& connection = this->connections[stream];
    if (connection.closeDelay == std::chrono::milliseconds(0))
        return this->endOutput(stream);
    connection.timer = std::make_unique<Timer>(this->loop, [this, stream] { this->endOutput(stream); });
    connection.timer->start(connection.closeDelay);
}

auto ScriptedServer::endOutput(bufferevent* stream) -> void
{
    if (!this->connections[stream].readsOn)
        return this->close(stream);
    shutdown(bufferevent_getfd(stream), SHUT_WR);
    bufferevent_setcb(
        stream,
        [](bufferevent* from, void*) {
            auto* input = bufferevent_get_input(from);
            evbuffer_drain(input, evbuffer_get_length(input));
        },
        nullptr, [](bufferevent* from, short, void* self) { static_cast<ScriptedServer*>(self)->closedByCaller(from); }, this);
}

auto ScriptedServer::closedByCaller(bufferevent* stream) -> void
{
    ++this->closedByPeer;
    this->close(stream);
}

auto ScriptedServer::close(bufferevent* stream) -> void
{
    if (this->connections.erase(stream) > 0)
        bufferevent_free(stream);
}

} // namespace Primrosefork::Testkit
