#pragma once

#include <chrono>

namespace Primrosefork {

/**
 * A steady clock that includes the time during which the machine is suspended.
 * It is used for what expires on other machines in that time: leases, and the
 * age of answers from the store.
 */
struct BootClock {
    using duration = std::chrono::nanoseconds; // NOLINT(readability-identifier-naming): names of std::chrono clocks
    using rep = duration::rep; // NOLINT(readability-identifier-naming)
    using period = duration::period; // NOLINT(readability-identifier-naming)
    using time_point = std::chrono::time_point<BootClock>; // NOLINT(readability-identifier-naming)
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /** Returns the current time. */
    [[nodiscard]] static auto now() -> time_point;
};

} // namespace Primrosefork
