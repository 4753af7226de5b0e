#include "loadanswer.h"

#include <algorithm>

namespace Primrosefork {

auto keepLargest(std::vector<BackendLoad>& loads, std::size_t limit) -> void
{
    const auto kept = std::min(limit, loads.size());
    std::partial_sort(loads.begin(), loads.begin() + static_cast<std::ptrdiff_t>(kept), loads.end(), [](const auto& first, const auto& second) {
        const auto firstCost = loadCost(first);
        const auto secondCost = loadCost(second);
        return firstCost != secondCost ? firstCost > secondCost : first.server < second.server;
    });
    loads.resize(kept);
}

} // namespace Primrosefork
