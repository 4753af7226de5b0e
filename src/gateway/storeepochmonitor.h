#pragma once

#include "bootclock.h"
#include "keyvaluestore.h"
#include "statesource.h"

#include <chrono>
#include <memory>
#include <sigc++/signal.h>

namespace Primrosefork {

class EventLog;
class Metrics;

constexpr auto settledEpochKey = "primrosefork/epoch"; ///< Key of the record of the last settled epoch, which is lost with the next restoration.

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
    ~StoreEpochMonitor() override;

    /** Notes that another node knows \a revision. */
    auto revisionSeen(StoreRevision revision) -> void { this->epochSeen(epochOf(revision)); }

    /** Notes the record of the last settled epoch as the store has it; an \a entry without a revision when there is none. */
    auto recordRead(const StoreEntry& entry) -> void;

    /** Records the epoch in the store when it is settled, so that nodes which start later need not wait; called on the leader. */
    auto recordWhenSettled() -> void;

    [[nodiscard]] auto epoch() const -> StoreEpoch { return this->current; }

    /** Returns the time from which on answers show everything that the store has acknowledged. */
    [[nodiscard]] auto certainFrom() const -> TimePoint { return this->certainSince; }

    /** Emitted when an epoch has begun, or the first one was seen. */
    sigc::signal<void, StoreEpoch> changed;

    [[nodiscard]] auto stateName() const -> std::string override { return "store"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto epochSeen(StoreEpoch) -> void;

    KeyValueStore& store;
    Metrics& metrics;
    const EventLog& log;
    StoreEpoch current = 0;
    TimePoint seenAt; ///< Time at which this node first saw the epoch.
    TimePoint certainSince;
    StoreRevision recordRevision = 0; ///< Revision of the record; 0 when there is none.
    StoreEpoch recordedEpoch = 0; ///< Epoch in the record.
    bool isRecording = false;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
