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
    const auto& required = service.parameters.models.front();
    return server.kind == BackendKind::Engine && server.model == required.model && server.version == required.version;
}

auto isLeaving(const Blackboard& blackboard, const BackendServer& server) -> bool
{
    return server.state != InstanceState::Live || blackboard.reclaimNotices.value().contains(server.id)
        || blackboard.peerNotices.value().contains(server.id);
}

} // namespace

auto findCandidates(const Blackboard& blackboard, const ServiceRecord& service, RouteKind kind,
    const std::set<std::string>& excluded) -> std::vector<const BackendServer*>
{
    std::vector<const BackendServer*> inSubset;
    std::vector<const BackendServer*> all;
    const auto& subset = blackboard.backendSubset.value();
    for (const auto& [id, server] : blackboard.backendServers.value()) {
        if (isLeaving(blackboard, server) || excluded.contains(id) || contains(service.parameters.drainedBackends, id))
            continue;
        if (!serves(server, service, kind))
            continue;
        all.push_back(&server);
        if (subset.contains(id))
            inSubset.push_back(&server);
    }
    return inSubset.empty() ? all : inSubset;
}

} // namespace Primrosefork
