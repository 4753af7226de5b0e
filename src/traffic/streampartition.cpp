#include "streampartition.h"

#include "hash.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace Primrosefork {

namespace {

constexpr double longStreamTokens = 0.1; ///< Of the answer for each of the prompt; an engine reads some hundred prompt tokens in the time of one step.
constexpr double targetUse = 0.5; ///< Of the slots of an engine that serves streams.
constexpr double smoothing = 0.1; ///< Weight of the newest report; reports come twice a second.
constexpr double hysteresis = 0.25; ///< Engines by which the need has to lie beyond the present number.
constexpr std::int64_t leastEngines = 4; ///< Of a service, below which they all serve everything.

} // namespace

auto isLongStream(const RoutingRequest& request) -> bool
{
    return request.promptTokens > 0 && static_cast<double>(request.expectedTokens) >= longStreamTokens * static_cast<double>(request.promptTokens);
}

auto StreamPartition::update(std::int64_t openStreams, std::int64_t slots, std::int64_t engines) -> std::int64_t
{
    const auto needed = static_cast<double>(openStreams) / (targetUse * static_cast<double>(std::max<std::int64_t>(1, slots)));
    this->smoothed += smoothing * (needed - this->smoothed);
    const auto current = static_cast<double>(this->count);
    if (this->smoothed > current + hysteresis || this->smoothed < current - 1 - hysteresis)
        this->count = static_cast<std::int64_t>(std::ceil(this->smoothed));
    return engines < leastEngines ? 0 : std::min(this->count, engines / 2);
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
