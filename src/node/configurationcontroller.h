#pragma once

#include "blackboard.h"
#include "eventloop.h"
#include "keyvaluestore.h"
#include "statesource.h"

#include <chrono>
#include <map>
#include <string>

namespace Primrosefork {

class EventLog;

/**
 * Brings the configuration from the store and keeps it in force: lists it
 * once, then waits with a watch. What is in force stays so while the store is
 * away, and a record never goes back to an older revision.
 */
class ConfigurationController : public StateSource {
public:
    ConfigurationController(EventLoop&, KeyValueStore&, Blackboard&, const EventLog&, std::chrono::milliseconds watchTime);

    auto begin() -> void;

    /** Puts records in force that a peer has; by the same rules as those of the store. */
    auto applyFromPeer(const StoreListing&) -> void;

    /** Returns the records seen, as the store has them, with revisions after \a after. */
    [[nodiscard]] auto recordsAfter(StoreRevision after) const -> StoreListing;

    /** Returns the highest store revision of the records seen. */
    [[nodiscard]] auto recordsRevision() const -> StoreRevision { return this->highestRecord; }

    [[nodiscard]] auto isStoreReachable() const -> bool { return this->isStoreAvailable; }

    [[nodiscard]] auto stateName() const -> std::string override { return "configuration"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto listAll() -> void;
    auto watchChanges() -> void;
    auto received(std::error_code, const StoreListing&) -> void;
    auto apply(const StoreListing&) -> void;
    auto remember(const StoreListing&) -> void;
    auto applyEntry(Configuration&, const StoreEntry&) -> void;
    auto storeFailed(std::error_code) -> void;
    auto storeAnswered() -> void;

    EventLoop& loop;
    KeyValueStore& store;
    SectionWriter<Configuration> configuration;
    const EventLog& log;
    std::chrono::milliseconds watchTime;
    Timer timer;
    std::map<std::string, StoreEntry> records; ///< As the store has them, by key.
    StoreRevision highestRecord = 0;
    StoreRevision watchedUpTo = 0;
    bool hasListed = false;
    bool isStoreAvailable = true;
    std::chrono::milliseconds retryDelay { 0 };
};

} // namespace Primrosefork
