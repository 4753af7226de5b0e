#pragma once

#include "blackboard.h"
#include "configurationrestorer.h"
#include "eventloop.h"
#include "keyvaluestore.h"
#include "statesource.h"

#include <chrono>
#include <map>
#include <string>

namespace Primrosefork {

class EventLog;

/** The times that a ConfigurationController keeps to. */
struct ConfigurationTimes {
    std::chrono::milliseconds watch { 2'000 }; ///< One waiting watch.
    std::chrono::milliseconds longestRestoreDelay { 10'000 }; ///< Before a record is written back to a store that lost it.
};

/**
 * Brings the configuration from the store and keeps it in force: lists it
 * once, then waits with a watch. What is in force stays so while the store is
 * away, and a record never goes back to an older revision.
 *
 * Everything is listed again when the store itself went back, as after a restore.
 */
class ConfigurationController : public StateSource {
public:
    ConfigurationController(EventLoop&, KeyValueStore&, Blackboard&, const EventLog&, const ConfigurationTimes&);

    auto begin() -> void;

    /** Puts records in force that a peer has; by the same rules as those of the store. */
    auto applyFromPeer(const StoreListing&) -> void;

    /** Returns the records seen, as the store has them, with revisions after \a after. */
    [[nodiscard]] auto recordsAfter(StoreRevision after) const -> StoreListing;

    /** Returns the highest store revision of the records seen. */
    [[nodiscard]] auto recordsRevision() const -> StoreRevision { return this->highestRecord; }

    [[nodiscard]] auto isStoreReachable() const -> bool { return this->isStoreAvailable; }

    /** Puts a record in force that is known to be durable, without waiting for the watch. */
    auto putInForce(const StoreEntry&) -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "configuration"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto listAll() -> void;
    auto watchChanges() -> void;
    auto listed(std::error_code, const StoreListing&) -> void;
    auto watched(std::error_code, const StoreListing&) -> void;
    auto apply(const StoreListing&) -> void;
    auto remember(const StoreListing&) -> void;
    auto applyEntry(Configuration&, const std::string& key, const std::string& value) -> void;
    auto applyRejected(Configuration&) -> void;
    auto findLostRecords(const StoreListing&) -> void;
    auto storeFailed(std::error_code) -> void;
    auto storeAnswered() -> void;

    EventLoop& loop;
    KeyValueStore& store;
    SectionWriter<Configuration> configuration;
    const EventLog& log;
    std::chrono::milliseconds watchTime;
    ConfigurationRestorer restorer;
    Timer timer;
    std::map<std::string, StoreEntry> records; ///< As the store has them, by key.
    StoreRevision highestRecord = 0;
    std::map<std::string, std::string> rejected; ///< Records that are not valid, tried again after each change.
    StoreRevision watchedUpTo = 0;
    bool hasListed = false; ///< Since the start, or since the store went back.
    bool hasApplied = false;
    bool isStoreAvailable = true;
    std::chrono::milliseconds retryDelay { 0 };
};

} // namespace Primrosefork
