#include "operatorserver.h"

#include "administrationapi.h"
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

OperatorServer::OperatorServer(EventLoop& loop, const NodeSettings& settings, const Metrics& metrics, AdministrationApi& administration)
    : settings(settings)
    , metrics(metrics)
    , administration(administration)
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
    const auto* author = this->findOperator(request);
    if (!author)
        return exchange->respond({ HttpStatus::unauthorized, {}, errorBody("bad_credential") });
    if (request.method == "GET" && request.path == "/metrics")
        return exchange->respond({ HttpStatus::ok, { { "Content-Type", "text/plain; version=0.0.4" } }, this->metrics.toText() });
    if (request.method == "GET" && request.path == "/admin/v1/state")
        return exchange->respond({ HttpStatus::ok, {}, this->dumpState().dump(2) + "\n" });
    if (request.path.starts_with(AdministrationApi::root))
        return this->administration.handle(exchange, author->name);
    exchange->respond({ HttpStatus::notFound, {}, errorBody("no_such_path") });
}

auto OperatorServer::findOperator(const HttpRequest& request) const -> const OperatorCredential*
{
    const auto authorization = request.headers.get("Authorization");
    if (!authorization || !authorization->starts_with(bearerPrefix))
        return nullptr;
    const auto keyHash = sha256Hex(std::string_view(*authorization).substr(bearerPrefix.size()));
    const auto& credentials = this->settings.operatorCredentials;
    const auto found = std::find_if(credentials.begin(), credentials.end(),
        [&keyHash](const OperatorCredential& credential) { return credential.keyHash == keyHash; });
    return found == credentials.end() ? nullptr : &*found;
}

} // namespace Primrosefork
