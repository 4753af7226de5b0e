#include "quotatolerance.h"

namespace Primrosefork {

auto allowedBurst(const QuotaTolerance& tolerance, const WorkspaceQuota& quota) -> double
{
    const auto windowSeconds = std::chrono::duration<double>(tolerance.window).count();
    const auto excess = tolerance.excess * quota.perSecond * windowSeconds;
    return quota.burst * (1 + tolerance.excess) + excess + (quota.countsTokens ? tolerance.slack : 0);
}

} // namespace Primrosefork
