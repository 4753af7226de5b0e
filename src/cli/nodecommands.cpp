#include "nodecommands.h"

#include "apiclient.h"
#include "output.h"

namespace Primrosefork {

auto NodeStatusCommand::run(const CommandLine& line) const -> ExitCode
{
    ApiClient client(line);
    const auto answer = client.get("nodes");
    if (const auto code = printJsonOrFailure(line, answer))
        return *code;
    std::vector<std::vector<std::string>> rows;
    for (const auto& node : answer.body().value("nodes", nlohmann::json::array())) {
        const auto inForce = node.value("is_behind", false) ? "behind" : textOf(node, "digest");
        rows.push_back({ textOf(node, "id"), textOf(node, "zone"), textOf(node, "lifecycle"), textOf(node, "store_revision"), inForce });
    }
    printTable({ "ID", "ZONE", "LIFECYCLE", "STORE REVISION", "CONFIGURATION" }, rows);
    return ExitCode::Success;
}

auto StateCommand::run(const CommandLine& line) const -> ExitCode
{
    ApiClient client(line);
    const auto answer = client.get("state");
    if (line.isJson || answer.isOk())
        return printJson(answer);
    printFailure(answer);
    return answer.exitCode();
}

} // namespace Primrosefork
