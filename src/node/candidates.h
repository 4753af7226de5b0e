#pragma once

#include "blackboard.h"
#include "configuration.h"

#include <set>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * Returns the backend servers that may be given new work of \a service on a
 * route of \a kind: live, not under a reclaim notice, not drained, in one of the
 * service's pools, with its model and version, and not among \a excluded. Of
 * engines it gives those of the node's subset; all of them when the subset has
 * none of these.
 */
[[nodiscard]] auto findCandidates(const Blackboard& blackboard, const ServiceRecord& service, RouteKind kind,
    const std::set<std::string>& excluded) -> std::vector<const BackendServer*>;

} // namespace Primrosefork
