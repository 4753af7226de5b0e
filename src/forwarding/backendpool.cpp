#include "backendpool.h"

#include <algorithm>
#include <utility>

namespace Primrosefork {

/** The handle that BackendPool::send() returns. */
class BackendPool::Call : public BackendCall {
public:
    explicit Call(BackendConnection* connection)
        : connection(connection)
        , number(connection->number())
    {
    }

    auto cancel() -> void override
    {
        if (auto* used = std::exchange(this->connection, nullptr))
            used->cancel();
    }

    auto pause() -> void override
    {
        if (this->connection)
            this->connection->pauseReading();
    }

    auto resume() -> void override
    {
        if (this->connection)
            this->connection->resumeReading();
    }

    [[nodiscard]] auto connectionNumber() const -> std::uint64_t override { return this->number; }

    auto ended() -> void { this->connection = nullptr; }

private:
    BackendConnection* connection;
    std::uint64_t number;
};

BackendPool::BackendPool(EventLoop& loop, const HeaderCodec& dialect, std::chrono::milliseconds connectTimeout)
    : loop(loop)
    , dialect(dialect)
    , connectTimeout(connectTimeout)
    , isAlive(std::make_shared<bool>(true))
{
}

BackendPool::~BackendPool()
{
    *this->isAlive = false;
}

auto BackendPool::send(const BackendServer& server, const BackendMessage& message, CallHandlers handlers) -> std::shared_ptr<BackendCall>
{
    auto& serverConnections = this->connectionsByServer[server.id];
    auto* connection = this->acquireIdle(serverConnections, message.usedConnections);
    if (!connection)
        connection = this->openConnection(server, serverConnections);
    const auto call = std::make_shared<Call>(connection);
    handlers.onDone = [call, done = std::move(handlers.onDone)](CallOutcome outcome) {
        call->ended();
        done(outcome);
    };
    connection->send(message, std::move(handlers));
    return call;
}

auto BackendPool::acquireIdle(ServerConnections& serverConnections, std::span<const std::uint64_t> excluded) -> BackendConnection*
{
    const auto now = EventLoop::now();
    auto& idle = serverConnections.idle;
    for (auto place = idle.size(); place > 0; --place) {
        auto* connection = idle[place - 1];
        if (connection->reusableUntil() <= now) {
            connection->cancel(); // Removes it from the list.
            continue;
        }
        if (std::find(excluded.begin(), excluded.end(), connection->number()) != excluded.end())
            continue;
        std::erase(idle, connection);
        return connection;
    }
    return nullptr;
}

auto BackendPool::openConnection(const BackendServer& server, ServerConnections& serverConnections) -> BackendConnection*
{
    ++this->opened;
    auto connection = std::make_unique<BackendConnection>(this->loop, this->dialect, server.address, this->opened, this->connectTimeout,
        [this, id = server.id](BackendConnection& releasedConnection, bool isReusable) { this->connectionReleased(id, releasedConnection, isReusable); });
    auto* key = connection.get();
    serverConnections.all.emplace(key, std::move(connection));
    return key;
}

auto BackendPool::connectionReleased(const std::string& id, BackendConnection& connection, bool isReusable) -> void
{
    auto& serverConnections = this->connectionsByServer[id];
    if (isReusable) {
        serverConnections.idle.push_back(&connection);
        return;
    }
    std::erase(serverConnections.idle, &connection);
    const auto found = serverConnections.all.find(&connection);
    if (found == serverConnections.all.end())
        return;
    // Destroyed from the event loop, because the connection is still on the call stack.
    const std::shared_ptr<BackendConnection> last = std::move(found->second);
    serverConnections.all.erase(found);
    this->loop.post([last] {});
}

auto BackendPool::connectionCount(const std::string& id) const -> std::size_t
{
    const auto found = this->connectionsByServer.find(id);
    return found == this->connectionsByServer.end() ? 0 : found->second.all.size();
}

auto BackendPool::failUnconnected(const std::string& id) -> void
{
    const auto found = this->connectionsByServer.find(id);
    if (found == this->connectionsByServer.end())
        return;
    // Copied first, because the end of a call removes its connection.
    std::vector<BackendConnection*> connections;
    for (const auto& [connection, owner] : found->second.all)
        connections.push_back(connection);
    for (auto* connection : connections)
        connection->failUnconnected();
}

auto BackendPool::dropIdle(const std::string& id) -> void
{
    const auto found = this->connectionsByServer.find(id);
    if (found == this->connectionsByServer.end())
        return;
    const auto idle = std::exchange(found->second.idle, {});
    for (auto* connection : idle)
        connection->cancel();
    if (found->second.all.empty())
        this->connectionsByServer.erase(found);
}

} // namespace Primrosefork
