#pragma once

#include "blackboard.h"
#include "candidatelist.h"

#include <map>
#include <sigc++/trackable.h>
#include <string>

namespace Primrosefork {

/**
 * Keeps what findCandidates() gives, indexed, until the blackboard changes what
 * it looks at. Services that ask for the same servers share one list.
 */
class CandidateCache : public sigc::trackable {
public:
    explicit CandidateCache(Blackboard&);

    /**
     * Returns the candidates for \a service with none excluded, by its record
     * that is in force now. Valid until the loop runs again.
     */
    auto find(const ServiceRecord& service, RouteKind kind) -> const CandidateList&;

private:
    auto clear() -> void { this->lists.clear(); }

    const Blackboard& blackboard;
    std::map<std::string, CandidateList> lists; ///< By all that the services ask for.
};

} // namespace Primrosefork
