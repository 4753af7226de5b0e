#pragma once

#include "bootclock.h"
#include "changelog.h"
#include "eventloop.h"
#include "keyvaluestore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

class EventLog;

/**
 * Follows everything below one prefix of the store: lists it, watches it from
 * the revision of the listing, and lists it again when changes may have been
 * missed.
 *
 * A watch may hang forever while the store answers other calls. With a stall
 * timeout, a watch is abandoned and restarted when for that time neither an
 * answer of the store nor another node confirmed that no change was missed.
 *
 * While an observer, a node that watches the store itself, relays the changes,
 * a node that follows observers makes no calls. It watches again when the relayed
 * knowledge is older than the stall timeout. A node that does not follow observers
 * applies relayed changes as well, but goes on with its own calls.
 */
class StoreWatcher {
public:
    /** The owner's handlers of listings and changes. */
    struct Handlers {
        std::function<void(const StoreListing&)> listed; ///< Called with everything below the prefix.
        std::function<void(const StoreListing&)> changed; ///< Called with the entries that were written or deleted since the last call of either handler.
    };

    /** The delays between calls to the store. */
    struct Timing {
        std::chrono::milliseconds batchDelay { 0 }; ///< Delay before the next watch after changes, so that changes in quick succession arrive with one call.
        std::chrono::milliseconds stallTimeout { 0 }; ///< Time without a confirmation after which a watch is restarted; 0 for never.
    };

    /** What an observer knows of the prefix. */
    struct Relayed {
        ChangeBatch changes;
        BootClock::time_point confirmedAt; ///< Time, or an earlier one, at which the observer's knowledge was last confirmed to be complete.
        std::optional<BootClock::time_point> storeRecoveredAt; ///< Time at which the store last answered again after an outage, as far as the observer knows of one.
    };

    StoreWatcher(EventLoop&, KeyValueStore&, const EventLog&, std::string prefix, Handlers, Timing);
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher&) = delete;
    auto operator=(const StoreWatcher&) -> StoreWatcher& = delete;

    /** Begins with a listing from the store. */
    auto begin() -> void;

    /** Begins with \a listing, which another caller requested from the store at \a requestedAt. */
    auto beginWith(const StoreListing& listing, BootClock::time_point requestedAt) -> void;

    /** Returns the revision up to which changes have been seen. */
    [[nodiscard]] auto newestRevision() const -> StoreRevision { return this->changeLog.newestRevision(); }

    /** Returns the changes seen so far, which this node can relay. */
    [[nodiscard]] auto changes() const -> const ChangeLog& { return this->changeLog; }

    /** Applies changes that an observer relayed after a request for those after newestRevision(). */
    auto relayed(const Relayed&) -> void;

    /** Lists everything again because the store has come back from a copy; a node to which an observer relays the changes gets them from there. */
    auto storeRestored(StoreEpoch epoch) -> void;

    /** Watches the store again if an observer has relayed the changes until now. */
    auto stopRelay() -> void;

    /** Returns the time at which the last listing was requested. */
    [[nodiscard]] auto listingTime() const -> BootClock::time_point { return this->listRequestedAt; }

    /** Sets whether this node relies on observers: it then waits longer than they do before it watches the store itself, and repeats failed calls at a slow rate. */
    auto setFollows(bool follows) -> void { this->follows = follows; }

    /** Sets whether a listing is followed by no watch before the stall timeout, because an observer may soon relay the changes. */
    auto setExpectsRelay(bool expectsRelay) -> void { this->expectsRelay = expectsRelay; }

    /** Returns the time at which it was last confirmed that no change was missed. */
    [[nodiscard]] auto confirmedAt() const -> BootClock::time_point { return this->lastConfirmation; }

    /** Returns the time without a confirmation after which the prefix is watched again; 0 for never. */
    [[nodiscard]] auto stallTimeout() const -> std::chrono::milliseconds { return this->follows ? this->timing.stallTimeout * 5 / 4 : this->timing.stallTimeout; }

    /** Notes that another node, which reads the store itself, has seen the changes up to the revision \a newest, and no later one at \a moment. */
    auto peerRevisionReceived(StoreRevision newest, BootClock::time_point moment) -> void;

    /** Notes that no change up to \a moment can have been missed, as confirmed by other means than an answer to a list or watch. */
    auto confirmUpToDate(BootClock::time_point moment) -> void;

    /** Returns the time up to which changes were known before those that are being handed over; they were made later. */
    [[nodiscard]] auto earlierConfirmation() const -> BootClock::time_point { return this->priorConfirmation; }

    /** Returns whether the last call to the store failed. */
    [[nodiscard]] auto isFailing() const -> bool { return this->consecutiveFailures > 0; }

    /** Returns whether at \a now another node may know changes that this node's own calls do not bring. */
    [[nodiscard]] auto needsRelay(BootClock::time_point now) const -> bool;

    /** Returns whether at \a now a change that another node has seen is overdue. */
    [[nodiscard]] auto isBehind(BootClock::time_point now) const -> bool;

    /** Returns whether at \a now the store seems to be away for all nodes: calls have failed for a while, and no node is known to have got an answer since. */
    [[nodiscard]] auto isStoreAway(BootClock::time_point now) const -> bool;

    /** Returns the time at which the store last answered again after it was away for all nodes; the clock's epoch if it never was. */
    [[nodiscard]] auto recoveryTime() const -> BootClock::time_point { return this->recoveredAt; }

private:
    auto list() -> void;
    auto applyListing(const StoreListing&) -> void;
    [[nodiscard]] auto newEntriesOf(const std::vector<StoreEntry>&) const -> StoreListing;
    [[nodiscard]] auto isUnansweredFor(std::chrono::milliseconds time, BootClock::time_point now) const -> bool;
    auto watch() -> void;
    auto watchFor(std::chrono::milliseconds wait) -> void;
    auto startStallTimer(BootClock::time_point start) -> void;
    auto checkForStall() -> void;
    auto catchUp() -> void;
    auto succeeded(BootClock::time_point moment) -> void;
    auto failed(std::error_code) -> void;

    EventLoop& loop;
    KeyValueStore& store;
    const EventLog& log;
    std::string prefix;
    Handlers handlers;
    Timing timing;
    Timer retryTimer;
    Timer stallTimer;
    Timer catchUpTimer;
    StoreRevision revision = 0; ///< Revision to watch from; 0 when everything is to be listed.
    ChangeLog changeLog;
    StoreRevision awaitedRevision = 0; ///< Revision up to which another node has seen the changes, and which this node is to reach soon.
    BootClock::time_point awaitedSince; ///< Time at which this node was told of it.
    std::uint64_t currentCall = 0; ///< Number of the list or watch in flight; answers to earlier ones are ignored.
    BootClock::time_point lastConfirmation; ///< Time at which it was last confirmed that no change was missed.
    BootClock::time_point priorConfirmation; ///< The confirmation before the changes that are being handed over.
    BootClock::time_point lastRestart; ///< Time at which a watch was last given up.
    BootClock::time_point listRequestedAt;
    BootClock::time_point lastExternalConfirmation; ///< Time of the last call of confirmUpToDate().
    int consecutiveFailures = 0;
    BootClock::time_point failingSince; ///< Time of the first of these failures.
    BootClock::time_point recoveredAt;
    bool isRelayed = false; ///< An observer relays the changes or is expected to, and no call to the store is pending.
    bool follows = false;
    bool expectsRelay = false;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
