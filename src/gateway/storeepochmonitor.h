#pragma once

#include "bootclock.h"
#include "keyvaluestore.h"
#include "statesource.h"

#include <chrono>
#include <sigc++/signal.h>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Follows the epochs of the store, which begin when it comes back from a copy that
 * lacks what was written last.
 *
 * The operator and the servers write again what is lost, which takes a while. Until
 * then the store may show less than it has acknowledged, so an answer from that time
 * does not confirm that there is nothing newer (docs/decisions/066-store-epochs.md).
 */
class StoreEpochMonitor : public StateSource {
public:
    using TimePoint = BootClock::time_point;

    static constexpr std::chrono::milliseconds settleTime { 2'000 }; ///< Time after the store's return in which what was lost is written again.

    StoreEpochMonitor(KeyValueStore&, Metrics&, const EventLog&);

    /** Notes that another node knows \a revision. */
    auto revisionSeen(StoreRevision revision) -> void { this->epochSeen(epochOf(revision)); }

    /** Notes a record of the nodes in the store, by which the epoch \a settled began long ago. */
    auto settledRecordRead(StoreEpoch settled) -> void;

    [[nodiscard]] auto epoch() const -> StoreEpoch { return this->current; }

    /** Returns the time from which on answers show everything that the store has acknowledged. */
    [[nodiscard]] auto certainFrom() const -> TimePoint { return this->certainSince; }

    /** Emitted when an epoch has begun, or the first one was seen. */
    sigc::signal<void, StoreEpoch> changed;

    [[nodiscard]] auto stateName() const -> std::string override { return "store"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto epochSeen(StoreEpoch) -> void;

    Metrics& metrics;
    const EventLog& log;
    StoreEpoch current = 0;
    TimePoint seenAt; ///< Time at which this node first saw the epoch.
    TimePoint certainSince;
};

} // namespace Primrosefork
