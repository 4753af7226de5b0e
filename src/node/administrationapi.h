#pragma once

#include "administrationcall.h"
#include "configurationwriter.h"

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace Primrosefork {

class EventLog;
class HttpExchange;
class Metrics;
struct NodeSettings;

/**
 * The administration API: lets operators change workspaces, templates and
 * services, and inspect these as well as the nodes and the backend servers.
 * docs/OPERATORS.md describes the calls.
 */
class AdministrationApi {
public:
    static constexpr std::string_view root = "/admin/v1/";

    AdministrationApi(const NodeSettings&, const Blackboard&, ConfigurationWriter&, Metrics&, const EventLog&);

    /** Answers the request of \a exchange, made by the operator \a author: a read at once, a change when its outcome is known. */
    auto handle(const std::shared_ptr<HttpExchange>& exchange, const std::string& author) -> void;

private:
    auto show(const std::shared_ptr<HttpExchange>&, const RecordPath&) const -> void;
    auto change(const std::shared_ptr<HttpExchange>&, const RecordPath&, const std::string& author) -> void;
    auto report(const std::shared_ptr<HttpExchange>&, const std::string& key, const ChangeOrigin&, const ChangeReport&) -> void;
    auto log(const std::string& key, const ChangeOrigin&, const ChangeReport&) const -> void;
    [[nodiscard]] auto listRecords(const std::string& kind) const -> nlohmann::json;
    [[nodiscard]] auto listNodes() const -> nlohmann::json;
    [[nodiscard]] auto listBackendServers() const -> nlohmann::json;

    const NodeSettings& settings;
    const Blackboard& blackboard;
    ConfigurationWriter& writer;
    Metrics& metrics;
    const EventLog& eventLog;
};

} // namespace Primrosefork
