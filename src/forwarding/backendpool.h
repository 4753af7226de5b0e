#pragma once

#include "backendconnection.h"
#include "backendserver.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * A call of a backend server that is under way.
 */
class BackendCall {
public:
    virtual ~BackendCall() = default;

    /** Ends the call, also at the server; its handlers are not called any more. */
    virtual auto cancel() -> void = 0;
    virtual auto pause() -> void = 0;
    virtual auto resume() -> void = 0;
};

/**
 * The connections of this node to backend servers. Idle ones are used again,
 * the one that was used last first.
 */
class BackendPool {
public:
    BackendPool(EventLoop&, const HeaderDialect&, std::chrono::milliseconds connectTimeout);
    ~BackendPool();
    BackendPool(const BackendPool&) = delete;
    auto operator=(const BackendPool&) -> BackendPool& = delete;

    /** Sends \a message to \a server. The handlers are called from the loop, never from here. */
    auto send(const BackendServer& server, const BackendMessage& message, CallHandlers) -> std::shared_ptr<BackendCall>;

    /** Returns how many connections to the server \a id are open. */
    [[nodiscard]] auto connectionCount(const std::string& id) const -> std::size_t;

    /** Returns how many connections were opened since the start. */
    [[nodiscard]] auto openedCount() const -> std::uint64_t { return this->opened; }

    /** Closes the idle connections to the server \a id. */
    auto dropIdle(const std::string& id) -> void;

private:
    class Call;

    struct Group {
        std::map<BackendConnection*, std::unique_ptr<BackendConnection>> all;
        std::vector<BackendConnection*> idle; ///< The one that was used last is at the back.
    };

    auto takeIdle(Group&) -> BackendConnection*;
    auto open(const BackendServer&, Group&) -> BackendConnection*;
    auto freed(const std::string& id, BackendConnection&, bool isReusable) -> void;

    EventLoop& loop;
    const HeaderDialect& dialect;
    std::chrono::milliseconds connectTimeout;
    std::map<std::string, Group> groups; ///< By the id of the server.
    std::shared_ptr<bool> isAlive;
    std::uint64_t opened = 0;
};

} // namespace Primrosefork
