#pragma once

#include "trafficconfiguration.h"

#include <chrono>

namespace Primrosefork {

/** How far the nodes together may exceed a quota in a window of time. */
struct QuotaTolerance {
    std::chrono::milliseconds window { 8'000 }; ///< Length of the window, which may begin at any time.
    double excess = 0; ///< Fraction of the quota that may be granted beyond it in a window.
    double slack = 0; ///< Units that all nodes together may grant beyond that in a window; only for quotas that count tokens.
};

/**
 * Returns the units that all nodes together may grant at once in addition to the
 * steady rate of \a quota, so that no window exceeds what \a tolerance allows.
 */
[[nodiscard]] auto allowedBurst(const QuotaTolerance& tolerance, const WorkspaceQuota& quota) -> double;

} // namespace Primrosefork
