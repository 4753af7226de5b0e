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
 */
class StoreWatcher {
public:
    /** What the owner is told. */
    struct Handlers {
        std::function<void(const StoreListing&)> listed; ///< Everything below the prefix.
        std::function<void(const StoreListing&)> changed; ///< What was written or deleted since.
    };

    /** Waits for \a pause after changes before the next watch, so that changes in quick succession come with one call. */
    StoreWatcher(EventLoop&, KeyValueStore&, const EventLog&, std::string prefix, Handlers, std::chrono::milliseconds pause = std::chrono::milliseconds(0));
    ~StoreWatcher();
    StoreWatcher(const StoreWatcher&) = delete;
    auto operator=(const StoreWatcher&) -> StoreWatcher& = delete;

    auto begin() -> void;

    /** Returns whether the last call failed. */
    [[nodiscard]] auto isFailing() const -> bool { return this->failures > 0; }

    /** Returns when the store answered again after calls that failed; the clock's epoch if it never failed. */
    [[nodiscard]] auto recovered() const -> BootClock::time_point { return this->recoveredAt; }

private:
    auto list() -> void;
    auto watch() -> void;
    auto succeeded() -> void;
    auto failed(std::error_code) -> void;

    EventLoop& loop;
    KeyValueStore& store;
    const EventLog& log;
    std::string prefix;
    Handlers handlers;
    std::chrono::milliseconds pause;
    Timer retryTimer;
    StoreRevision revision = 0; ///< Newest change that was seen; 0 when everything is to be listed.
    int failures = 0; ///< One after the other.
    BootClock::time_point recoveredAt;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
