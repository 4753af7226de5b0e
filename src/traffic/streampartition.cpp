#include "streampartition.h"

#include "hash.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace Primrosefork {

namespace {

constexpr double longStreamRatio = 0.1; ///< Answer tokens per prompt token from which a stream is long; an engine prefills some hundred prompt tokens in the time of one decode step.
constexpr double targetSlotUtilization = 0.5; ///< Planned part of the slots of an engine that is reserved for long streams.
constexpr double smoothing = 0.1; ///< Weight of the newest report in the moving average; reports arrive twice a second.
constexpr double hysteresis = 0.25; ///< Engines by which the moving average has to leave the range of the present number before that changes.
constexpr std::int64_t minPartitionedEngines = 4; ///< Engines of a service below which none is reserved and all serve every request.

} // namespace

auto isLongStream(const RoutingRequest& request) -> bool
{
    return request.promptTokens > 0 && static_cast<double>(request.expectedTokens) >= longStreamRatio * static_cast<double>(request.promptTokens);
}

auto StreamPartition::update(std::int64_t openStreams, std::int64_t slots, std::int64_t engines) -> std::int64_t
{
    const auto needed = static_cast<double>(openStreams) / (targetSlotUtilization * static_cast<double>(std::max<std::int64_t>(1, slots)));
    this->smoothed += smoothing * (needed - this->smoothed);
    const auto current = static_cast<double>(this->count);
    if (this->smoothed > current + hysteresis || this->smoothed < current - 1 - hysteresis)
        this->count = static_cast<std::int64_t>(std::ceil(this->smoothed));
    return engines < minPartitionedEngines ? 0 : std::min(this->count, engines / 2);
}

auto streamEnginesAmong(std::span<const BackendServer* const> servers, std::int64_t count) -> std::set<std::string>
{
    std::vector<std::pair<std::uint64_t, const BackendServer*>> ranked;
    for (const auto* server : servers) {
        if (server->kind == BackendKind::Engine)
            ranked.emplace_back(hash64(server->id + "/streams"), server);
    }
    std::sort(ranked.begin(), ranked.end());
    std::set<std::string> chosen;
    for (const auto& [rank, server] : ranked) {
        if (static_cast<std::int64_t>(chosen.size()) >= count)
            break;
        chosen.insert(server->id);
    }
    return chosen;
}

} // namespace Primrosefork
