#pragma once

#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "statesource.h"
#include "storewatcher.h"
#include "trafficdocuments.h"

#include <string>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Keeps the operators' newest configuration in force, and knows how old that
 * knowledge is.
 *
 * A watch brings changes at once. Besides, the leader reads the document again
 * and again, which shows that no change was missed, and tells the other nodes;
 * a node that hears nothing of that reads it by itself.
 */
class TrafficController : public StateSource {
public:
    TrafficController(EventLoop&, KeyValueStore&, const TrafficDocuments&, const GatewayBounds&, GatewayBoard&, Metrics&, const EventLog&);
    ~TrafficController() override;

    auto begin() -> void;

    /** The leader read the store at \a moment or later, and the document had the revision \a newest. */
    auto leaderConfirmed(StoreRevision newest, BootClock::time_point moment) -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "traffic"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto confirm() -> void;
    auto read() -> void;
    [[nodiscard]] auto confirmPeriod() const -> std::chrono::milliseconds;
    auto apply(const StoreEntry&, BootClock::time_point asked) -> void;
    auto putInForce(const StoreEntry&, BootClock::time_point asked) -> void;
    auto confirmed(BootClock::time_point asked) -> void;

    KeyValueStore& store;
    const GatewayBounds& bounds;
    const GatewayBoard& board;
    const TrafficDocuments& documents;
    Metrics& metrics;
    const EventLog& log;
    SectionWriter<TrafficInForce> traffic;
    StoreWatcher watcher;
    Timer confirmTimer;
    StoreRevision revision = 0; ///< Of the document in force.
    StoreRevision rejectedRevision = 0; ///< Of the last document that could not be read.
    int failedReads = 0; ///< One after the other.
    bool isReading = false;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
