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
 * there, and lists it again when changes may have been missed.
 *
 * A watch may hang for good while the store answers other calls. Where a proof
 * time is set, a watch is given up when for that time neither an answer nor
 * another node showed that nothing was missed.
 */
class StoreWatcher {
public:
    /** What the owner is told. */
    struct Handlers {
        std::function<void(const StoreListing&)> listed; ///< Everything below the prefix.
        std::function<void(const StoreListing&)> changed; ///< What was written or deleted since.
    };

    /** How often the store is asked. */
    struct Pace {
        std::chrono::milliseconds pause { 0 }; ///< After changes before the next watch, so that changes in quick succession come with one call.
        std::chrono::milliseconds proofTime { 0 }; ///< Without a proof, after which a watch is given up; 0 is never.
    };

    StoreWatcher(EventLoop&, KeyValueStore&, const EventLog&, std::string prefix, Handlers, Pace);
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher&) = delete;
    auto operator=(const StoreWatcher&) -> StoreWatcher& = delete;

    auto begin() -> void;

    /** Returns the revision of the newest change that may have been seen. */
    [[nodiscard]] auto newest() const -> StoreRevision { return this->newestSeen; }

    /** Another node that asks the store itself has seen the changes up to \a newest. */
    auto seenElsewhere(StoreRevision newest) -> void;

    /** Something else showed that no change can have been missed. */
    auto proved() -> void;

    /** Returns whether the last call failed. */
    [[nodiscard]] auto isFailing() const -> bool { return this->failures > 0; }

    /** Returns when the store answered again after calls that failed; the clock's epoch if it never failed. */
    [[nodiscard]] auto recovered() const -> BootClock::time_point { return this->recoveredAt; }

private:
    auto list() -> void;
    auto watch() -> void;
    auto lookForProof() -> void;
    auto succeeded() -> void;
    auto failed(std::error_code) -> void;

    EventLoop& loop;
    KeyValueStore& store;
    const EventLog& log;
    std::string prefix;
    Handlers handlers;
    Pace pace;
    Timer retryTimer;
    Timer proofTimer;
    Timer behindTimer;
    StoreRevision revision = 0; ///< Newest change that was seen; 0 when everything is to be listed.
    StoreRevision newestSeen = 0;
    StoreRevision newestElsewhere = 0;
    std::uint64_t call = 0; ///< Of the list or watch that is waited for; answers to others are passed over.
    BootClock::time_point proof; ///< When it was last shown that no change was missed.
    BootClock::time_point provedElsewhere;
    int failures = 0; ///< One after the other.
    BootClock::time_point recoveredAt;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
