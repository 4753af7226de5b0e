#include "claimdecision.h"

namespace Primrosefork {

auto decideClaim(const std::optional<ClaimRecord>& found, const std::string& writeId, const std::string& digest) -> ClaimDecision
{
    if (!found)
        return ClaimDecision::Undecided;
    if (found->state == ClaimState::NotRun)
        return ClaimDecision::TakeOver;
    if (found->digest != digest)
        return ClaimDecision::Refuse;
    if (found->state == ClaimState::Answered)
        return ClaimDecision::Replay;
    if (found->state == ClaimState::Unknown)
        return ClaimDecision::Undecided;
    return found->writeId == writeId ? ClaimDecision::Own : ClaimDecision::Wait;
}

} // namespace Primrosefork
