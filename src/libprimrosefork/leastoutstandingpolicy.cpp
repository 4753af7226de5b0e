#include "leastoutstandingpolicy.h"

namespace Primrosefork {

auto LeastOutstandingPolicy::choose(const RoutingRequest& /*request*/, std::span<const BackendServer* const> candidates, TimePoint /*now*/)
    -> const BackendServer*
{
    const BackendServer* best = nullptr;
    std::int64_t fewest = 0;
    ++this->searchOffset;
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const auto* server = candidates[(this->searchOffset + step) % candidates.size()];
        const auto found = this->outstanding.find(server->id);
        const auto open = found == this->outstanding.end() ? 0 : found->second;
        if (!best || open < fewest) {
            best = server;
            fewest = open;
        }
    }
    return best;
}

auto LeastOutstandingPolicy::requestSent(const RoutingRequest& /*request*/, const BackendServer& server, TimePoint /*now*/) -> void
{
    ++this->outstanding[server.id];
}

auto LeastOutstandingPolicy::requestEnded(const RoutingRequest& /*request*/, const BackendServer& server, AttemptEnd /*end*/, TimePoint /*now*/) -> void
{
    const auto found = this->outstanding.find(server.id);
    if (found != this->outstanding.end() && --found->second <= 0)
        this->outstanding.erase(found);
}

} // namespace Primrosefork
