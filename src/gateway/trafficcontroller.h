#pragma once

#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "statesource.h"
#include "storeepochmonitor.h"
#include "storewatcher.h"
#include "trafficdocuments.h"

#include <string>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Applies the operators' newest configuration and records when it was last
 * confirmed to be the newest.
 *
 * A watch delivers changes at once. In addition, the leader reads the document
 * periodically, which confirms that no change was missed, and passes the result
 * to the other nodes; a node that does not get it from the leader or an observer
 * reads the document itself, the observers first.
 *
 * After the store came back from a copy, a document confirms nothing until what the copy lacks is written again,
 * unless it was written since. A version that is older than the one in force is never applied.
 */
class TrafficController : public StateSource {
public:
    TrafficController(EventLoop&, KeyValueStore&, const TrafficDocuments&, const GatewayBounds&, GatewayBoard&, const StoreEpochMonitor&, Metrics&, const EventLog&);
    ~TrafficController() override;

    auto begin() -> void;

    /** Notes that the leader or an observer knows that at \a moment or later the document had the revision \a newest. */
    auto peerConfirmed(StoreRevision newest, BootClock::time_point moment) -> void;

    /** Returns the watcher of the document, whose changes observers relay. */
    [[nodiscard]] auto storeWatcher() -> StoreWatcher& { return this->watcher; }

    [[nodiscard]] auto stateName() const -> std::string override { return "traffic"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto confirmIfDue() -> void;
    auto readConfiguration() -> void;
    [[nodiscard]] auto confirmPeriod() const -> std::chrono::milliseconds;
    auto listed(const StoreListing&) -> void;
    auto apply(const StoreEntry&, BootClock::time_point requestedAt) -> void;
    /** Returns the time at which a document with \a revision, requested at \a requestedAt, shows the newest one to be in force. */
    [[nodiscard]] auto confirmationTime(StoreRevision revision, BootClock::time_point requestedAt) const -> BootClock::time_point;
    auto olderVersionRead(StoreRevision revision, BootClock::time_point requestedAt) -> void;
    auto putInForce(const StoreEntry&, BootClock::time_point requestedAt) -> void;
    auto updateConfirmed(BootClock::time_point requestedAt) -> void;

    KeyValueStore& store;
    const GatewayBounds& bounds;
    const GatewayBoard& board;
    const TrafficDocuments& documents;
    const StoreEpochMonitor& epochs;
    Metrics& metrics;
    const EventLog& log;
    SectionWriter<TrafficInForce> traffic;
    StoreWatcher watcher;
    Timer confirmTimer;
    Timer catchUpTimer;
    StoreRevision awaitedRevision = 0; ///< Revision that another node has seen and that an observer is expected to relay.
    StoreRevision revision = 0; ///< Revision of the document that is applied.
    StoreRevision copyRevision = 0; ///< Revision of the store when this node first listed the document in the present epoch; later ones were written in it.
    StoreRevision olderRevision = 0; ///< Revision of the last document with an older version than the one in force.
    std::uint64_t textHash = 0; ///< Hash of the document that is applied.
    StoreRevision rejectedRevision = 0; ///< Revision of the last document that could not be decoded.
    int consecutiveFailures = 0; ///< Number of reads that failed since the last successful one.
    bool isReading = false; ///< A read is in flight.
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
