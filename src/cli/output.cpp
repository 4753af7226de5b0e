#include "output.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <iostream>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

auto printRow(const std::vector<std::string>& cells, const std::vector<std::size_t>& widths) -> void
{
    std::string text;
    for (std::size_t index = 0; index < cells.size(); ++index) {
        text += cells[index];
        if (index + 1 < cells.size())
            text += std::string(widths[index] - cells[index].size() + 2, ' ');
    }
    std::cout << text << "\n";
}

auto printConflict(const Json& body) -> void
{
    const auto inForce = body.value("in_force", Json::object());
    std::cerr << "conflict: the base is revision " << textOf(body, "base_revision") << ", in force is revision " << textOf(body, "revision")
              << " by " << textOf(inForce, "author") << " of " << timeOf(inForce, "time_ms") << "\n"
              << "in force: " << inForce.value("content", Json()).dump() << "\n"
              << "yours:    " << body.value("yours", Json()).dump() << "\n";
}

auto printAnswerError(const ApiAnswer& answer) -> void
{
    const auto body = answer.body();
    if (!body.is_object())
        return printError("the node answered with status " + std::to_string(answer.status));
    if (answer.status == HttpStatus::conflict)
        return printConflict(body);
    const auto message = textOf(body, "message");
    printError(textOf(body, "error") + (message.empty() ? "" : ": " + message));
    for (const auto& finding : body.value("findings", Json::array()))
        std::cerr << textOf(finding, "place") << ": " << textOf(finding, "message") << "\n";
}

} // namespace

auto printTable(const std::vector<std::string>& headers, const std::vector<std::vector<std::string>>& rows) -> void
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < headers.size(); ++column) {
        auto width = headers[column].size();
        for (const auto& row : rows)
            width = std::max(width, row[column].size());
        widths.push_back(width);
    }
    printRow(headers, widths);
    for (const auto& row : rows)
        printRow(row, widths);
}

auto printError(const std::string& message) -> void
{
    std::cerr << "primrosefork: " << message << "\n";
}

auto printFindings(const std::string& file, const Findings& findings) -> void
{
    std::cerr << file << ": " << findings.size() << " findings\n"
              << formatFindings(findings);
}

auto printFailure(const ApiAnswer& answer) -> void
{
    if (answer.error)
        printError("the node did not answer: " + answer.error.message());
    else
        printAnswerError(answer);
    if (answer.exitCode() == ExitCode::Unknown)
        std::cerr << "the change may have taken effect; run the same command with --write_id=" << answer.writeId << " to get its outcome\n";
}

auto printChange(const CommandLine& line, const ApiAnswer& answer) -> ExitCode
{
    if (const auto code = printJsonOrFailure(line, answer))
        return *code;
    std::cout << "accepted: revision " << textOf(answer.body(), "revision") << " of " << textOf(answer.body(), "key") << "\n";
    return ExitCode::Success;
}

auto printJson(const ApiAnswer& answer) -> ExitCode
{
    if (answer.error) {
        Json body { { "error", "unreachable" }, { "message", answer.error.message() } };
        if (!answer.writeId.empty())
            body["write_id"] = answer.writeId;
        body["outcome"] = answer.exitCode() == ExitCode::Unknown ? "unknown" : "not accepted";
        std::cout << body.dump(2) << "\n";
    } else {
        std::cout << answer.body().dump(2) << "\n";
    }
    return answer.exitCode();
}

auto printJsonOrFailure(const CommandLine& line, const ApiAnswer& answer) -> std::optional<ExitCode>
{
    if (line.isJson)
        return printJson(answer);
    if (answer.isOk())
        return std::nullopt;
    printFailure(answer);
    return answer.exitCode();
}

auto textOf(const Json& json, const std::string& key) -> std::string
{
    if (!json.is_object() || !json.contains(key))
        return "";
    const auto& value = json[key];
    return value.is_string() ? value.get<std::string>() : value.dump();
}

auto timeOf(const Json& json, const std::string& key) -> std::string
{
    constexpr std::int64_t millisecondsPerSecond = 1000;
    if (!json.is_object() || !json.contains(key) || !json[key].is_number_integer())
        return "";
    const std::time_t seconds = json[key].get<std::int64_t>() / millisecondsPerSecond;
    std::tm parts {};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

} // namespace Primrosefork
