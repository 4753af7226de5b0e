#include "candidates.h"

#include <algorithm>

namespace Primrosefork {

namespace {

auto contains(const std::vector<std::string>& names, const std::string& name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto serves(const BackendServer& server, const ServiceRecord& service, RouteKind kind) -> bool
{
    if (!contains(service.parameters.backendPools, server.pool))
        return false;
    if (kind == RouteKind::Plain)
        return server.kind == BackendKind::Plain;
    const auto& wanted = service.parameters.models.front();
    return server.kind == BackendKind::Engine && server.model == wanted.model && server.version == wanted.version;
}

} // namespace

auto findCandidates(const Blackboard& blackboard, const ServiceRecord& service, RouteKind kind,
    const std::set<std::string>& excluded) -> std::vector<const BackendServer*>
{
    std::vector<const BackendServer*> candidates;
    const auto& notices = blackboard.reclaimNotices.value();
    for (const auto& [id, server] : blackboard.backendServers.value()) {
        if (server.state != InstanceState::Live || notices.contains(id) || excluded.contains(id))
            continue;
        if (serves(server, service, kind) && !contains(service.parameters.drainedBackends, id))
            candidates.push_back(&server);
    }
    return candidates;
}

} // namespace Primrosefork
