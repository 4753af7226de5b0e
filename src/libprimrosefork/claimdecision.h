#pragma once

#include "claimrecord.h"

#include <optional>
#include <string>

namespace Primrosefork {

/**
 * What a node does with a call, depending on the claim record found in the store.
 */
enum class ClaimDecision {
    Own, ///< The record is this node's own claim: the node may send the call.
    TakeOver, ///< No byte of the call was sent: the node may replace the record, at its revision, by a claim of its own.
    Wait, ///< Another node has claimed the call: this node waits for the outcome in the record.
    Replay, ///< The call was answered: the caller gets the stored answer.
    Refuse, ///< The key belongs to a call with another route or body: the call is refused.
    Undecided, ///< It is unknown, and will stay unknown, whether the call was run.
};

/**
 * Returns what a node does with a call that has \a digest when the store holds
 * the record \a found. \a writeId identifies the node's own claim of the call;
 * \a found is empty when the stored value can't be decoded.
 */
[[nodiscard]] auto decideClaim(const std::optional<ClaimRecord>& found, const std::string& writeId, const std::string& digest) -> ClaimDecision;

} // namespace Primrosefork
