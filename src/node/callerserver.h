#pragma once

#include "httpserver.h"

namespace Primrosefork {

class EventLoop;
class LifecycleController;
class RequestController;
struct NodeSettings;

/**
 * The callers' port: requests, and the health checks of the balancer.
 */
class CallerServer {
public:
    CallerServer(EventLoop&, const NodeSettings&, RequestController&, const LifecycleController&);

    auto listen() -> std::error_code;
    auto stopAccepting() -> void { this->server.stopAccepting(); }

    /** Returns how many requests are not answered, or their answers not yet written. */
    [[nodiscard]] auto openCount() const -> std::size_t { return this->server.openCount(); }

    /** Returns the signal that the last open request is over. */
    auto becameIdle() -> sigc::signal<void>& { return this->server.becameIdle; }

private:
    auto handle(const std::shared_ptr<HttpExchange>&) -> void;

    const NodeSettings& settings;
    RequestController& requests;
    const LifecycleController& lifecycle;
    HttpServer server;
};

} // namespace Primrosefork
