#include "routetable.h"

#include <numeric>
#include <utility>

namespace Primrosefork {

RouteTable::RouteTable(TrafficConfiguration configuration)
    : source(std::move(configuration))
{
    for (const auto& route : this->source.routes)
        this->routesByHost[route.host][route.prefix] = &route;
    for (const auto& workspace : this->source.workspaces) {
        this->byName[workspace.name] = &workspace;
        for (const auto& credential : workspace.credentials)
            this->byCredential[credential] = &workspace;
    }
}

auto RouteTable::route(std::string_view host, std::string_view path) const -> const TrafficRoute*
{
    const auto routes = this->routesByHost.find(host);
    if (routes == this->routesByHost.end())
        return nullptr;
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end())
            return found->second;
        if (end == 0)
            break;
    }
    return nullptr;
}

auto RouteTable::workspaceOf(std::string_view credential) const -> const TrafficWorkspace*
{
    const auto found = this->byCredential.find(credential);
    return found == this->byCredential.end() ? nullptr : found->second;
}

auto RouteTable::workspace(std::string_view name) const -> const TrafficWorkspace*
{
    const auto found = this->byName.find(name);
    return found == this->byName.end() ? nullptr : found->second;
}

auto RouteTable::service(const std::string& name) const -> const TrafficService*
{
    const auto found = this->source.services.find(name);
    return found == this->source.services.end() ? nullptr : &found->second;
}

auto serviceFor(const TrafficRoute& route, double point) -> const std::string&
{
    const auto total = std::accumulate(route.shares.begin(), route.shares.end(), 0.0, [](double sum, const RouteShare& share) { return sum + share.weight; });
    auto rest = point * total;
    for (const auto& share : route.shares) {
        rest -= share.weight;
        if (rest < 0)
            return share.service;
    }
    return route.shares.back().service;
}

} // namespace Primrosefork
