#include "operatorserver.h"

#include "hash.h"
#include "metrics.h"
#include "nodesettings.h"
#include "statesource.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Primrosefork {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";

auto errorBody(const char* code) -> std::string
{
    return nlohmann::json { { "error", code } }.dump() + "\n";
}

} // namespace

OperatorServer::OperatorServer(EventLoop& loop, const NodeSettings& settings, const Metrics& metrics)
    : settings(settings)
    , metrics(metrics)
    , server(loop, HttpServerOptions {}, [this](const std::shared_ptr<HttpExchange>& exchange) { this->handle(exchange); })
{
}

auto OperatorServer::addSource(const StateSource& source) -> void
{
    this->sources.push_back(&source);
}

auto OperatorServer::listen() -> std::error_code
{
    return this->server.listen(this->settings.operators);
}

auto OperatorServer::dumpState() const -> nlohmann::json
{
    nlohmann::json state { { "node", this->settings.id }, { "zone", this->settings.zone }, { "region", this->settings.region } };
    for (const auto* source : this->sources)
        state[source->stateName()] = source->dumpState();
    return state;
}

auto OperatorServer::handle(const std::shared_ptr<HttpExchange>& exchange) -> void
{
    const auto& request = exchange->request();
    if (!this->isAuthorized(request))
        return exchange->respond({ HttpStatus::unauthorized, {}, errorBody("bad_credential") });
    if (request.method == "GET" && request.path == "/metrics")
        return exchange->respond({ HttpStatus::ok, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.toText() });
    if (request.method == "GET" && request.path == "/admin/v1/state")
        return exchange->respond({ HttpStatus::ok, {}, this->dumpState().dump(2) + "\n" });
    exchange->respond({ HttpStatus::notFound, {}, errorBody("no_such_path") });
}

auto OperatorServer::isAuthorized(const HttpRequest& request) const -> bool
{
    const auto authorization = request.headers.get("Authorization");
    if (!authorization || !authorization->starts_with(bearerPrefix))
        return false;
    const auto keyHash = sha256Hex(std::string_view(*authorization).substr(bearerPrefix.size()));
    return std::any_of(this->settings.operatorCredentials.begin(), this->settings.operatorCredentials.end(),
        [&keyHash](const OperatorCredential& credential) { return credential.keyHash == keyHash; });
}

} // namespace Primrosefork
