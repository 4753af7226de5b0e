#pragma once

#include "blackboard.h"
#include "configuration.h"

#include <set>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * Returns the backend servers that may receive new requests of \a service on a
 * route of \a kind: those that are live, not under a reclaim notice, not drained,
 * in one of the service's pools, with its model and version, and not among
 * \a excluded. Engines are limited to the node's subset, unless the subset
 * contains none of the matching ones.
 */
[[nodiscard]] auto findCandidates(const Blackboard& blackboard, const ServiceRecord& service, RouteKind kind,
    const std::set<std::string>& excluded) -> std::vector<const BackendServer*>;

} // namespace Primrosefork
