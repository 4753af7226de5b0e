#pragma once

#include "fleetmessage.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Primrosefork {

/**
 * Selects the accounting windows of a node whose counts the leader does not
 * have, so that a report does not repeat what it has confirmed.
 */
class UnconfirmedWindows {
public:
    /** Returns those of \a windows whose counts are not confirmed, for the report with \a sequence. */
    auto select(std::vector<WindowReport> windows, std::uint32_t sequence) -> std::vector<WindowReport>;

    /** The leader has the counts that were selected for the report with \a sequence, if that was the last one. */
    auto confirmed(std::uint32_t sequence) -> void;

    /** Forgets all confirmations, after a change of the leader. */
    auto reset() -> void;

private:
    std::map<UsageWindow, UsageCounts> confirmedCounts;
    std::vector<WindowReport> reported; ///< Counts in the last report.
    std::uint32_t reportSequence = 0; ///< Sequence number of the last report; 0 when no confirmation of it is expected.
};

} // namespace Primrosefork
