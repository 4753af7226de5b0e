#include "configurationcheck.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

auto textOf(std::chrono::milliseconds time) -> std::string
{
    return std::to_string(time.count()) + " ms";
}

/** Adds what makes that no request matches \a route by itself. */
auto checkMatch(const TrafficRoute& route, const std::string& place, CheckResult& result) -> void
{
    if (!route.prefix.starts_with('/') || !route.prefix.ends_with('/'))
        result.warnings.push_back({ place, "never matches: the prefix \"" + route.prefix + "\" does not begin and end with '/'" });
    const auto isLowerCase = std::none_of(route.host.begin(), route.host.end(), [](char character) { return character >= 'A' && character <= 'Z'; });
    if (!isLowerCase || route.host.find(':') != std::string::npos)
        result.warnings.push_back({ place, "never matches: hosts are compared in lower case and without a port, and this one is \"" + route.host + "\"" });
}

auto checkTimes(const TrafficRoute& route, const std::string& place, CheckResult& result) -> void
{
    if (route.timeout <= 0ms)
        return;
    if (route.objective > route.timeout)
        result.errors.push_back({ place, "the objective of " + textOf(route.objective) + " is above the timeout of " + textOf(route.timeout) });
    if (route.maxEventGap > route.timeout)
        result.errors.push_back({ place, "the longest event gap of " + textOf(route.maxEventGap) + " is above the timeout of " + textOf(route.timeout) });
}

auto checkShares(const TrafficRoute& route, const std::string& place, const TrafficConfiguration& configuration, CheckResult& result) -> void
{
    const auto hasWeight = std::any_of(route.shares.begin(), route.shares.end(), [](const RouteShare& share) { return share.weight > 0; });
    std::set<std::string> seen;
    for (const auto& share : route.shares) {
        if (!configuration.services.contains(share.service))
            result.errors.push_back({ place, "the service \"" + share.service + "\" is not configured: its requests are refused" });
        if (share.weight <= 0 && hasWeight)
            result.warnings.push_back({ place, "the service \"" + share.service + "\" has the weight 0 and gets no requests" });
        if (!seen.insert(share.service).second)
            result.warnings.push_back({ place, "the service \"" + share.service + "\" is named more than once: its weights add up" });
    }
    // serviceFor() then chooses the last service, which is hardly what was meant.
    if (!hasWeight && route.shares.size() > 1)
        result.errors.push_back({ place, "all weights are 0" });
}

auto checkRoutes(const TrafficConfiguration& configuration, CheckResult& result) -> void
{
    std::map<std::pair<std::string, std::string>, std::string> lastRoutes;
    for (const auto& route : configuration.routes)
        lastRoutes[{ route.host, route.prefix }] = route.name;
    std::map<std::pair<std::string, std::string>, std::size_t> left;
    for (const auto& route : configuration.routes)
        ++left[{ route.host, route.prefix }];
    std::set<std::string> names;
    for (const auto& route : configuration.routes) {
        const auto place = "route " + route.name;
        checkMatch(route, place, result);
        // Of several routes with one host and prefix the last one is in force.
        if (--left[{ route.host, route.prefix }] > 0)
            result.warnings.push_back({ place, "never matches: the later route \"" + lastRoutes[{ route.host, route.prefix }] + "\" has the same host and prefix" });
        if (!names.insert(route.name).second)
            result.warnings.push_back({ place, "several routes have this name and share their metrics" });
        checkTimes(route, place, result);
        checkShares(route, place, configuration, result);
        if (route.isResumable && route.type != RouteType::Stream)
            result.warnings.push_back({ place, "only streams can be resumed: the field has no effect" });
    }
}

auto checkScaling(const ScalingSettings& scaling, const std::string& place, CheckResult& result) -> void
{
    if (scaling.minEngines > scaling.maxEngines)
        result.errors.push_back({ place, "the smallest number of engines in a zone, " + std::to_string(scaling.minEngines) + ", is above the largest, " + std::to_string(scaling.maxEngines) });
    else if (scaling.maxEngines == 0)
        result.warnings.push_back({ place, "no engine is ever ordered: the largest number in a zone is 0" });
    if (scaling.zonePrices.empty())
        result.warnings.push_back({ place, "no engine is ever ordered: no zone has a price" });
}

auto checkServices(const TrafficConfiguration& configuration, CheckResult& result) -> void
{
    std::set<std::string> named;
    for (const auto& route : configuration.routes) {
        for (const auto& share : route.shares)
            named.insert(share.service);
    }
    for (const auto& [name, service] : configuration.services) {
        const auto place = "service " + name;
        if (!named.contains(name))
            result.warnings.push_back({ place, "no route names it" });
        if (service.scaling)
            checkScaling(*service.scaling, place, result);
    }
}

auto checkQuota(const WorkspaceQuota& quota, const std::string& place, CheckResult& result) -> void
{
    const auto request = quota.countsTokens ? static_cast<double>(quota.defaultRequestTokens) : 1;
    if (quota.perSecond > 0 && quota.burst < request)
        result.errors.push_back({ place, "the burst of the quota is below one request, which is charged " + std::to_string(static_cast<std::int64_t>(request)) + (quota.countsTokens ? " tokens" : "") });
    if (quota.perSecond <= 0 && quota.burst > 0)
        result.warnings.push_back({ place, "the burst has no effect without a rate, which is no limit" });
}

auto checkWorkspaces(const TrafficConfiguration& configuration, CheckResult& result) -> void
{
    std::map<std::string, std::string> owners;
    std::set<std::string> names;
    for (const auto& workspace : configuration.workspaces) {
        const auto place = "workspace " + workspace.name;
        if (!names.insert(workspace.name).second)
            result.errors.push_back({ place, "several workspaces have this name" });
        if (workspace.credentials.empty())
            result.warnings.push_back({ place, "it has no credential, so that no request belongs to it" });
        // The credential itself is not printed.
        for (const auto& credential : workspace.credentials) {
            const auto [owner, isNew] = owners.emplace(credential, workspace.name);
            if (!isNew && owner->second != workspace.name)
                result.errors.push_back({ place, "it has a credential of the workspace \"" + owner->second + "\"" });
        }
        checkQuota(workspace.quota, place, result);
    }
    const auto isPublic = std::all_of(configuration.routes.begin(), configuration.routes.end(), [](const TrafficRoute& route) { return route.isPublic; });
    if (!configuration.workspaces.empty() && !configuration.routes.empty() && isPublic)
        result.warnings.push_back({ "", "all routes are public, so that no request belongs to a workspace and no quota applies" });
}

auto checkLimits(const CallerLimits& limits, CheckResult& result) -> void
{
    if (limits.headerTimeout > limits.idleTimeout)
        result.errors.push_back({ "limits", "the time for a header, " + textOf(limits.headerTimeout) + ", is above the time for which a connection may be idle, " + textOf(limits.idleTimeout) });
    if (limits.bodyBytes == 0)
        result.warnings.push_back({ "limits", "every request with a body is refused: the largest body has 0 bytes" });
}

} // namespace

auto checkConfiguration(const TrafficConfiguration& configuration) -> CheckResult
{
    CheckResult result;
    checkRoutes(configuration, result);
    checkServices(configuration, result);
    checkWorkspaces(configuration, result);
    checkLimits(configuration.limits, result);
    return result;
}

} // namespace Primrosefork
