#pragma once

#include <chrono>

namespace Primrosefork {

/**
 * A steady clock that goes on while the machine is suspended, for what expires
 * elsewhere meanwhile: leases, and the age of what the store said.
 */
struct BootClock {
    using duration = std::chrono::nanoseconds; // NOLINT(readability-identifier-naming): names of std::chrono clocks
    using rep = duration::rep; // NOLINT(readability-identifier-naming)
    using period = duration::period; // NOLINT(readability-identifier-naming)
    using time_point = std::chrono::time_point<BootClock>; // NOLINT(readability-identifier-naming)
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /** Returns the present moment. */
    [[nodiscard]] static auto now() -> time_point;
};

} // namespace Primrosefork
