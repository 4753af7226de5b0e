#include "gatewaycheckcommand.h"

#include "apiclient.h"
#include "configurationcheck.h"
#include "configurationdifference.h"
#include "jsonfile.h"
#include "output.h"
#include "trafficdocuments.h"

#include <filesystem>
#include <iostream>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

/** What is known of the configuration in force. */
struct InForce {
    std::optional<std::uint64_t> version;
    std::optional<TrafficConfiguration> configuration; ///< Not set when only the version is known.
};

auto toJson(const Findings& findings) -> Json
{
    auto list = Json::array();
    for (const auto& finding : findings)
        list.push_back({ { "place", finding.place.empty() ? "/" : finding.place }, { "message", finding.message } });
    return list;
}

auto print(const std::string& file, const CheckResult& result, const std::vector<ConfigurationDifference>& differences, bool isJson) -> void
{
    if (!isJson) {
        auto all = result.errors;
        for (const auto& finding : result.warnings)
            all.push_back({ finding.place, "warning: " + finding.message });
        if (!all.empty())
            printFindings(file, all);
        if (result.errors.empty())
            std::cout << file << ": valid\n";
        for (const auto& difference : differences) {
            const auto place = difference.place + (difference.field.empty() ? "" : ", " + difference.field);
            std::cout << place << ": " << (difference.before.empty() ? "-" : difference.before) << " -> " << (difference.after.empty() ? "-" : difference.after) << "\n";
        }
        return;
    }
    auto changes = Json::array();
    for (const auto& difference : differences)
        changes.push_back({ { "place", difference.place }, { "field", difference.field }, { "before", difference.before }, { "after", difference.after } });
    std::cout << Json { { "file", file }, { "valid", result.errors.empty() }, { "findings", toJson(result.errors) }, { "warnings", toJson(result.warnings) }, { "differences", changes } }
                     .dump(2, ' ', false, Json::error_handler_t::replace)
              << "\n";
}

/** Reads the configuration in \a file; prints an error and sets \a exitCode when it cannot be read or is not valid. */
auto readConfiguration(const std::string& file, const CommandLine& line, ExitCode& exitCode) -> std::optional<TrafficConfiguration>
{
    const auto text = readFile(file);
    if (!text) {
        printError(file + ": cannot be read");
        exitCode = ExitCode::Failed;
        return std::nullopt;
    }
    CheckResult result;
    auto configuration = makeTrafficDocuments()->decodeConfiguration(*text, result.errors);
    if (configuration)
        return configuration;
    print(file, result, {}, line.isJson);
    exitCode = ExitCode::Findings;
    return std::nullopt;
}

/** Reads what is in force from the file or the node that \a line names; prints an error and sets \a exitCode when that fails. */
auto readInForce(const CommandLine& line, ExitCode& exitCode) -> InForce
{
    const auto address = std::filesystem::exists(line.against) ? std::nullopt : parseAddress(line.against);
    if (!address) {
        auto configuration = readConfiguration(line.against, line, exitCode);
        const auto version = configuration ? std::optional(configuration->version) : std::nullopt;
        return { version, std::move(configuration) };
    }
    ApiClient client(line);
    const auto answer = client.fetchState(*address);
    const auto state = answer.body();
    const auto traffic = state.is_object() ? state.value("traffic", Json::object()) : Json::object();
    if (!answer.isOk() || !traffic.is_object() || !traffic.contains("version") || !traffic["version"].is_number_unsigned()) {
        printError(line.against + ": " + (answer.isOk() ? "not a gateway node" : "did not answer"));
        exitCode = answer.isOk() ? ExitCode::Failed : ExitCode::Unreachable;
        return {};
    }
    return { traffic["version"].get<std::uint64_t>(), std::nullopt };
}

} // namespace

auto GatewayCheckCommand::run(const CommandLine& line) const -> ExitCode
{
    if (line.arguments.size() != 1) {
        printError("expected one file");
        return ExitCode::Usage;
    }
    const auto& file = line.arguments.front();
    auto exitCode = ExitCode::Success;
    const auto next = readConfiguration(file, line, exitCode);
    if (!next)
        return exitCode;
    auto result = checkConfiguration(*next);
    std::vector<ConfigurationDifference> differences;
    if (!line.against.empty()) {
        const auto inForce = readInForce(line, exitCode);
        if (exitCode != ExitCode::Success)
            return exitCode;
        if (inForce.configuration)
            differences = differencesOf(*inForce.configuration, *next);
        else if (*inForce.version != next->version)
            differences.push_back({ "version", "", std::to_string(*inForce.version), std::to_string(next->version) });
        // Nodes ignore a document whose version is lower than the one in force.
        if (next->version < *inForce.version)
            result.errors.push_back({ "version", "nodes ignore it: " + std::to_string(*inForce.version) + " is in force" });
        else if (next->version == *inForce.version && !differences.empty())
            result.warnings.push_back({ "version", "it is that of the configuration in force, which differs" });
    }
    print(file, result, differences, line.isJson);
    return result.errors.empty() ? ExitCode::Success : ExitCode::Findings;
}

} // namespace Primrosefork
