#include "roundrobinpolicy.h"

namespace Primrosefork {

auto RoundRobinPolicy::choose(const RoutingRequest& /*request*/, std::span<const BackendServer* const> candidates, TimePoint /*now*/)
    -> const BackendServer*
{
    if (candidates.empty())
        return nullptr;
    return candidates[this->next++ % candidates.size()];
}

} // namespace Primrosefork
