#include "refusaldelay.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds defaultDelay = 300ms; ///< Used while the rate of the service is not known.
constexpr std::chrono::milliseconds minSpread = 100ms; ///< Shortest range over which refused callers return.
constexpr std::chrono::milliseconds maxSpread = 1s; ///< Longest such range.
constexpr std::int64_t honouredPart = 3; ///< Callers honour a delay up to their remaining time divided by this.
constexpr std::chrono::milliseconds minDelay = 1ms; ///< A delay of zero would state that none is needed.

} // namespace

RefusalDelay::RefusalDelay(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto RefusalDelay::next(std::optional<std::chrono::milliseconds> available, std::chrono::milliseconds remaining) -> std::chrono::milliseconds
{
    const auto base = std::max(0ms, available.value_or(defaultDelay));
    const auto longest = std::max(minDelay, remaining / honouredPart);
    const auto spread = std::clamp(base / 2, minSpread, maxSpread);
    // When the delay is limited by the caller's time, callers with the same time are spread below the limit.
    const auto first = base + spread <= longest ? base : std::max(0ms, longest - std::min(longest / 2, spread));
    const auto range = std::min(spread, longest - first);
    return std::max(minDelay, first + std::chrono::milliseconds(this->random() % static_cast<std::minstd_rand::result_type>(range.count() + 1)));
}

} // namespace Primrosefork
