#pragma once

#include "blackboard.h"
#include "eventloop.h"
#include "keyvaluestore.h"
#include "statesource.h"

#include <chrono>
#include <map>

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

    [[nodiscard]] auto stateName() const -> std::string override { return "configuration"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto listAll() -> void;
    auto watchChanges() -> void;
    auto received(std::error_code, const StoreListing&) -> void;
    auto apply(const StoreListing&) -> void;
    auto applyEntry(Configuration&, const StoreEntry&) -> void;
    auto storeFailed(std::error_code) -> void;
    auto storeAnswered() -> void;

    EventLoop& loop;
    KeyValueStore& store;
    SectionWriter<Configuration> configuration;
    const EventLog& log;
    std::chrono::milliseconds watchTime;
    Timer timer;
    StoreRevision watchedUpTo = 0;
    bool hasListed = false;
    bool isStoreAvailable = true;
    std::chrono::milliseconds retryDelay { 0 };
};

} // namespace Primrosefork
