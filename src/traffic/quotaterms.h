#pragma once

#include "trafficconfiguration.h"

#include <chrono>

namespace Primrosefork {

/** How strictly a quota is held to over time. */
struct QuotaTerms {
    std::chrono::milliseconds window { 8'000 };
    double excess = 0; ///< Part of the quota that may be exceeded in a window.
    double slack = 0; ///< Units beyond that, of all nodes in a window.
};

/**
 * Returns the units that all nodes together may grant at once beside the steady
 * rate of \a quota, so that no window has more than \a terms allow.
 */
[[nodiscard]] auto burstWithin(const QuotaTerms& terms, const WorkspaceQuota& quota) -> double;

} // namespace Primrosefork
