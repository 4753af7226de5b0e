#include "quotaterms.h"

namespace Primrosefork {

auto burstWithin(const QuotaTerms& terms, const WorkspaceQuota& quota) -> double
{
    const auto windowSeconds = std::chrono::duration<double>(terms.window).count();
    const auto excess = terms.excess * static_cast<double>(quota.perSecond) * windowSeconds;
    return static_cast<double>(quota.burst) * (1 + terms.excess) + excess + (quota.countsTokens ? terms.slack : 0);
}

} // namespace Primrosefork
