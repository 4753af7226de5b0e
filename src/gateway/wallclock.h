#pragma once

#include <chrono>
#include <deque>

namespace Primrosefork {

/**
 * The time of day, kept steady against jumps of the machine's clock.
 *
 * The distance between the wall clock and the steady one is sampled; the median
 * of the last samples is used, so that a clock that jumps and jumps back within
 * the memory moves nothing.
 */
class WallClock {
public:
    using Steady = std::chrono::steady_clock::time_point;
    using Wall = std::chrono::milliseconds; ///< Since 1970.

    /** Adds what the machine's clocks show; to be called about once a second. */
    auto sample(Steady steady, Wall wall) -> void;

    /** Returns the time of day at \a steady. */
    [[nodiscard]] auto at(Steady steady) const -> Wall;

    /** Returns what the machine's own clock shows now. */
    [[nodiscard]] static auto machineTime() -> Wall;

private:
    std::deque<Wall> offsets;
};

} // namespace Primrosefork
