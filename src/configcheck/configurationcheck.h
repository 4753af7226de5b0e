#pragma once

#include "finding.h"
#include "trafficconfiguration.h"

namespace Primrosefork {

/** What a check of a configuration found beyond its syntax; places name the entry, such as "route read". */
struct CheckResult {
    Findings errors; ///< Entries whose requests cannot be served, and limits that contradict each other.
    Findings warnings; ///< Entries that have no effect.
};

/** Returns what is wrong with \a configuration, which was decoded without findings. */
[[nodiscard]] auto checkConfiguration(const TrafficConfiguration& configuration) -> CheckResult;

} // namespace Primrosefork
