#include "administrationapi.h"

#include "eventlog.h"
#include "httpserver.h"
#include "metrics.h"
#include "nodesettings.h"

#include <algorithm>
#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

auto respond(const std::shared_ptr<HttpExchange>& exchange, int status, const Json& body) -> void
{
    exchange->respond({ status, {}, body.dump(2, ' ', false, Json::error_handler_t::replace) + "\n" });
}

auto respondError(const std::shared_ptr<HttpExchange>& exchange, int status, const char* code, const std::string& message) -> void
{
    respond(exchange, status, { { "error", code }, { "outcome", "not accepted" }, { "message", message } });
}

auto findingsToJson(const Findings& findings) -> Json
{
    auto list = Json::array();
    for (const auto& finding : findings)
        list.push_back({ { "place", finding.place.empty() ? "/" : finding.place }, { "message", finding.message } });
    return list;
}

auto respondFindings(const std::shared_ptr<HttpExchange>& exchange, int status, const char* code, const Findings& findings) -> void
{
    respond(exchange, status, { { "error", code }, { "outcome", "not accepted" }, { "findings", findingsToJson(findings) } });
}

auto outcomeName(ChangeOutcome outcome) -> const char*
{
    switch (outcome) {
    case ChangeOutcome::Accepted:
        return "accepted";
    case ChangeOutcome::Invalid:
        return "invalid";
    case ChangeOutcome::Conflict:
        return "conflict";
    case ChangeOutcome::NotFound:
        return "not_found";
    case ChangeOutcome::NotAccepted:
        return "not_accepted";
    case ChangeOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

/** Returns the names of the services that drain \a backendServer. */
auto servicesDraining(const Configuration& configuration, const std::string& backendServer) -> Json
{
    auto services = Json::array();
    for (const auto& [key, service] : configuration.services) {
        const auto& drained = service.parameters.drainedBackends;
        if (std::find(drained.begin(), drained.end(), backendServer) != drained.end())
            services.push_back(key.first + "/" + key.second);
    }
    return services;
}

/** Returns the names of the services that use the pool of \a server. */
auto servicesUsing(const Configuration& configuration, const BackendServer& server) -> Json
{
    auto services = Json::array();
    for (const auto& [key, service] : configuration.services) {
        const auto& pools = service.parameters.backendPools;
        if (std::find(pools.begin(), pools.end(), server.pool) != pools.end())
            services.push_back(key.first + "/" + key.second);
    }
    return services;
}

auto findRecord(const Configuration& configuration, const std::string& key) -> std::optional<ConfigurationRecord>
{
    const auto found = configuration.records.find(key);
    return found == configuration.records.end() ? std::nullopt : parseRecord(*found->second);
}

} // namespace

AdministrationApi::AdministrationApi(const NodeSettings& settings, const Blackboard& blackboard, ConfigurationWriter& writer, Metrics& metrics,
    const EventLog& eventLog)
    : settings(settings)
    , blackboard(blackboard)
    , writer(writer)
    , metrics(metrics)
    , eventLog(eventLog)
{
}

auto AdministrationApi::handle(const std::shared_ptr<HttpExchange>& exchange, const std::string& author) -> void
{
    const auto& request = exchange->request();
    const auto relativePath = std::string_view(request.path).substr(root.size());
    const auto isRead = request.method == "GET";
    if (isRead && relativePath == "nodes")
        return respond(exchange, HttpStatus::ok, { { "nodes", this->listNodes() } });
    if (isRead && relativePath == "backend_servers")
        return respond(exchange, HttpStatus::ok, { { "backend_servers", this->listBackendServers() } });
    const auto path = parseRecordPath(relativePath);
    if (!path)
        return respondError(exchange, HttpStatus::notFound, "no_such_path", "there is nothing at this path");
    if (isRead)
        return this->show(exchange, *path);
    this->change(exchange, *path, author);
}

auto AdministrationApi::show(const std::shared_ptr<HttpExchange>& exchange, const RecordPath& path) const -> void
{
    if (path.isCollection())
        return respond(exchange, HttpStatus::ok, { { path.kind, this->listRecords(path.kind) } });
    if (!path.action.empty() && path.action != "history")
        return respondError(exchange, HttpStatus::notFound, "no_such_path", "there is nothing at this path");
    const auto record = findRecord(this->blackboard.configuration.value(), path.key);
    if (!record || (record->current.isDeleted && path.action.empty()))
        return respondError(exchange, HttpStatus::notFound, "no_such_record", "there is no " + path.kind + "/" + path.name);
    if (path.action.empty()) {
        auto body = toJson(record->current);
        body["name"] = path.name;
        return respond(exchange, HttpStatus::ok, body);
    }
    auto versions = Json::array({ toJson(record->current) });
    for (const auto& version : record->history)
        versions.push_back(toJson(version));
    respond(exchange, HttpStatus::ok, { { "name", path.name }, { "versions", std::move(versions) } });
}

auto AdministrationApi::change(const std::shared_ptr<HttpExchange>& exchange, const RecordPath& path, const std::string& author) -> void
{
    ChangeCallError error;
    const auto call = parseChangeCall(exchange->request(), path, error);
    if (error.status != HttpStatus::ok)
        return respondFindings(exchange, error.status, error.code, error.findings);
    const ChangeOrigin origin { call.base, call.writeId, author, std::chrono::system_clock::now() };
    this->writer.submit(call.change, origin, call.isRepeated, [this, exchange, key = call.change->key(), origin](const ChangeReport& changeReport) {
        this->log(key, origin, changeReport);
        this->report(exchange, key, origin, changeReport);
    });
}

auto AdministrationApi::log(const std::string& key, const ChangeOrigin& origin, const ChangeReport& changeReport) const -> void
{
    this->metrics.count(std::string("configuration_changes_total{outcome=\"") + outcomeName(changeReport.outcome) + "\"}");
    if (changeReport.outcome == ChangeOutcome::Accepted)
        this->eventLog.write(Event::ServiceChanged, { { "key", key }, { "revision", std::to_string(changeReport.version.revision) }, { "author", origin.author }, { "write_id", origin.writeId } });
    if (changeReport.outcome == ChangeOutcome::NotAccepted || changeReport.outcome == ChangeOutcome::Unknown)
        this->eventLog.write(Event::ChangeNotAccepted, { { "key", key }, { "outcome", outcomeName(changeReport.outcome) }, { "author", origin.author }, { "write_id", origin.writeId } });
}

auto AdministrationApi::report(const std::shared_ptr<HttpExchange>& exchange, const std::string& key, const ChangeOrigin& origin, const ChangeReport& changeReport) -> void
{
    switch (changeReport.outcome) {
    case ChangeOutcome::Accepted:
        return respond(exchange, HttpStatus::ok,
            { { "outcome", "accepted" }, { "key", key }, { "revision", changeReport.version.revision }, { "write_id", origin.writeId }, { "content", changeReport.version.content } });
    case ChangeOutcome::Invalid:
        return respondFindings(exchange, HttpStatus::unprocessable, "invalid", changeReport.findings);
    case ChangeOutcome::NotFound:
        return respondError(exchange, HttpStatus::notFound, "no_such_record", "there is no record " + key);
    case ChangeOutcome::Conflict:
        return respond(exchange, HttpStatus::conflict,
            { { "error", "conflict" }, { "outcome", "not accepted" }, { "base_revision", origin.base }, { "revision", changeReport.inForce.revision },
                { "yours", changeReport.version.content }, { "in_force", toJson(changeReport.inForce) } });
    case ChangeOutcome::NotAccepted:
    case ChangeOutcome::Unknown:
        const auto isUnknown = changeReport.outcome == ChangeOutcome::Unknown;
        return respond(exchange, HttpStatus::unavailable,
            { { "error", "store_unavailable" }, { "outcome", isUnknown ? "unknown" : "not accepted" }, { "write_id", origin.writeId },
                { "message", isUnknown ? "the change may have taken effect; ask again with the same Write-Id" : "the change did not take effect" } });
    }
}

auto AdministrationApi::listRecords(const std::string& kind) const -> Json
{
    const auto prefix = std::string(ConfigurationKeys::prefix) + kind + "/";
    auto list = Json::array();
    for (const auto& [key, value] : this->blackboard.configuration.value().records) {
        const auto record = key.starts_with(prefix) ? parseRecord(*value) : std::nullopt;
        if (!record || record->current.isDeleted)
            continue;
        auto entry = toJson(record->current);
        entry.erase("content");
        entry.erase("write_id");
        entry["name"] = key.substr(prefix.size());
        list.push_back(std::move(entry));
    }
    return list;
}

auto AdministrationApi::listNodes() const -> Json
{
    const auto& configuration = this->blackboard.configuration.value();
    auto list = Json::array({ { { "id", this->settings.id }, { "zone", this->settings.zone }, { "region", this->settings.region },
        { "lifecycle", nameOf(this->blackboard.lifecycle.value()) }, { "store_revision", configuration.storeRevision },
        { "digest", configuration.digest() }, { "records", configuration.records.size() } } });
    for (const auto& [id, peer] : this->blackboard.peers.value()) {
        list.push_back({ { "id", id }, { "zone", peer.zone }, { "region", peer.region }, { "lifecycle", nameOf(peer.state) },
            { "store_revision", peer.configurationRevision }, { "is_behind", peer.configurationRevision < configuration.storeRevision } });
    }
    return list;
}

auto AdministrationApi::listBackendServers() const -> Json
{
    const auto& configuration = this->blackboard.configuration.value();
    const auto& notices = this->blackboard.reclaimNotices.value();
    auto list = Json::array();
    for (const auto& [id, server] : this->blackboard.backendServers.value()) {
        list.push_back({ { "id", id }, { "kind", server.kind == BackendKind::Engine ? "engine" : "plain" }, { "zone", server.zone }, { "pool", server.pool },
            { "model", server.model }, { "version", server.version }, { "state", server.state == InstanceState::Live ? "live" : "leaving" },
            { "reclaim_noticed", notices.contains(id) }, { "used_by", servicesUsing(configuration, server) }, { "drained_by", servicesDraining(configuration, id) } });
    }
    return list;
}

} // namespace Primrosefork
