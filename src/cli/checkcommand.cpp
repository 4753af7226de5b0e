#include "checkcommand.h"

#include "jsonfile.h"
#include "nodesettings.h"
#include "output.h"
#include "servicetemplate.h"

#include <iostream>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

/** Name given to the parsed template or workspace, because the file does not contain its name. */
constexpr auto placeholderName = "checked";

auto toJson(const std::string& file, const Findings& findings) -> Json
{
    auto list = Json::array();
    for (const auto& finding : findings)
        list.push_back({ { "place", finding.place.empty() ? "/" : finding.place }, { "message", finding.message } });
    return { { "file", file }, { "valid", findings.empty() }, { "findings", list } };
}

/** Adds what is wrong with the parameters and their template to \a findings; returns false on wrong usage. */
auto checkParameters(const CommandLine& line, const Json& json, Findings& findings) -> bool
{
    if (line.templateFile.empty()) {
        printError("--template_file is needed: the template against which the parameters are checked");
        return false;
    }
    const auto content = readJsonFile(line.templateFile);
    if (!content) {
        findings.push_back({ "", "the template cannot be read" });
        return true;
    }
    Findings templateFindings;
    const auto serviceTemplate = parseServiceTemplate(*content, placeholderName, templateFindings);
    for (const auto& finding : templateFindings)
        findings.push_back({ "template:" + finding.place, finding.message });
    static_cast<void>(parseServiceParameters(json, serviceTemplate, findings));
    return true;
}

/** Adds what is wrong with the file to \a findings; returns false on wrong usage. */
auto check(const std::string& kind, const CommandLine& line, const std::string& text, Findings& findings) -> bool
{
    if (kind == "settings") {
        static_cast<void>(parseNodeSettings(text, findings));
        return true;
    }
    const auto json = Json::parse(text, nullptr, false);
    if (!json.is_object()) {
        findings.push_back({ "", json.is_discarded() ? "not valid JSON" : "expected an object" });
        return true;
    }
    if (kind == "parameters")
        return checkParameters(line, json, findings);
    if (kind == "template")
        static_cast<void>(parseServiceTemplate(json, placeholderName, findings));
    else
        static_cast<void>(parseWorkspace(json, placeholderName, findings));
    return true;
}

} // namespace

auto CheckCommand::run(const CommandLine& line) const -> ExitCode
{
    if (line.arguments.size() != 1) {
        printError("expected one file");
        return ExitCode::Usage;
    }
    const auto& file = line.arguments.front();
    const auto text = readFile(file);
    if (!text) {
        printError(file + ": cannot be read");
        return ExitCode::Failed;
    }
    Findings findings;
    if (!check(this->kind, line, *text, findings))
        return ExitCode::Usage;
    if (line.isJson)
        std::cout << toJson(file, findings).dump(2) << "\n";
    else if (findings.empty())
        std::cout << file << ": valid\n";
    else
        printFindings(file, findings);
    return findings.empty() ? ExitCode::Success : ExitCode::Findings;
}

} // namespace Primrosefork
