#pragma once

#include "claimmanager.h"
#include "eventloop.h"
#include "keyvaluestore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Primrosefork {

class ClaimLease;
class EventLog;

/** Dependencies and settings shared by the claims of one node. */
struct StoreClaimContext {
    EventLoop& loop;
    KeyValueStore& store;
    ClaimLease& lease;
    const EventLog& log;
    std::string node; ///< Id of this node, written into its claims.
    std::chrono::milliseconds claimTimeout; ///< How long a claim may wait for the store before the call is refused.
};

/**
 * One claim in the key-value service.
 *
 * When the reply to a write is lost, the record is read back: it holds the random
 * write id of this claim if the write took effect. A claim that is abandoned
 * while one of its writes may still take effect continues in the background
 * until it has released the record or a time limit has passed.
 */
class StoreClaim : public Claim, public std::enable_shared_from_this<StoreClaim> {
public:
    /** \a onFinished is called once, when the claim makes no further calls of the store. */
    StoreClaim(const StoreClaimContext&, ClaimRequest, ClaimManager::Handler, std::function<void()> onFinished);

    auto begin() -> void;

    /** Reports ClaimVerdict::Unavailable without calling the store. */
    auto refuse() -> void;

    auto release(std::function<void()> done) -> void override;
    auto recordAnswer(KeptAnswer) -> void override;
    auto recordUnknown() -> void override;
    auto abandon() -> void override;

    /** Returns whether the claim was granted and the outcome of its call is not in the store yet. */
    [[nodiscard]] auto isHeld() const -> bool { return this->phase == Phase::Held || this->phase == Phase::Recording; }

private:
    enum class Phase {
        Claiming, ///< A lease is requested and the record of the claim is written.
        Waiting, ///< Another node holds the claim; its outcome is awaited.
        Held, ///< The claim was granted.
        Recording, ///< The outcome of the call is being written.
        Finished,
    };

    auto acquireLease() -> void;
    auto writeClaim() -> void;
    auto claimWritten(std::error_code, const StoreSwapResult&) -> void;
    auto readBack() -> void;
    auto evaluateRecord(const StoreEntry&) -> void;
    auto claimGranted(const StoreEntry&) -> void;
    auto waitForOutcome(const StoreEntry&, const ClaimRecord&) -> void;
    auto watchOutcome() -> void;
    auto writeOutcome() -> void;
    auto outcomeWritten(std::error_code, const StoreSwapResult&) -> void;
    auto retry() -> void;
    auto retryNow() -> void;
    auto timeLimitReached() -> void;
    auto beginRecording(ClaimState) -> void;
    auto reportVerdict(ClaimVerdict, const ClaimRecord&) -> void;
    auto finish() -> void;
    [[nodiscard]] auto holdsOutcome(const StoreEntry&) const -> bool;
    [[nodiscard]] auto timeUntil(EventLoop::TimePoint) const -> std::chrono::milliseconds;

    StoreClaimContext context;
    ClaimRequest request;
    ClaimManager::Handler handler;
    std::function<void()> onFinished;
    std::function<void()> releaseDone;
    Timer limitTimer; ///< Time limit of the current phase.
    Timer retryTimer;
    ClaimRecord record; ///< Content that this claim writes to the store.
    LeaseId lease = 0;
    StoreRevision revision = 0; ///< Revision of the record to replace; 0 when it must not exist.
    EventLoop::TimePoint ownerExpiry; ///< Time until which the outcome of another node's claim is awaited; by then that node has certainly given up the call.
    std::chrono::milliseconds retryDelay { 0 }; ///< Delay before the latest retry, doubled with each one.
    Phase phase = Phase::Claiming;
    bool isWriting = false; ///< Whether a write of the claim is in flight.
    bool mayHaveWritten = false; ///< Whether a write of the claim without a reply may have taken effect or may still do so.
    bool isAbandoned = false;
};

} // namespace Primrosefork
