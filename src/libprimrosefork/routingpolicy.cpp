#include "routingpolicy.h"

#include "leastoutstandingpolicy.h"
#include "leastreportedloadpolicy.h"
#include "roundrobinpolicy.h"

namespace Primrosefork {

auto makeRoutingPolicy(std::string_view name) -> std::unique_ptr<RoutingPolicy>
{
    if (name == "round-robin")
        return std::make_unique<RoundRobinPolicy>();
    if (name == "least-outstanding" || name == "product")
        return std::make_unique<LeastOutstandingPolicy>();
    if (name == "least-reported-load")
        return std::make_unique<LeastReportedLoadPolicy>();
    return nullptr;
}

} // namespace Primrosefork
