#include "servicetemplate.h"

#include "jsonreader.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t maxNameLength = 64;
constexpr std::int64_t maxPriority = 9;
constexpr std::int64_t maxTokens = 1'000'000;
constexpr std::int64_t maxSpend = 1'000'000'000'000;
constexpr std::int64_t maxWeight = 1000;

auto readKind(JsonReader& reader, Route& route) -> void
{
    std::string kind = "model";
    reader.string("kind", kind);
    if (kind != "model" && kind != "plain")
        reader.report("kind", "expected one of model plain");
    route.kind = kind == "plain" ? RouteKind::Plain : RouteKind::Model;
}

auto readWorkClass(JsonReader& reader, Route& route) -> void
{
    std::string work = "short";
    reader.optionalString("work", work);
    if (work != "short" && work != "long")
        reader.report("work", "expected one of short long");
    route.workClass = work == "long" ? WorkClass::Long : WorkClass::Short;
}

auto readRoute(JsonReader& reader, Route& route) -> void
{
    reader.string("path", route.path);
    readKind(reader, route);
    readWorkClass(reader, route);
    if (!reader.has("idempotent"))
        reader.report("idempotent", "missing");
    reader.boolean("idempotent", route.isIdempotent);
    if (route.kind == RouteKind::Model && !route.isIdempotent)
        reader.report("idempotent", "a model route must be idempotent");
    reader.optionalInteger("expected_tokens", route.expectedTokens, 1, maxTokens);
    reader.duration("deadline", route.deadline, 1ms, 24h);
}

auto hasModelRoute(const ServiceTemplate& serviceTemplate) -> bool
{
    return std::any_of(serviceTemplate.routes.begin(), serviceTemplate.routes.end(),
        [](const Route& route) { return route.kind == RouteKind::Model; });
}

} // namespace

auto ServiceTemplate::route(std::string_view path) const -> const Route*
{
    const auto found = std::find_if(this->routes.begin(), this->routes.end(),
        [path](const Route& route) { return route.path == path; });
    return found == this->routes.end() ? nullptr : &*found;
}

auto parseServiceTemplate(const nlohmann::json& json, const std::string& name, Findings& findings) -> ServiceTemplate
{
    ServiceTemplate result { name, {} };
    if (!isValidName(name))
        findings.push_back({ "", "the name of the template is not valid" });
    JsonReader reader(json, "", findings);
    reader.objects("routes", [&result](JsonReader& entry) {
        Route route;
        readRoute(entry, route);
        if (result.route(route.path))
            entry.report("path", "another route has the same path");
        result.routes.push_back(std::move(route));
    });
    if (result.routes.empty())
        reader.report("routes", "at least one route is needed");
    reader.finish();
    return result;
}

auto parseServiceParameters(const nlohmann::json& json, const ServiceTemplate& serviceTemplate, Findings& findings) -> ServiceParameters
{
    ServiceParameters parameters;
    JsonReader reader(json, "", findings);
    reader.objects("models", [&parameters](JsonReader& entry) {
        ModelVersion model;
        entry.string("model", model.model);
        entry.string("version", model.version);
        parameters.models.push_back(std::move(model));
    });
    if (hasModelRoute(serviceTemplate) && parameters.models.empty())
        reader.report("models", "the template has model routes: at least one model is needed");
    reader.strings("backend_pools", parameters.backendPools);
    if (parameters.backendPools.empty())
        reader.report("backend_pools", "at least one pool is needed");
    reader.optionalInteger("priority", parameters.priority, 0, maxPriority);
    reader.optionalInteger("spend_per_hour", parameters.spendPerHour, 0, maxSpend);
    reader.optionalInteger("weight", parameters.weight, 1, maxWeight);
    reader.optionalInteger("tokens_per_second", parameters.tokensPerSecond, 0, maxTokens);
    reader.strings("drained_backends", parameters.drainedBackends);
    reader.finish();
    return parameters;
}

auto parseWorkspace(const nlohmann::json& json, const std::string& name, Findings& findings) -> Workspace
{
    constexpr std::size_t sha256HexDigits = 64;
    Workspace workspace { name, {}, 1 };
    if (!isValidName(name))
        findings.push_back({ "", "the name of the workspace is not valid" });
    JsonReader reader(json, "", findings);
    reader.string("key_sha256", workspace.keyHash);
    if (workspace.keyHash.size() != sha256HexDigits)
        reader.report("key_sha256", "expected 64 lower-case hexadecimal digits");
    reader.optionalInteger("weight", workspace.weight, 1, maxWeight);
    reader.finish();
    return workspace;
}

auto isValidName(std::string_view name) -> bool
{
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !name.empty() && name.size() <= maxNameLength && name.find_first_not_of(allowed) == std::string_view::npos;
}

} // namespace Primrosefork
