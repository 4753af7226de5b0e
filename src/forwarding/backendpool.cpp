#include "backendpool.h"

#include <utility>

namespace Primrosefork {

/** The call that the pool hands out. */
class BackendPool::Call : public BackendCall {
public:
    explicit Call(BackendConnection* connection)
        : connection(connection)
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

    auto ended() -> void { this->connection = nullptr; }

private:
    BackendConnection* connection;
};

BackendPool::BackendPool(EventLoop& loop, const HeaderDialect& dialect, std::chrono::milliseconds connectTimeout)
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
    auto& group = this->groups[server.id];
    auto* connection = this->takeIdle(group);
    if (!connection)
        connection = this->open(server, group);
    const auto call = std::make_shared<Call>(connection);
    handlers.onDone = [call, done = std::move(handlers.onDone)](CallOutcome outcome) {
        call->ended();
        done(outcome);
    };
    connection->send(message, std::move(handlers));
    return call;
}

auto BackendPool::takeIdle(Group& group) -> BackendConnection*
{
    const auto now = EventLoop::now();
    while (!group.idle.empty()) {
        auto* connection = group.idle.back();
        group.idle.pop_back();
        if (connection->keptUntil() > now)
            return connection;
        connection->cancel();
    }
    return nullptr;
}

auto BackendPool::open(const BackendServer& server, Group& group) -> BackendConnection*
{
    ++this->opened;
    auto connection = std::make_unique<BackendConnection>(this->loop, this->dialect, server.address, this->connectTimeout,
        [this, id = server.id](BackendConnection& freedConnection, bool isReusable) { this->freed(id, freedConnection, isReusable); });
    auto* key = connection.get();
    group.all.emplace(key, std::move(connection));
    return key;
}

auto BackendPool::freed(const std::string& id, BackendConnection& connection, bool isReusable) -> void
{
    auto& group = this->groups[id];
    if (isReusable) {
        group.idle.push_back(&connection);
        return;
    }
    std::erase(group.idle, &connection);
    const auto found = group.all.find(&connection);
    if (found == group.all.end())
        return;
    // The connection is still on the call stack.
    const std::shared_ptr<BackendConnection> last = std::move(found->second);
    group.all.erase(found);
    this->loop.post([last] {});
}

auto BackendPool::connectionCount(const std::string& id) const -> std::size_t
{
    const auto found = this->groups.find(id);
    return found == this->groups.end() ? 0 : found->second.all.size();
}

auto BackendPool::dropIdle(const std::string& id) -> void
{
    const auto found = this->groups.find(id);
    if (found == this->groups.end())
        return;
    const auto idle = std::exchange(found->second.idle, {});
    for (auto* connection : idle)
        connection->cancel();
    if (found->second.all.empty())
        this->groups.erase(found);
}

} // namespace Primrosefork
