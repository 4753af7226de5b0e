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
 * Writes records in force back to a store that lost them or went back to older
 * ones, so that a node that starts later gets what was accepted.
 *
 * Every node notices at about the same time. Each waits a random time before its
 * first record, and gives a record up once another node has restored it. A store that only
 * answered late loses nothing: the swap against its older answer fails.
 */
class ConfigurationRestorer {
public:
    ConfigurationRestorer(EventLoop&, KeyValueStore&, const Blackboard&, const EventLog&, std::chrono::milliseconds longestDelay);

    /** The store showed the record at \a key older than it is in force, or not at all. */
    auto recordLost(const std::string& key) -> void;

    /** The store showed the record at \a key as it is in force, or newer. */
    auto recordSeen(const std::string& key) -> void;

    [[nodiscard]] auto lostCount() const -> std::size_t { return this->lost.size(); }

private:
    auto startTimer() -> void;
    auto failed(const std::string& key) -> void;
    auto restoreNext() -> void;
    auto entryRead(const std::string& key, std::error_code, const std::optional<StoreEntry>&) -> void;

    KeyValueStore& store;
    const Blackboard& blackboard;
    const EventLog& log;
    std::chrono::milliseconds longestDelay;
    std::set<std::string> lost;
    Timer timer;
};

} // namespace Primrosefork
