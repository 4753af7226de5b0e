#include "servicecommands.h"

#include "apiclient.h"
#include "jsonfile.h"
#include "output.h"

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

/**
 * Sets a parameter in \a content from "name=value"; a value that is not JSON is a
 * string. Returns false when \a assignment has no name or no equals sign.
 */
auto setParameter(Json& content, const std::string& assignment) -> bool
{
    const auto equals = assignment.find('=');
    if (equals == std::string::npos || equals == 0)
        return false;
    const auto text = assignment.substr(equals + 1);
    const auto value = Json::parse(text, nullptr, false);
    content[assignment.substr(0, equals)] = value.is_discarded() ? Json(text) : value;
    return true;
}

auto replaceParameters(const CommandLine& line, const std::string& path) -> ExitCode
{
    if (!line.baseRevision || line.arguments.size() != 1) {
        printError("--file replaces all parameters: it needs --base_revision and allows no name=value");
        return ExitCode::Usage;
    }
    const auto content = readJsonFile(line.file);
    if (!content)
        return ExitCode::Findings;
    ApiClient client(line);
    return printChange(line, client.change("PUT", path, { { "base_revision", *line.baseRevision }, { "content", *content } }));
}

} // namespace

auto CreateServiceCommand::run(const CommandLine& line) const -> ExitCode
{
    const auto slash = line.arguments.size() == 1 ? line.arguments.front().find('/') : std::string::npos;
    if (slash == std::string::npos || line.templateName.empty()) {
        printError("expected WORKSPACE/NAME, --template and --file");
        return ExitCode::Usage;
    }
    const auto content = readJsonFile(line.file);
    if (!content)
        return ExitCode::Findings;
    ApiClient client(line);
    const Json body { { "workspace", line.arguments.front().substr(0, slash) }, { "name", line.arguments.front().substr(slash + 1) },
        { "template", line.templateName }, { "content", *content } };
    return printChange(line, client.change("POST", "services", body));
}

auto SetServiceCommand::run(const CommandLine& line) const -> ExitCode
{
    if (line.arguments.empty() || (line.file.empty() && line.arguments.size() < 2)) {
        printError("expected WORKSPACE/NAME and name=value, or --file and --base_revision");
        return ExitCode::Usage;
    }
    const auto path = "services/" + line.arguments.front();
    if (!line.file.empty())
        return replaceParameters(line, path);

    ApiClient client(line);
    const auto current = client.get(path);
    if (!current.isOk()) {
        printFailure(current);
        return current.exitCode();
    }
    auto content = current.body()["content"];
    for (std::size_t index = 1; index < line.arguments.size(); ++index) {
        if (!setParameter(content, line.arguments[index])) {
            printError("expected name=value instead of " + line.arguments[index]);
            return ExitCode::Usage;
        }
    }
    const auto base = line.baseRevision.value_or(current.body()["revision"].get<std::uint64_t>());
    return printChange(line, client.change("PUT", path, { { "base_revision", base }, { "content", content } }));
}

} // namespace Primrosefork
