#include "recordcommands.h"

#include "apiclient.h"
#include "jsonfile.h"
#include "output.h"

#include <iostream>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

auto pathOf(const std::string& kind, const CommandLine& line) -> std::string
{
    return kind + "/" + line.arguments.front();
}

auto hasOneArgument(const CommandLine& line) -> bool
{
    if (line.arguments.size() == 1)
        return true;
    printError("expected one name");
    return false;
}

auto hasBaseRevision(const CommandLine& line) -> bool
{
    if (line.baseRevision)
        return true;
    printError("--base_revision is needed: the revision that the change is based on");
    return false;
}

} // namespace

auto ListCommand::run(const CommandLine& line) const -> ExitCode
{
    ApiClient client(line);
    const auto answer = client.get(this->kind);
    if (const auto code = printJsonOrFailure(line, answer))
        return *code;
    std::vector<std::vector<std::string>> rows;
    for (const auto& record : answer.body().value(this->kind, Json::array()))
        rows.push_back({ textOf(record, "name"), textOf(record, "template"), textOf(record, "revision"), textOf(record, "author"), timeOf(record, "time_ms") });
    printTable({ "NAME", "TEMPLATE", "REVISION", "AUTHOR", "TIME" }, rows);
    return ExitCode::Success;
}

auto ShowCommand::run(const CommandLine& line) const -> ExitCode
{
    if (!hasOneArgument(line))
        return ExitCode::Usage;
    ApiClient client(line);
    const auto answer = client.get(pathOf(this->kind, line));
    if (const auto code = printJsonOrFailure(line, answer))
        return *code;
    std::cout << textOf(answer.body(), "name") << ", revision " << textOf(answer.body(), "revision") << " by " << textOf(answer.body(), "author")
              << " of " << timeOf(answer.body(), "time_ms") << "\n";
    if (answer.body().contains("template"))
        std::cout << "template: " << textOf(answer.body(), "template") << "\n";
    std::cout << answer.body()["content"].dump(2) << "\n";
    return ExitCode::Success;
}

auto HistoryCommand::run(const CommandLine& line) const -> ExitCode
{
    if (!hasOneArgument(line))
        return ExitCode::Usage;
    ApiClient client(line);
    const auto answer = client.get(pathOf(this->kind, line) + "/history");
    if (const auto code = printJsonOrFailure(line, answer))
        return *code;
    std::vector<std::vector<std::string>> rows;
    for (const auto& version : answer.body().value("versions", Json::array())) {
        const auto content = version.value("deleted", false) ? "deleted" : version["content"].dump();
        rows.push_back({ textOf(version, "revision"), textOf(version, "author"), timeOf(version, "time_ms"), content });
    }
    printTable({ "REVISION", "AUTHOR", "TIME", "CONTENT" }, rows);
    return ExitCode::Success;
}

auto RollForwardCommand::run(const CommandLine& line) const -> ExitCode
{
    if (!hasOneArgument(line) || !hasBaseRevision(line))
        return ExitCode::Usage;
    ApiClient client(line);
    const Json body { { "base_revision", *line.baseRevision }, { "to_revision", line.toRevision } };
    return printChange(line, client.change("POST", pathOf(this->kind, line) + "/roll-forward", body));
}

auto PutCommand::run(const CommandLine& line) const -> ExitCode
{
    if (!hasOneArgument(line))
        return ExitCode::Usage;
    const auto content = readJsonFile(line.file);
    if (!content)
        return ExitCode::Findings;
    ApiClient client(line);
    const Json body { { "base_revision", line.baseRevision.value_or(0) }, { "content", *content } };
    return printChange(line, client.change("PUT", pathOf(this->kind, line), body));
}

auto DeleteCommand::run(const CommandLine& line) const -> ExitCode
{
    if (!hasOneArgument(line) || !hasBaseRevision(line))
        return ExitCode::Usage;
    ApiClient client(line);
    return printChange(line, client.change("DELETE", pathOf(this->kind, line), { { "base_revision", *line.baseRevision } }));
}

} // namespace Primrosefork
