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

/** Time limits of a ConfigurationController. */
struct ConfigurationTimes {
    std::chrono::milliseconds watch { 2'000 }; ///< Longest time that one watch waits for a change.
    std::chrono::milliseconds longestRestoreDelay { 10'000 }; ///< Longest random delay before a record is written back to a store that lost it.
};

/**
 * Reads the configuration from the store and puts it in force: lists all
 * records once, then watches for changes. The configuration in force stays in
 * use while the store is unavailable, and a record in force is never replaced by
 * an older revision.
 *
 * All records are listed again when the revision of the store has decreased,
 * as it does when the store is restored from a backup.
 */
class ConfigurationController : public StateSource {
public:
    ConfigurationController(EventLoop&, KeyValueStore&, Blackboard&, const EventLog&, const ConfigurationTimes&);

    auto begin() -> void;

    /** Puts the records of a peer in force, by the same rules as records of the store. */
    auto applyFromPeer(const StoreListing&) -> void;

    /** Returns the latest known store entries whose store revision is higher than \a after. */
    [[nodiscard]] auto recordsAfter(StoreRevision after) const -> StoreListing;

    /** Returns the highest store revision of all known entries. */
    [[nodiscard]] auto recordsRevision() const -> StoreRevision { return this->highestRevision; }

    [[nodiscard]] auto isStoreReachable() const -> bool { return this->isStoreAvailable; }

    /** Puts an accepted record, which is durable in the store, in force without waiting for the watch to report it. */
    auto applyAccepted(const StoreEntry&) -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "configuration"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto listAll() -> void;
    auto watchChanges() -> void;
    auto listed(std::error_code, const StoreListing&) -> void;
    auto watched(std::error_code, const StoreListing&) -> void;
    auto apply(const StoreListing&) -> void;
    auto cacheRecords(const StoreListing&) -> void;
    auto applyEntry(Configuration&, const std::string& key, const std::string& value) -> void;
    auto retryRejected(Configuration&) -> void;
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
    std::map<std::string, StoreEntry> records; ///< Latest known store entries, rejected ones included, by key.
    StoreRevision highestRevision = 0; ///< Highest store revision in records.
    std::map<std::string, std::string> rejected; ///< Values of records that are not valid, by key; retried after each change of another record.
    StoreRevision watchedUpTo = 0; ///< Store revision from which the next watch waits for changes.
    bool hasListed = false; ///< Whether all records were listed since the start and since the store revision last decreased.
    bool hasApplied = false; ///< Whether a listing was put in force since the start.
    bool isStoreAvailable = true;
    std::chrono::milliseconds retryDelay { 0 };
};

} // namespace Primrosefork
