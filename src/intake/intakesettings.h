#pragma once

#include "units.h"

#include <chrono>
#include <cstddef>

namespace Primrosefork {

/** Limits on callers' requests and connections. */
struct IntakeSettings {
    std::size_t bodyRate = 16 * kibibyte; ///< Bytes per second at which a body has to arrive, beside a fixed time.
    std::chrono::milliseconds bodyTime { 120'000 }; ///< Longest time for a body to arrive.
    std::size_t descriptors = 0; ///< Number of open descriptors at which connections of callers are closed for new ones; 0 derives it from the limit of the process.
};

} // namespace Primrosefork
