#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <system_error>
#include <vector>

namespace Primrosefork {

/** The number that the store gives to each of its writes; it only goes up. */
using StoreRevision = std::uint64_t;

/** Names a lease of the store; 0 is no lease. */
using LeaseId = std::uint64_t;

/** One key of the store with its value. */
struct StoreEntry {
    std::string key;
    std::string value;
    StoreRevision revision = 0; ///< Of the write that set the value; 0 when the key does not exist.
    bool isDeleted = false; ///< In the answer to a watch: the key was deleted with this revision.
};

/** Everything below a prefix at one moment. */
struct StoreListing {
    std::vector<StoreEntry> entries;
    StoreRevision revision = 0; ///< Of the whole store.
};

/** A write that happens only when the key still has the revision expected. */
struct StoreSwap {
    std::string key;
    StoreRevision expected = 0; ///< 0 when the key must not exist.
    std::string value;
    LeaseId lease = 0; ///< The key is deleted when this lease ends.
};

/** How a compare-and-swap came out. */
struct StoreSwapResult {
    bool isSwapped = false;
    StoreEntry current; ///< What the key holds now.
};

/**
 * The platform's key-value service.
 *
 * An error of a write leaves open whether the write took effect, except for
 * Error::ConnectionFailed, where it did not. Handlers are called from the loop,
 * never from the call itself.
 */
class KeyValueStore {
public:
    using EntryHandler = std::function<void(std::error_code, const std::optional<StoreEntry>&)>;
    using ListingHandler = std::function<void(std::error_code, const StoreListing&)>;
    using SwapHandler = std::function<void(std::error_code, const StoreSwapResult&)>;
    using LeaseHandler = std::function<void(std::error_code, LeaseId)>;
    using DoneHandler = std::function<void(std::error_code)>;

    virtual ~KeyValueStore() = default;

    virtual auto get(const std::string& key, EntryHandler) -> void = 0;
    virtual auto list(const std::string& prefix, ListingHandler) -> void = 0;
    virtual auto compareAndSwap(const StoreSwap&, SwapHandler) -> void = 0;

    /**
     * Waits until something below \a prefix has a revision after \a after, and
     * gives the listing; after \a wait without a change it gives an empty one
     * with the revision of the store. Error::HistoryLost means that changes
     * after \a after may have been missed and everything is to be listed again.
     */
    virtual auto watch(const std::string& prefix, StoreRevision after, std::chrono::milliseconds wait, ListingHandler) -> void = 0;

    virtual auto grantLease(std::chrono::milliseconds duration, LeaseHandler) -> void = 0;

    /** Renews \a lease; Error::NotFound when it has lapsed. */
    virtual auto renewLease(LeaseId lease, DoneHandler) -> void = 0;

    virtual auto revokeLease(LeaseId lease, DoneHandler) -> void = 0;
};

} // namespace Primrosefork
