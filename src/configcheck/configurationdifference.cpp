#include "configurationdifference.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>
#include <utility>

namespace Primrosefork {

namespace {

/** The fields of one entry in a fixed order, with their values as text. */
using Fields = std::vector<std::pair<std::string, std::string>>;

auto textOf(double number) -> std::string
{
    constexpr int digits = 12;
    std::ostringstream text;
    text.precision(digits);
    text << number;
    return text.str();
}

auto textOf(std::chrono::milliseconds time) -> std::string
{
    return std::to_string(time.count()) + " ms";
}

auto textOf(bool flag) -> std::string
{
    return flag ? "yes" : "no";
}

auto textOf(RouteType type) -> std::string
{
    switch (type) {
    case RouteType::Idempotent:
        return "repeatable";
    case RouteType::NonIdempotent:
        return "at most once";
    case RouteType::Stream:
        return "stream";
    }
    return "";
}

auto fieldsOf(const TrafficRoute& route) -> Fields
{
    std::string shares;
    for (const auto& share : route.shares)
        shares += (shares.empty() ? "" : ", ") + share.service + " " + textOf(share.weight);
    return { { "host", route.host }, { "prefix", route.prefix }, { "type", textOf(route.type) }, { "timeout", textOf(route.timeout) }, { "objective", textOf(route.objective) },
        { "longest event gap", textOf(route.maxEventGap) }, { "priority", std::to_string(route.priority) }, { "attempts", std::to_string(route.maxAttempts) },
        { "public", textOf(route.isPublic) }, { "resumable", textOf(route.isResumable) }, { "services", shares } };
}

auto fieldsOf(const TrafficService& service) -> Fields
{
    Fields fields { { "health path", service.healthPath }, { "connections", std::to_string(service.maxConnections) } };
    if (const auto& engine = service.engine) {
        fields.insert(fields.end(), { { "slots", std::to_string(engine->slots) }, { "tokens in the KV cache", std::to_string(engine->kvCacheTokens) }, { "tokens per event", std::to_string(engine->tokensPerEvent) }, { "moves runs", textOf(engine->canMoveRuns) } });
    }
    if (const auto& scaling = service.scaling) {
        fields.insert(fields.end(), { { "smallest number of engines", std::to_string(scaling->minEngines) }, { "largest number of engines", std::to_string(scaling->maxEngines) }, { "boot time", textOf(scaling->bootTime) }, { "price of reclaimable engines", textOf(scaling->reclaimablePrice) } });
        for (const auto& [zone, price] : scaling->zonePrices)
            fields.emplace_back("price in " + zone, textOf(price));
    }
    return fields;
}

auto fieldsOf(const TrafficWorkspace& workspace) -> Fields
{
    const auto& quota = workspace.quota;
    return { { "priority", workspace.priority ? std::to_string(*workspace.priority) : "" }, { "quota per second", textOf(quota.perSecond) }, { "quota burst", textOf(quota.burst) },
        { "quota counts", quota.countsTokens ? "tokens" : "requests" }, { "tokens of a request without counts", std::to_string(quota.defaultRequestTokens) } };
}

auto fieldsOf(const CallerLimits& limits) -> Fields
{
    return { { "header bytes", std::to_string(limits.headerBytes) }, { "body bytes", std::to_string(limits.bodyBytes) }, { "header time", textOf(limits.headerTimeout) }, { "idle time", textOf(limits.idleTimeout) } };
}

using Entries = std::map<std::string, Fields>;

auto entriesOf(const TrafficConfiguration& configuration) -> Entries
{
    Entries entries;
    const auto add = [&entries](const std::string& kind, const std::string& name, Fields fields) {
        // Entries with one name are told apart by their order.
        const auto usual = kind + " " + name;
        auto place = usual;
        for (int number = 2; entries.contains(place); ++number) {
            place = usual;
            place.append(" (").append(std::to_string(number)).append(")");
        }
        entries.emplace(place, std::move(fields));
    };
    for (const auto& route : configuration.routes)
        add("route", route.name, fieldsOf(route));
    for (const auto& [name, service] : configuration.services)
        add("service", name, fieldsOf(service));
    for (const auto& workspace : configuration.workspaces)
        add("workspace", workspace.name, fieldsOf(workspace));
    entries.emplace("limits", fieldsOf(configuration.limits));
    return entries;
}

auto joined(const Fields& fields) -> std::string
{
    std::string text;
    for (const auto& [field, value] : fields) {
        if (!value.empty())
            text.append(text.empty() ? "" : "; ").append(field).append(" ").append(value);
    }
    return text;
}

auto compareFields(const std::string& place, const Fields& before, const Fields& after, std::vector<ConfigurationDifference>& differences) -> void
{
    const auto valueOf = [](const Fields& fields, const std::string& name) {
        const auto found = std::find_if(fields.begin(), fields.end(), [&name](const auto& field) { return field.first == name; });
        return found == fields.end() ? std::string() : found->second;
    };
    for (const auto& [field, value] : before) {
        if (valueOf(after, field) != value)
            differences.push_back({ place, field, value, valueOf(after, field) });
    }
    for (const auto& [field, value] : after) {
        const auto isNew = std::none_of(before.begin(), before.end(), [&name = field](const auto& entry) { return entry.first == name; });
        if (isNew)
            differences.push_back({ place, field, "", value });
    }
}

/** Adds how many credentials each workspace gains and loses. */
auto compareCredentials(const TrafficConfiguration& current, const TrafficConfiguration& next, std::vector<ConfigurationDifference>& differences) -> void
{
    const auto collect = [](const TrafficConfiguration& configuration) {
        std::map<std::string, std::set<std::string>> credentials;
        for (const auto& workspace : configuration.workspaces)
            credentials[workspace.name].insert(workspace.credentials.begin(), workspace.credentials.end());
        return credentials;
    };
    const auto before = collect(current);
    for (const auto& [name, credentials] : collect(next)) {
        const auto found = before.find(name);
        if (found == before.end())
            continue;
        const auto missingIn = [](const auto& first, const auto& second) { return std::count_if(first.begin(), first.end(), [&second](const auto& credential) { return !second.contains(credential); }); };
        const auto removed = missingIn(found->second, credentials);
        const auto added = missingIn(credentials, found->second);
        if (removed > 0 || added > 0)
            differences.push_back({ "workspace " + name, "credentials", std::to_string(removed) + " removed", std::to_string(added) + " added" });
    }
}

} // namespace

auto differencesOf(const TrafficConfiguration& current, const TrafficConfiguration& next) -> std::vector<ConfigurationDifference>
{
    std::vector<ConfigurationDifference> differences;
    if (current.version != next.version)
        differences.push_back({ "version", "", std::to_string(current.version), std::to_string(next.version) });
    const auto before = entriesOf(current);
    const auto after = entriesOf(next);
    for (const auto& [place, fields] : before) {
        const auto found = after.find(place);
        if (found == after.end())
            differences.push_back({ place, "", joined(fields), "" });
        else
            compareFields(place, fields, found->second, differences);
    }
    for (const auto& [place, fields] : after) {
        if (!before.contains(place))
            differences.push_back({ place, "", "", joined(fields) });
    }
    compareCredentials(current, next, differences);
    return differences;
}

} // namespace Primrosefork
