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
 * A watch brings changes at once. Besides, the document is read again and
 * again: only that shows that no change was missed.
 */
class TrafficController : public StateSource {
public:
    TrafficController(EventLoop&, KeyValueStore&, const TrafficDocuments&, const GatewayBounds&, GatewayBoard&, Metrics&, const EventLog&);
    ~TrafficController() override;

    auto begin() -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "traffic"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto confirm() -> void;
    auto apply(const StoreEntry&, BootClock::time_point asked) -> void;
    auto putInForce(const StoreEntry&, BootClock::time_point asked) -> void;
    auto confirmed(BootClock::time_point asked) -> void;

    KeyValueStore& store;
    const TrafficDocuments& documents;
    Metrics& metrics;
    const EventLog& log;
    SectionWriter<TrafficInForce> traffic;
    std::chrono::milliseconds confirmPeriod;
    StoreWatcher watcher;
    Timer confirmTimer;
    StoreRevision revision = 0; ///< Of the document in force.
    StoreRevision rejectedRevision = 0; ///< Of the last document that could not be read.
    int failedReads = 0; ///< One after the other.
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
