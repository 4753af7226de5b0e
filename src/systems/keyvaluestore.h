#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <sigc++/signal.h>
#include <string>
#include <system_error>
#include <vector>

namespace Primrosefork {

/** Counts how often the store came back from a copy; 0 for a store that does not tell. */
using StoreEpoch = std::uint64_t;

/**
 * The number of a write of the store, which increases with each write.
 *
 * A store that comes back from a copy assigns numbers a second time, so a revision
 * has the epoch in its upper bits: every revision of a later epoch is higher.
 */
using StoreRevision = std::uint64_t;

/** Identifies a lease of the store; 0 is no lease. A lease ends with the epoch in which it was granted. */
using LeaseId = std::uint64_t;

constexpr unsigned epochShift = 40; ///< Numbers below 2^40 last for decades, and revisions of 8,000 epochs are exact as floating-point numbers.

/** Returns the revision with the \a number that the store assigned in \a epoch. */
[[nodiscard]] constexpr auto inEpoch(StoreEpoch epoch, std::uint64_t number) -> StoreRevision
{
    return (epoch << epochShift) | number;
}

/** Returns the epoch of a revision. */
[[nodiscard]] constexpr auto epochOf(StoreRevision revision) -> StoreEpoch
{
    return revision >> epochShift;
}

/** Returns the number that the store assigned to a revision. */
[[nodiscard]] constexpr auto numberOf(StoreRevision revision) -> std::uint64_t
{
    return revision & ((std::uint64_t { 1 } << epochShift) - 1);
}

/** One key of the store with its value. */
struct StoreEntry {
    std::string key;
    std::string value;
    StoreRevision revision = 0; ///< Revision of the write that set the value; 0 when the key does not exist.
    bool isDeleted = false; ///< Whether the key was deleted with this revision; only set in the answer to a watch.
};

/** The entries below a prefix, or the changed ones in the answer to a watch. */
struct StoreListing {
    std::vector<StoreEntry> entries;
    StoreRevision revision = 0; ///< Revision of the whole store from which a watch can continue without missing a change.
};

/** A write that takes effect only when the key still has the expected revision. */
struct StoreSwap {
    std::string key;
    StoreRevision expected = 0; ///< Revision that the key must have; 0 when the key must not exist.
    std::string value;
    LeaseId lease = 0; ///< Lease that the key is bound to; the key is deleted when the lease ends.
};

/** The result of a compare-and-swap. */
struct StoreSwapResult {
    bool isSwapped = false;
    StoreEntry current; ///< The entry of the key after the call, whether it was swapped or not.
};

/**
 * The interface to the platform's key-value service.
 *
 * After a write fails, it is unknown whether it took effect, except for
 * Error::ConnectionFailed, after which it did not. Handlers are called from the
 * event loop, never from within the function that they are passed to.
 */
class KeyValueStore {
public:
    using EntryHandler = std::function<void(std::error_code, const std::optional<StoreEntry>&)>;
    using ListingHandler = std::function<void(std::error_code, const StoreListing&)>;
    using SwapHandler = std::function<void(std::error_code, const StoreSwapResult&)>;
    using LeaseHandler = std::function<void(std::error_code, LeaseId)>;
    using DoneHandler = std::function<void(std::error_code)>;

    virtual ~KeyValueStore() = default;

    /** Emitted with the epoch when an answer is the first of a later epoch than all before, ahead of that answer's handler. */
    sigc::signal<void, StoreEpoch> epochChanged;

    /** Returns the epoch of the last answer. */
    [[nodiscard]] virtual auto currentEpoch() const -> StoreEpoch { return 0; }

    /** Fetches the entry of \a key; the handler gets nothing when the key does not exist. */
    virtual auto get(const std::string& key, EntryHandler) -> void = 0;
    /** Fetches all entries below \a prefix. */
    virtual auto list(const std::string& prefix, ListingHandler) -> void = 0;
    /** Writes a value if the key has the expected revision; a mismatch is no error but an unswapped result. */
    virtual auto compareAndSwap(const StoreSwap&, SwapHandler) -> void = 0;

    /**
     * Waits until an entry below \a prefix has a revision later than \a after
     * and passes the changed entries to the handler, or an empty listing with
     * the revision of the store when \a wait passes without a change.
     * Error::HistoryLost means that the store no longer has all changes since
     * \a after; the prefix has to be listed again.
     */
    virtual auto watch(const std::string& prefix, StoreRevision after, std::chrono::milliseconds wait, ListingHandler) -> void = 0;

    /** Creates a lease that expires \a duration after its last renewal. */
    virtual auto grantLease(std::chrono::milliseconds duration, LeaseHandler) -> void = 0;

    /** Renews \a lease; the handler gets Error::NotFound when it has expired. */
    virtual auto renewLease(LeaseId lease, DoneHandler) -> void = 0;

    /** Ends \a lease and deletes the keys that are bound to it. */
    virtual auto revokeLease(LeaseId lease, DoneHandler) -> void = 0;
};

} // namespace Primrosefork
