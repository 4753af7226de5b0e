#pragma once

#include "usageledger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * The accounting windows with the counts to report, as the store's record has them.
 *
 * Whatever is reported of a window must never change, so the counts of a window are
 * certain only when the store has acknowledged them. A write that got no answer
 * says nothing: another node may have stored other counts, and the write may still
 * be carried out after the store came back from a copy. The newest window of a
 * record from an earlier epoch of the store may come from such a write. What is
 * certain stays so, also when a later record lacks it.
 */
class UsageRecord {
public:
    /** A record that is to be written. */
    struct Proposal {
        std::map<UsageWindow, UsageCounts> windows;
        std::string text;
    };

    /**
     * Takes over the record with \a text, or that there is none, as read from the store in its \a epoch.
     *
     * If it was written in an earlier epoch, windows up to \a lastBefore may have been
     * stored by other nodes in a record that is lost. Returns the names of entries that
     * are not readable.
     */
    auto read(const std::optional<std::string>& text, std::uint64_t epoch, UsageWindow lastBefore) -> std::vector<std::string>;

    /** Takes over that the store acknowledged \a proposal. */
    auto acknowledge(const Proposal& proposal) -> void;

    /** Forgets the record, which other nodes may write from now on, but not which counts are certain. */
    auto release() -> void;

    /** Returns whether the record was read since it was released. */
    [[nodiscard]] auto isRead() const -> bool { return this->hasRecord; }

    /** Returns the counts to report of \a window; null when the record has none that are certain. */
    [[nodiscard]] auto countsOf(UsageWindow window) const -> const UsageCounts*;

    /** Returns whether counts of \a window may be stored: unless other counts may have been reported already. */
    [[nodiscard]] auto mayStore(UsageWindow window) const -> bool;

    /** Returns the record with \a window added, with the counts that are certain or else with \a counts. */
    [[nodiscard]] auto propose(UsageWindow window, const UsageCounts& counts) const -> Proposal;

    /** Returns the last window up to which no new counts are stored, since others may have been. */
    [[nodiscard]] auto closedUpTo() const -> UsageWindow { return this->closed; }

    /** Returns whether the record is from an earlier epoch of the store, or lost with one. */
    [[nodiscard]] auto isOutdated() const -> bool { return this->outdated; }

    /** Returns the record as it is to be written in this epoch, so that later leaders know up to which window it is closed. */
    [[nodiscard]] auto renewed() const -> Proposal;

    /** Returns the number of windows in the record. */
    [[nodiscard]] auto size() const -> std::size_t { return this->windows.size(); }

private:
    [[nodiscard]] auto encode(std::map<UsageWindow, UsageCounts> proposed) const -> Proposal;
    auto keepCertain(const std::map<UsageWindow, UsageCounts>& acknowledged) -> void;

    std::map<UsageWindow, UsageCounts> windows; ///< Windows in the record that are certain.
    std::map<UsageWindow, UsageCounts> certain; ///< Last windows whose counts the store acknowledged to this process or showed to it.
    UsageWindow closed = 0;
    std::uint64_t epoch = 0; ///< Epoch of the store in which the record was read.
    bool hasRecord = false;
    bool outdated = false;
};

} // namespace Primrosefork
