#pragma once

#include "claimrecord.h"

#include <optional>
#include <string>

namespace Primrosefork {

/**
 * What a node does about a record that it finds at the key of a call.
 */
enum class ClaimDecision {
    Own, ///< The record is its own: it may send the call.
    TakeOver, ///< Nothing was sent: it may claim the call at the record's revision.
    Wait, ///< Another node has the call: its outcome may follow.
    Replay, ///< The call was answered: the caller gets that answer.
    Refuse, ///< The key belongs to a call with another route or body.
    Undecided, ///< It can't be told whether the call was run, now or later.
};

/**
 * Returns what the node whose claim has \a writeId does about \a found for a
 * call with \a digest; \a found is nothing when the record can't be read.
 */
[[nodiscard]] auto decideClaim(const std::optional<ClaimRecord>& found, const std::string& writeId, const std::string& digest) -> ClaimDecision;

} // namespace Primrosefork
