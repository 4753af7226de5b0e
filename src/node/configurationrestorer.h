#pragma once

#include "blackboard.h"
#include "eventloop.h"
#include "keyvaluestore.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace Primrosefork {

class EventLog;

/**
 * Writes records in force back to a store that lost them or holds older
 * revisions, for example after a restore from a backup. Nodes that start later
 * then read the accepted configuration from the store.
 *
 * All nodes detect the loss at about the same time. Each waits a random time
 * before it writes its first record, and skips a record that another node has
 * restored in the meantime. When the store only returned a stale answer and has
 * lost nothing, the compare-and-swap against the stale revision fails and
 * changes nothing.
 */
class ConfigurationRestorer {
public:
    ConfigurationRestorer(EventLoop&, KeyValueStore&, const Blackboard&, const EventLog&, std::chrono::milliseconds longestDelay);

    /** Schedules the record at \a key to be restored: the store returned an older revision than the one in force, or no record. */
    auto recordLost(const std::string& key) -> void;

    /** Cancels the restoration of the record at \a key: the store returned the revision in force or a newer one. */
    auto recordSeen(const std::string& key) -> void;

    [[nodiscard]] auto lostCount() const -> std::size_t { return this->lost.size(); }

private:
    auto startTimer() -> void;
    auto retryLater(const std::string& key) -> void;
    auto restoreNext() -> void;
    auto entryRead(const std::string& key, std::error_code, const std::optional<StoreEntry>&) -> void;

    KeyValueStore& store;
    const Blackboard& blackboard;
    const EventLog& log;
    std::chrono::milliseconds longestDelay; ///< Longest random delay before the first record is restored or a failed one retried.
    std::set<std::string> lost; ///< Keys of the records to be restored.
    Timer timer;
};

} // namespace Primrosefork
