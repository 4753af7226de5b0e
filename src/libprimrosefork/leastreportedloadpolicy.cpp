#include "leastreportedloadpolicy.h"

namespace Primrosefork {

auto LeastReportedLoadPolicy::choose(const RoutingRequest& /*request*/, std::span<const BackendServer* const> candidates, TimePoint /*now*/)
    -> const BackendServer*
{
    const BackendServer* best = nullptr;
    std::int64_t least = 0;
    ++this->searchOffset;
    for (std::size_t step = 0; step < candidates.size(); ++step) {
        const auto* server = candidates[(this->searchOffset + step) % candidates.size()];
        const auto found = this->reports.find(server->id);
        const auto load = found == this->reports.end() ? 0 : found->second.running + found->second.waiting;
        if (!best || load < least) {
            best = server;
            least = load;
        }
    }
    return best;
}

auto LeastReportedLoadPolicy::loadReported(const LoadReports& reports, TimePoint /*now*/) -> void
{
    this->reports = reports;
}

} // namespace Primrosefork
