#pragma once

#include "keyvaluestore.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace Primrosefork {

/** Changes of a prefix, oldest first. */
struct ChangeBatch {
    std::vector<StoreEntry> entries;
    StoreRevision upTo = 0; ///< Revision up to which the batch is complete.
};

/**
 * The entries below one prefix of the store, and the deletions of the last while,
 * in the order of their revisions, so that the changes after a revision can be
 * passed on to a node that knows everything before it.
 */
class ChangeLog {
public:
    /** Replaces the entries with those of a complete \a listing; entries that it lacks count as deleted with its revision. */
    auto listed(const StoreListing& listing) -> void;

    /** Adds changes that follow directly on everything added before. */
    auto changed(std::span<const StoreEntry> changes) -> void;

    /** Notes that there were no other changes up to \a revision. */
    auto completeUpTo(StoreRevision revision) -> void;

    /**
     * Returns the changes after \a revision, as many as fit into \a maxBytes, but at least those of one revision.
     * Returns nothing when the log does not reach back to \a revision.
     */
    [[nodiscard]] auto changesAfter(StoreRevision revision, std::size_t maxBytes) const -> std::optional<ChangeBatch>;

    /** Returns a hash of all present entries; logs with equal digests have the same entries with the same revisions. */
    [[nodiscard]] auto digest() const -> std::uint64_t { return this->presentDigest; }

    /** Returns whether no entry is present. */
    [[nodiscard]] auto isEmpty() const -> bool { return this->entries.size() == this->deletions; }

    /** Returns the revision up to which all changes are known; 0 before the first listing. */
    [[nodiscard]] auto newestRevision() const -> StoreRevision { return this->newest; }

    /** Returns the revision of the newest change that is known by itself; a deletion that only a listing showed counts with the listing's revision. */
    [[nodiscard]] auto newestChange() const -> StoreRevision { return this->order.empty() ? 0 : this->order.rbegin()->first; }

private:
    auto add(StoreEntry) -> void;
    auto forgetOldDeletions() -> void;

    std::map<std::string, StoreEntry> entries; ///< The last change of each key, deletions included.
    std::set<std::pair<StoreRevision, std::string>> order; ///< The keys of these changes by revision.
    std::uint64_t presentDigest = 0;
    std::size_t deletions = 0; ///< Number of deletions among the entries.
    StoreRevision oldest = 0; ///< Revision after which the log has all changes.
    StoreRevision newest = 0;
};

} // namespace Primrosefork
