#include "commands.h"

#include "backendcommands.h"
#include "checkcommand.h"
#include "gatewaycheckcommand.h"
#include "gatewaycommands.h"
#include "nodecommands.h"
#include "recordcommands.h"
#include "servicecommands.h"

#include <utility>

namespace Primrosefork {

namespace {

constexpr auto helpFooter = R"(
Options:
  --node=ADDRESS          operators' address of a node (or PRIMROSEFORK_NODE)
  --credential_file=FILE  file with the operator's key (or PRIMROSEFORK_CREDENTIAL_FILE,
                          or the key itself in PRIMROSEFORK_CREDENTIAL)
  --json                  print the node's answer as JSON
  --base_revision=N       the revision that the change is based on
  --write_id=ID           repeat a change whose outcome was unknown
  --timeout=DURATION      for each call to the node, "20s" when not given

Examples:
  primrosefork workspace put jadeleaf --file workspace.json
  primrosefork template put assistant --file template.json
  primrosefork service create jadeleaf/desk --template assistant --file parameters.json
  primrosefork service set jadeleaf/desk priority=7 spend_per_hour=2000000
  primrosefork service history jadeleaf/desk
  primrosefork service roll-forward jadeleaf/desk --base_revision 5 --to_revision 3
  primrosefork backend drain engine-7
  primrosefork node status --json
  primrosefork gateway settings 10.1.0.11:7701 10.1.0.12:7701
  primrosefork gateway check next.json --against current.json
  primrosefork check parameters parameters.json --template_file template.json

Exit codes: 0 ok, 1 failed and not accepted, 2 wrong usage, 3 findings, 4
conflict, 5 node unreachable, 6 outcome unknown (repeat with --write_id).
)";

using Commands = std::vector<CommandEntry>;

auto addRecordCommands(Commands& commands, const std::string& group, const std::string& kind, const std::string& name) -> void
{
    commands.push_back({ group, "list", "", "list all " + kind, false, std::make_unique<ListCommand>(kind) });
    commands.push_back({ group, "show", name, "show one with its revision", false, std::make_unique<ShowCommand>(kind) });
    commands.push_back({ group, "history", name, "show the stored versions", false, std::make_unique<HistoryCommand>(kind) });
    commands.push_back({ group, "roll-forward", name + " --base_revision N --to_revision M", "put an earlier content in force again", false, std::make_unique<RollForwardCommand>(kind) });
    commands.push_back({ group, "delete", name + " --base_revision N", "delete one", false, std::make_unique<DeleteCommand>(kind) });
}

} // namespace

auto makeCommands() -> Commands
{
    Commands commands;
    commands.push_back({ "service", "create", "WORKSPACE/NAME --template T --file F", "create a service from a template", false, std::make_unique<CreateServiceCommand>() });
    commands.push_back({ "service", "set", "WORKSPACE/NAME name=value… | --file F --base_revision N", "change parameters", false, std::make_unique<SetServiceCommand>() });
    addRecordCommands(commands, "service", "services", "WORKSPACE/NAME");
    commands.push_back({ "template", "put", "NAME --file F [--base_revision N]", "create or replace a template", false, std::make_unique<PutCommand>("templates") });
    addRecordCommands(commands, "template", "templates", "NAME");
    commands.push_back({ "workspace", "put", "NAME --file F [--base_revision N]", "create or replace a workspace", false, std::make_unique<PutCommand>("workspaces") });
    addRecordCommands(commands, "workspace", "workspaces", "NAME");
    commands.push_back({ "backend", "list", "", "list the backend servers", false, std::make_unique<ListBackendsCommand>() });
    commands.push_back({ "backend", "drain", "ID [--service S]", "send no new work to a backend server", false, std::make_unique<DrainCommand>(true) });
    commands.push_back({ "backend", "undrain", "ID [--service S]", "end the drain of a backend server", false, std::make_unique<DrainCommand>(false) });
    commands.push_back({ "node", "status", "", "show the nodes and the configuration that each has in force", false, std::make_unique<NodeStatusCommand>() });
    commands.push_back({ "gateway", "settings", "ADDRESS…", "show which settings and which configuration gateway nodes run", true, std::make_unique<GatewaySettingsCommand>() });
    commands.push_back({ "gateway", "check", "FILE [--against FILE|ADDRESS]", "check a configuration of the gateway, and compare it with the one in force", true, std::make_unique<GatewayCheckCommand>() });
    commands.push_back({ "state", "", "", "print the state dump of the node", false, std::make_unique<StateCommand>() });
    for (const auto* kind : { "settings", "template", "parameters", "workspace" }) {
        const auto* arguments = std::string(kind) == "parameters" ? "FILE --template_file T" : "FILE";
        commands.push_back({ "check", kind, arguments, "check a file without calling a node", true, std::make_unique<CheckCommand>(kind) });
    }
    return commands;
}

auto helpText(const Commands& commands) -> std::string
{
    std::string text = "Operators' command line of primrosefork.\n\nUsage: primrosefork COMMAND [options]\n\nCommands:\n";
    for (const auto& entry : commands) {
        auto line = "  " + entry.group;
        for (const auto& part : { entry.verb, entry.arguments }) {
            if (!part.empty())
                line += " " + part;
        }
        text += line + "\n      " + entry.summary + "\n";
    }
    return text + helpFooter;
}

} // namespace Primrosefork
