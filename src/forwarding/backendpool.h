#pragma once

#include "backendsender.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * The connections of this node to backend servers. Idle connections are reused,
 * the most recently used one first, but none carries the same request twice.
 */
class BackendPool : public BackendSender {
public:
    BackendPool(EventLoop&, const HeaderCodec&, std::chrono::milliseconds connectTimeout);
    ~BackendPool() override;
    BackendPool(const BackendPool&) = delete;
    auto operator=(const BackendPool&) -> BackendPool& = delete;

    auto send(const BackendServer& server, const BackendMessage& message, CallHandlers) -> std::shared_ptr<BackendCall> override;

    /** Returns the number of open connections to the server \a id. */
    [[nodiscard]] auto connectionCount(const std::string& id) const -> std::size_t;

    /** Returns the number of connections opened since the start of the node. */
    [[nodiscard]] auto openedCount() const -> std::uint64_t { return this->opened; }

    /** Ends the calls to the server \a id whose connections are not established yet, as not sent. */
    auto failUnconnected(const std::string& id) -> void;

    /** Closes the idle connections to the server \a id. */
    auto dropIdle(const std::string& id) -> void;

private:
    class Call;

    struct ServerConnections {
        std::map<BackendConnection*, std::unique_ptr<BackendConnection>> all;
        std::vector<BackendConnection*> idle; ///< Idle connections, the most recently used one last.
    };

    /** Takes the most recently used idle connection that is none of \a excluded; returns null if there is none. */
    auto acquireIdle(ServerConnections&, std::span<const std::uint64_t> excluded) -> BackendConnection*;
    auto openConnection(const BackendServer&, ServerConnections&) -> BackendConnection*;
    auto connectionReleased(const std::string& id, BackendConnection&, bool isReusable) -> void;

    EventLoop& loop;
    const HeaderCodec& dialect;
    std::chrono::milliseconds connectTimeout;
    std::map<std::string, ServerConnections> connectionsByServer; ///< Connections by the id of their server.
    std::shared_ptr<bool> isAlive;
    std::uint64_t opened = 0;
};

} // namespace Primrosefork
