#pragma once

#include "bootclock.h"
#include "eventloop.h"
#include "keyvaluestore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

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

    StoreWatcher(EventLoop&, KeyValueStore&, const EventLog&, std::string prefix, Handlers, Timing);
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher&) = delete;
    auto operator=(const StoreWatcher&) -> StoreWatcher& = delete;

    auto begin() -> void;

    /** Returns the revision up to which changes have been seen. */
    [[nodiscard]] auto newestRevision() const -> StoreRevision { return this->newestSeenRevision; }

    /** Notes that another node, which reads the store itself, has seen the changes up to the revision \a newest. */
    auto peerRevisionReceived(StoreRevision newest) -> void;

    /** Notes that no change can have been missed, as confirmed by other means than an answer to a list or watch. */
    auto confirmUpToDate() -> void;

    /** Returns whether the last call to the store failed. */
    [[nodiscard]] auto isFailing() const -> bool { return this->consecutiveFailures > 0; }

    /** Returns the time at which the store last answered again after failed calls; the clock's epoch if no call failed. */
    [[nodiscard]] auto recoveryTime() const -> BootClock::time_point { return this->recoveredAt; }

private:
    auto list() -> void;
    auto watch() -> void;
    auto checkForStall() -> void;
    auto succeeded() -> void;
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
    StoreRevision newestSeenRevision = 0; ///< Revision up to which this node has seen the changes.
    StoreRevision newestPeerRevision = 0; ///< Revision up to which another node has seen the changes.
    std::uint64_t currentCall = 0; ///< Number of the list or watch in flight; answers to earlier ones are ignored.
    BootClock::time_point lastConfirmation; ///< Time at which it was last confirmed that no change was missed.
    BootClock::time_point lastExternalConfirmation; ///< Time of the last call of confirmUpToDate().
    int consecutiveFailures = 0;
    BootClock::time_point recoveredAt;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
