#pragma once

#include "blackboard.h"
#include "candidatelist.h"

#include <map>
#include <sigc++/trackable.h>
#include <string>

namespace Primrosefork {

/**
 * Caches the indexed results of findCandidates() and clears them when a section
 * of the blackboard that they depend on changes. Services with the same pools,
 * model and drained servers share one list.
 */
class CandidateCache : public sigc::trackable {
public:
    explicit CandidateCache(Blackboard&);

    /**
     * Returns the candidates for \a service on a route of \a kind, without
     * exclusions, by the record of the service in the current configuration.
     * The reference is valid until the event loop runs again.
     */
    auto find(const ServiceRecord& service, RouteKind kind) -> const CandidateList&;

private:
    auto clear() -> void { this->lists.clear(); }

    const Blackboard& blackboard;
    std::map<std::string, CandidateList> lists; ///< Cached lists, by route kind, model, pools and drained servers.
};

} // namespace Primrosefork
