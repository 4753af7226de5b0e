#include "wallclock.h"

#include <algorithm>
#include <vector>

namespace Primrosefork {

namespace {

constexpr std::size_t keptSamples = 61; ///< At one sample a second, jumps shorter than half a minute are ignored.

auto sinceStart(WallClock::Steady steady) -> WallClock::Wall
{
    return std::chrono::duration_cast<WallClock::Wall>(steady.time_since_epoch());
}

} // namespace

auto WallClock::sample(Steady steady, Wall wall) -> void
{
    this->offsets.push_back(wall - sinceStart(steady));
    if (this->offsets.size() > keptSamples)
        this->offsets.pop_front();
}

auto WallClock::at(Steady steady) const -> Wall
{
    if (this->offsets.empty())
        return machineTime();
    std::vector<Wall> sorted(this->offsets.begin(), this->offsets.end());
    const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
    std::nth_element(sorted.begin(), middle, sorted.end());
    return *middle + sinceStart(steady);
}

auto WallClock::machineTime() -> Wall
{
    return std::chrono::duration_cast<Wall>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace Primrosefork
