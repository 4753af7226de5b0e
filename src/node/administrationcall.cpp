#include "administrationcall.h"

#include "configurationchanges.h"
#include "hash.h"
#include "jsonreader.h"

#include <algorithm>
#include <array>
#include <limits>
#include <sstream>
#include <utility>

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

constexpr std::size_t writeIdBytes = 16;
constexpr std::int64_t maxRevision = std::numeric_limits<std::int64_t>::max();

auto splitPath(std::string_view path) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::istringstream text { std::string(path) };
    for (std::string part; std::getline(text, part, '/');)
        parts.push_back(part);
    return parts;
}

auto isKind(const std::string& name) -> bool
{
    return name == "workspaces" || name == "templates" || name == "services";
}

auto readRevision(JsonReader& reader, const std::string& key) -> Revision
{
    std::int64_t revision = 0;
    reader.integer(key, revision, 0, maxRevision);
    return static_cast<Revision>(revision);
}

auto readCreate(JsonReader& reader, const RecordPath& /*path*/) -> ChangeCall
{
    ServiceKey service;
    std::string templateName;
    Json content;
    reader.string("workspace", service.first);
    reader.string("name", service.second);
    reader.string("template", templateName);
    reader.rawValue("content", content);
    return { std::make_shared<CreateService>(service, templateName, content), 0, "", false };
}

auto readPut(JsonReader& reader, const RecordPath& path) -> ChangeCall
{
    Json content;
    const auto base = readRevision(reader, "base_revision");
    reader.rawValue("content", content);
    if (path.kind == "services")
        return { std::make_shared<ChangeParameters>(path.service, content), base, "", false };
    if (path.kind == "templates")
        return { std::make_shared<PutTemplate>(path.name, content), base, "", false };
    return { std::make_shared<PutWorkspace>(path.name, content), base, "", false };
}

auto readRollForward(JsonReader& reader, const RecordPath& path) -> ChangeCall
{
    const auto base = readRevision(reader, "base_revision");
    const auto earlier = readRevision(reader, "to_revision");
    return { std::make_shared<RollForward>(path.key, earlier), base, "", false };
}

auto readDrain(JsonReader& reader, const RecordPath& path) -> ChangeCall
{
    std::string backendServer;
    const auto base = readRevision(reader, "base_revision");
    reader.string("backend_server", backendServer);
    return { std::make_shared<DrainBackend>(path.service, backendServer, path.action == "drain"), base, "", false };
}

auto readDelete(JsonReader& reader, const RecordPath& path) -> ChangeCall
{
    return { std::make_shared<DeleteRecord>(path.key), readRevision(reader, "base_revision"), "", false };
}

/** Maps the method and the path of a request to the function that reads its change. */
struct ChangeRoute {
    std::string_view method;
    bool isCollection; ///< Whether the path names all records of a kind.
    bool isServiceOnly; ///< Whether only services support the change.
    std::string_view action;
    ChangeCall (*read)(JsonReader&, const RecordPath&);
};

constexpr std::array changeRoutes {
    ChangeRoute { "POST", true, true, "", readCreate },
    ChangeRoute { "PUT", false, false, "", readPut },
    ChangeRoute { "DELETE", false, false, "", readDelete },
    ChangeRoute { "POST", false, false, "roll-forward", readRollForward },
    ChangeRoute { "POST", false, true, "drain", readDrain },
    ChangeRoute { "POST", false, true, "undrain", readDrain },
};

auto findRoute(const HttpRequest& request, const RecordPath& path) -> const ChangeRoute*
{
    const auto* found = std::find_if(changeRoutes.begin(), changeRoutes.end(), [&](const ChangeRoute& route) {
        return route.method == request.method && route.action == path.action && route.isCollection == path.isCollection()
            && (!route.isServiceOnly || path.kind == "services");
    });
    return found == changeRoutes.end() ? nullptr : found;
}

/** Returns the JSON body of \a request. A DELETE has no body; its base revision is taken from the query. */
auto bodyOf(const HttpRequest& request) -> Json
{
    if (request.method != "DELETE")
        return Json::parse(request.body, nullptr, false);
    const auto base = request.queryValue("base_revision");
    return base ? Json { { "base_revision", Json::parse(*base, nullptr, false) } } : Json::object();
}

auto readWriteId(const HttpRequest& request, ChangeCall& call, Findings& findings) -> void
{
    const auto given = request.headers.get("Write-Id");
    call.writeId = given.value_or(randomHex(writeIdBytes));
    call.isRepeated = given && request.headers.get("Write-Attempt") != "1";
    if (!isValidName(call.writeId))
        findings.push_back({ "Write-Id", "expected 1 to 64 letters, digits, '-', '_' and '.'" });
}

} // namespace

auto parseRecordPath(std::string_view path) -> std::optional<RecordPath>
{
    const auto parts = splitPath(path);
    if (parts.empty() || !isKind(parts[0]))
        return std::nullopt;
    RecordPath result;
    result.kind = parts[0];
    if (parts.size() == 1)
        return result;
    const auto isService = result.kind == "services";
    const std::size_t recordParts = isService ? 3 : 2;
    if (parts.size() != recordParts && parts.size() != recordParts + 1)
        return std::nullopt;
    result.name = isService ? parts[1] + "/" + parts[2] : parts[1];
    result.key = std::string(ConfigurationKeys::prefix) + result.kind + "/" + result.name;
    if (isService)
        result.service = { parts[1], parts[2] };
    if (parts.size() > recordParts)
        result.action = parts[recordParts];
    return result;
}

auto parseChangeCall(const HttpRequest& request, const RecordPath& path, ChangeCallError& error) -> ChangeCall
{
    const auto* route = findRoute(request, path);
    if (!route) {
        error = { HttpStatus::methodNotAllowed, "method_not_allowed", {} };
        return {};
    }
    const auto body = bodyOf(request);
    if (!body.is_object()) {
        error = { HttpStatus::badRequest, "bad_body", { { "", "not a JSON object" } } };
        return {};
    }
    JsonReader reader(body, "", error.findings);
    auto call = route->read(reader, path);
    reader.finish();
    readWriteId(request, call, error.findings);
    if (!error.findings.empty()) {
        error.status = HttpStatus::unprocessable;
        error.code = "invalid";
    }
    return call;
}

} // namespace Primrosefork
