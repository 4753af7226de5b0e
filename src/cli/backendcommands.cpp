#include "backendcommands.h"

#include "apiclient.h"
#include "output.h"

#include <algorithm>
#include <iostream>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

constexpr int maxAttempts = 5; ///< Limit of the attempts for each service, whose revision others may change between the read and the write.

auto joinNames(const Json& names) -> std::string
{
    std::string text;
    for (const auto& name : names)
        text += (text.empty() ? "" : ",") + name.get<std::string>();
    return text;
}

auto findServer(const Json& body, const std::string& id) -> Json
{
    for (const auto& server : body.value("backend_servers", Json::array())) {
        if (textOf(server, "id") == id)
            return server;
    }
    return {};
}

/** Returns the services in which \a server must be drained or, without \a isDrained, undrained. */
auto servicesToChange(const Json& server, bool isDrained) -> std::vector<std::string>
{
    auto used = server.value("used_by", std::vector<std::string> {});
    auto drained = server.value("drained_by", std::vector<std::string> {});
    if (!isDrained)
        return drained;
    std::vector<std::string> services;
    std::copy_if(used.begin(), used.end(), std::back_inserter(services),
        [&drained](const std::string& name) { return std::find(drained.begin(), drained.end(), name) == drained.end(); });
    return services;
}

/** Drains or undrains the backend server \a id in \a service; reads the revision again after a conflict. */
auto changeDrain(ApiClient& client, const std::string& service, const std::string& id, bool isDrained) -> ApiAnswer
{
    ApiAnswer answer;
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        answer = client.get("services/" + service);
        if (!answer.isOk())
            return answer;
        const Json body { { "base_revision", answer.body()["revision"] }, { "backend_server", id } };
        answer = client.change("POST", "services/" + service + (isDrained ? "/drain" : "/undrain"), body);
        if (answer.error || answer.status != HttpStatus::conflict)
            return answer;
    }
    return answer;
}

} // namespace

auto ListBackendsCommand::run(const CommandLine& line) const -> ExitCode
{
    ApiClient client(line);
    const auto answer = client.get("backend_servers");
    if (const auto code = printJsonOrFailure(line, answer))
        return *code;
    std::vector<std::vector<std::string>> rows;
    for (const auto& server : answer.body().value("backend_servers", Json::array())) {
        const auto state = server.value("reclaim_noticed", false) ? "reclaim noticed" : textOf(server, "state");
        rows.push_back({ textOf(server, "id"), textOf(server, "kind"), textOf(server, "zone"), textOf(server, "pool"), textOf(server, "model"),
            textOf(server, "version"), state, joinNames(server.value("drained_by", Json::array())) });
    }
    printTable({ "ID", "KIND", "ZONE", "POOL", "MODEL", "VERSION", "STATE", "DRAINED BY" }, rows);
    return ExitCode::Success;
}

auto DrainCommand::run(const CommandLine& line) const -> ExitCode
{
    if (line.arguments.size() != 1) {
        printError("expected the id of one backend server");
        return ExitCode::Usage;
    }
    const auto& id = line.arguments.front();
    ApiClient client(line);
    const auto listing = client.get("backend_servers");
    if (!listing.isOk()) {
        printFailure(listing);
        return listing.exitCode();
    }
    const auto server = findServer(listing.body(), id);
    if (server.is_null()) {
        printError("the node knows no backend server " + id);
        return ExitCode::Failed;
    }
    auto worst = ExitCode::Success;
    const auto services = line.service.empty() ? servicesToChange(server, this->isDrained) : std::vector<std::string> { line.service };
    for (const auto& service : services)
        worst = std::max(worst, printChange(line, changeDrain(client, service, id, this->isDrained)));
    if (services.empty() && !line.isJson)
        std::cout << "nothing to change\n";
    return worst;
}

} // namespace Primrosefork
