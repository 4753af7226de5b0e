#include "gatewaycommands.h"

#include "apiclient.h"
#include "output.h"

#include <iostream>
#include <set>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

/** Which settings one node runs. */
struct NodeSettingsRow {
    std::string address;
    std::string node; ///< Id of the node; empty when it did not answer.
    std::string digest;
    std::string inForce; ///< Milliseconds for which the settings have been in force.
    std::string version; ///< Version of the configuration in force.
    std::string remark;
};

auto remarkOf(const Json& settings) -> std::string
{
    std::string remark;
    if (settings.contains("rejected") && settings["rejected"].is_object())
        remark = "rejected the file " + textOf(settings["rejected"], "ms_ago") + " ms ago: " + textOf(settings["rejected"], "findings");
    for (const auto& path : settings.value("unapplied", Json::array()))
        remark += (remark.empty() ? "needs a restart: " : " ") + (path.is_string() ? path.get<std::string>() : path.dump());
    while (!remark.empty() && remark.back() == '\n')
        remark.pop_back();
    return remark;
}

auto askNode(ApiClient& client, const Address& address) -> NodeSettingsRow
{
    NodeSettingsRow row { address.toString(), "", "", "", "", "" };
    const auto answer = client.fetchState(address);
    const auto state = answer.body();
    if (!answer.isOk() || !state.is_object() || !state.contains("settings") || !state["settings"].is_object()) {
        row.remark = answer.isOk() ? "not a gateway node" : "did not answer";
        return row;
    }
    row.node = textOf(state, "node");
    row.digest = textOf(state["settings"], "digest");
    row.inForce = textOf(state["settings"], "in_force_ms");
    row.version = textOf(state.value("traffic", Json::object()), "version");
    row.remark = remarkOf(state["settings"]);
    return row;
}

auto print(const std::vector<NodeSettingsRow>& rows, bool isJson) -> void
{
    if (!isJson) {
        std::vector<std::vector<std::string>> cells;
        cells.reserve(rows.size());
        for (const auto& row : rows)
            cells.push_back({ row.address, row.node, row.digest, row.inForce, row.version, row.remark });
        return printTable({ "ADDRESS", "ID", "SETTINGS", "IN FORCE MS", "CONFIGURATION", "REMARK" }, cells);
    }
    auto list = Json::array();
    for (const auto& row : rows)
        list.push_back({ { "address", row.address }, { "id", row.node }, { "digest", row.digest }, { "in_force_ms", row.inForce }, { "configuration", row.version }, { "remark", row.remark } });
    std::cout << list.dump(2) << "\n";
}

} // namespace

auto GatewaySettingsCommand::run(const CommandLine& line) const -> ExitCode
{
    std::vector<Address> addresses;
    for (const auto& argument : line.arguments) {
        const auto address = parseAddress(argument);
        if (!address) {
            printError(argument + " is not a numeric address such as 127.0.0.1:8081");
            return ExitCode::Usage;
        }
        addresses.push_back(*address);
    }
    if (addresses.empty()) {
        printError("expected the operators' addresses of one node or more");
        return ExitCode::Usage;
    }
    ApiClient client(line);
    std::vector<NodeSettingsRow> rows;
    std::set<std::string> digests;
    auto isUnreachable = false;
    auto hasRemark = false;
    for (const auto& address : addresses) {
        const auto& row = rows.emplace_back(askNode(client, address));
        digests.insert(row.digest);
        isUnreachable = isUnreachable || row.node.empty();
        hasRemark = hasRemark || !row.remark.empty();
    }
    print(rows, line.isJson);
    if (isUnreachable)
        return ExitCode::Unreachable;
    return digests.size() > 1 || hasRemark ? ExitCode::Failed : ExitCode::Success;
}

} // namespace Primrosefork
