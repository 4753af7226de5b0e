#include "routingpolicy.h"

#include "leastcostpolicy.h"
#include "leastoutstandingpolicy.h"
#include "leastreportedloadpolicy.h"
#include "roundrobinpolicy.h"

namespace Primrosefork {

auto RoutingPolicy::choose(const RoutingRequest& request, const CandidateList& candidates, TimePoint now) -> const BackendServer*
{
    if (!request.excluded || request.excluded->empty())
        return this->choose(request, candidates.servers(), now);
    std::vector<const BackendServer*> rest;
    for (const auto* server : candidates.servers()) {
        if (!request.excluded->contains(server->id))
            rest.push_back(server);
    }
    return this->choose(request, rest, now);
}

auto makeRoutingPolicy(std::string_view name, std::uint64_t seed) -> std::unique_ptr<RoutingPolicy>
{
    if (name == "round-robin")
        return std::make_unique<RoundRobinPolicy>();
    if (name == "product")
        return std::make_unique<LeastCostPolicy>(seed);
    if (name == "least-outstanding")
        return std::make_unique<LeastOutstandingPolicy>();
    if (name == "least-reported-load")
        return std::make_unique<LeastReportedLoadPolicy>();
    return nullptr;
}

} // namespace Primrosefork
