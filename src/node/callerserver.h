#pragma once

#include "httpserver.h"

namespace Primrosefork {

class EventLoop;
class LifecycleController;
class RequestController;
struct NodeSettings;

/**
 * Serves the callers' port: their requests and the health checks of the load
 * balancer.
 */
class CallerServer {
public:
    CallerServer(EventLoop&, const NodeSettings&, RequestController&, const LifecycleController&);

    auto listen() -> std::error_code;
    auto stopAccepting() -> void { this->server.stopAccepting(); }

    /** Returns the number of requests whose answer is not yet completely written. */
    [[nodiscard]] auto openCount() const -> std::size_t { return this->server.openRequestCount(); }

    /** Returns the signal that is emitted when no request is open any more. */
    auto becameIdle() -> sigc::signal<void>& { return this->server.becameIdle; }

private:
    auto handle(const std::shared_ptr<HttpExchange>&) -> void;

    const NodeSettings& settings;
    RequestController& requests;
    const LifecycleController& lifecycle;
    HttpServer server;
};

} // namespace Primrosefork
