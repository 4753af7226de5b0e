#pragma once

#include <chrono>
#include <deque>

namespace Primrosefork {

/**
 * The time of day, protected against jumps of the machine's clock.
 *
 * The offset between the wall clock and the steady clock is sampled, and the
 * median of the last samples is used, so that a clock that jumps and jumps back
 * while fewer than half of the samples are affected has no effect.
 */
class WallClock {
public:
    using Steady = std::chrono::steady_clock::time_point;
    using Wall = std::chrono::milliseconds; ///< Time since 1970-01-01 00:00 UTC.

    /** Adds a sample of the machine's clocks, \a steady and \a wall; to be called about once a second. */
    auto sample(Steady steady, Wall wall) -> void;

    /** Returns the time of day at \a steady. */
    [[nodiscard]] auto at(Steady steady) const -> Wall;

    /** Returns the present time of the machine's wall clock. */
    [[nodiscard]] static auto machineTime() -> Wall;

private:
    std::deque<Wall> offsets; ///< Last samples of the wall clock minus the steady clock, oldest first.
};

} // namespace Primrosefork
