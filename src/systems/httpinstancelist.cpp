#include "httpinstancelist.h"

#include "errors.h"
#include "units.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxListBytes = 16 * mebibyte;

auto readServer(const Json& json) -> std::optional<BackendServer>
{
    const auto address = parseAddress(json.value("address", ""));
    if (!address)
        return std::nullopt;
    BackendServer server;
    server.id = json.value("id", "");
    server.address = *address;
    server.kind = json.value("kind", "engine") == "plain" ? BackendKind::Plain : BackendKind::Engine;
    server.state = json.value("state", "live") == "leaving" ? InstanceState::Leaving : InstanceState::Live;
    server.zone = json.value("zone", "");
    server.region = json.value("region", "");
    server.pool = json.value("pool", "");
    server.model = json.value("model", "");
    server.version = json.value("version", "");
    server.machineClass = json.value("machine_class", "");
    server.pricePerHour = json.value("price_per_hour", std::int64_t { 0 });
    server.slots = json.value("slots", std::int64_t { 8 });
    server.isReclaimable = json.value("reclaimable", true);
    server.checksFencing = json.value("checks_fencing", false);
    return server;
}

auto readServers(const std::string& body, BackendServers& servers) -> std::error_code
{
    const auto json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("instances"))
        return Error::BadAnswer;
    try {
        for (const auto& entry : json.at("instances")) {
            if (auto server = readServer(entry))
                servers[server->id] = std::move(*server);
        }
    } catch (const Json::exception&) {
        return Error::BadAnswer;
    }
    return {};
}

} // namespace

HttpInstanceList::HttpInstanceList(HttpClient& client, Address service, std::chrono::milliseconds timeout)
    : client(client)
    , service(std::move(service))
    , timeout(timeout)
{
}

auto HttpInstanceList::fetch(Handler handler) -> void
{
    HttpCallOptions options;
    options.connectTimeout = this->timeout;
    options.firstByteTimeout = this->timeout;
    options.idleTimeout = this->timeout;
    options.maxResponseBytes = maxListBytes;
    this->client.fetch(this->service, { "GET", "/v1/instances", "", {}, "" }, options,
        [this, handler = std::move(handler)](std::error_code error, const HttpResponse& response) {
            if (error == Error::Timeout)
                this->client.dropIdleConnections(this->service);
            BackendServers servers;
            if (!error && response.status != HttpStatus::ok)
                error = Error::Unavailable;
            if (!error)
                error = readServers(response.body, servers);
            handler(error, servers);
        });
}

} // namespace Primrosefork
