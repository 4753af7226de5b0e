#pragma once

#include "keyvaluestore.h"
#include "rolloutorder.h"
#include "rolloutrecord.h"
#include "trafficdocuments.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * The leader's access to what the store has of roll-outs: the record for the next
 * leader, and the states that are published for operators.
 *
 * All writes are compare-and-swap. When another node has written the record, this
 * object is outdated and writes no more.
 */
class RolloutStore {
public:
    RolloutStore(KeyValueStore&, const TrafficDocuments&);
    ~RolloutStore();
    RolloutStore(const RolloutStore&) = delete;
    auto operator=(const RolloutStore&) -> RolloutStore& = delete;

    /** Reads the record unless that is in progress or done. */
    auto load() -> void;

    [[nodiscard]] auto isLoaded() const -> bool { return this->hasRecord; }

    /** Returns whether another node has written the record since it was read. */
    [[nodiscard]] auto isOutdated() const -> bool { return this->wasOverwritten; }

    /** Returns the roll-outs in the record as it was read. */
    [[nodiscard]] auto rollouts() const -> const std::vector<RolloutProgress>& { return this->loaded; }

    /** Returns whether a record can be written now. */
    [[nodiscard]] auto mayWrite() const -> bool { return this->hasRecord && !this->isWriting && !this->wasOverwritten; }

    /** Writes \a rollouts as the record; \a onWritten is called only when they are durable. */
    auto write(const std::vector<RolloutProgress>& rollouts, std::function<void()> onWritten) -> void;

    /** Publishes \a status after those that were passed before. */
    auto publish(const RolloutStatus& status) -> void;

    /** Goes on with what has failed; to be called regularly. */
    auto retry() -> void;

private:
    auto recordRead(const std::optional<StoreEntry>&) -> void;
    auto writeStatus(const StoreEntry& present) -> void;

    KeyValueStore& store;
    const TrafficDocuments& documents;
    std::vector<RolloutProgress> loaded;
    std::string recordText; ///< Record as last read or written.
    std::string attemptedText; ///< Record of a write whose outcome is unknown.
    StoreRevision recordRevision = 0; ///< Revision of the record; 0 when there is none.
    bool hasRecord = false; ///< The record was read.
    bool isReading = false;
    bool isWriting = false;
    bool needsRevision = false; ///< A write failed, so the revision is not known.
    bool wasOverwritten = false;
    std::deque<RolloutStatus> statuses; ///< States that are still to be published.
    bool isPublishing = false;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
