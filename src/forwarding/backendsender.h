#pragma once

#include "backendconnection.h"
#include "backendserver.h"

#include <cstdint>
#include <memory>

namespace Primrosefork {

/**
 * A call to a backend server that is in progress.
 */
class BackendCall {
public:
    virtual ~BackendCall() = default;

    /** Ends the call and closes its connection, so that the server ends it too. No handler is called afterwards. */
    virtual auto cancel() -> void = 0;
    virtual auto pause() -> void = 0;
    virtual auto resume() -> void = 0;

    /** Returns the number of the connection that carries the call; no other connection of the node has had it. */
    [[nodiscard]] virtual auto connectionNumber() const -> std::uint64_t = 0;
};

/** Sends requests to backend servers. */
class BackendSender {
public:
    virtual ~BackendSender() = default;

    /** Sends \a message to \a server. The handlers are called from the event loop, never within this call. */
    virtual auto send(const BackendServer& server, const BackendMessage& message, CallHandlers) -> std::shared_ptr<BackendCall> = 0;
};

} // namespace Primrosefork
