#include "bodytiming.h"

#include <algorithm>

namespace Primrosefork {

auto bodyTimeLeft(const IntakeSettings& settings, std::chrono::milliseconds grace, std::size_t bytes, std::chrono::milliseconds age) -> std::chrono::milliseconds
{
    constexpr std::size_t millisecondsPerSecond = 1'000;
    const auto atLeastRate = std::chrono::milliseconds(bytes * millisecondsPerSecond / settings.bodyRate);
    return std::min(settings.bodyTime, grace + atLeastRate) - age;
}

} // namespace Primrosefork
