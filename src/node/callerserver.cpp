#include "callerserver.h"

#include "lifecyclecontroller.h"
#include "nodesettings.h"
#include "requestcontroller.h"

namespace Primrosefork {

namespace {

auto serverOptions(const RequestLimits& limits) -> HttpServerOptions
{
    return { limits.headerBytes, limits.bodyBytes, limits.streamBufferBytes, limits.readTimeout, limits.writeTimeout };
}

} // namespace

CallerServer::CallerServer(EventLoop& loop, const NodeSettings& settings, RequestController& requests, const LifecycleController& lifecycle)
    : settings(settings)
    , requests(requests)
    , lifecycle(lifecycle)
    , server(loop, serverOptions(settings.limits), [this](const std::shared_ptr<HttpExchange>& exchange) { this->handle(exchange); })
{
}

auto CallerServer::listen() -> std::error_code
{
    return this->server.listen(this->settings.callers);
}

auto CallerServer::handle(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto& path = exchange->request().path;
    if (path == "/health/live")
        return exchange->respond({ HttpStatus::ok, {}, "{\"live\":true}\n" });
    if (path == "/health/ready") {
        if (this->lifecycle.isReady())
            return exchange->respond({ HttpStatus::ok, {}, "{\"ready\":true}\n" });
        return exchange->respond({ HttpStatus::unavailable, {}, "{\"ready\":false}\n" });
    }
    this->requests.handle(exchange);
}

} // namespace Primrosefork
