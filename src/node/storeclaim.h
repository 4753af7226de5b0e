#pragma once

#include "claimkeeper.h"
#include "eventloop.h"
#include "keyvaluestore.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Primrosefork {

class ClaimLease;
class EventLog;

/** What the claims of one node share. */
struct StoreClaimContext {
    EventLoop& loop;
    KeyValueStore& store;
    ClaimLease& lease;
    const EventLog& log;
    std::string node;
    std::chrono::milliseconds wait; ///< For the store, before a call is refused.
};

/**
 * One claim in the key-value service.
 *
 * A write whose reply is lost is told apart by reading the record back: it
 * carries the random write id of this claim. A claim that was given up while a
 * write of it may still take effect goes on until it has released the record or
 * a limit has passed.
 */
class StoreClaim : public Claim, public std::enable_shared_from_this<StoreClaim> {
public:
    /** \a over is called once, when the claim needs nothing any more. */
    StoreClaim(const StoreClaimContext&, ClaimRequest, ClaimKeeper::Handler, std::function<void()> over);

    auto begin() -> void;

    /** Answers ClaimVerdict::Unavailable without a call of the store. */
    auto refuse() -> void;

    auto release(std::function<void()> done) -> void override;
    auto settle(KeptAnswer) -> void override;
    auto settleUnknown() -> void override;
    auto abandon() -> void override;

    /** Returns whether a call may run whose outcome is not in the store yet. */
    [[nodiscard]] auto isHeld() const -> bool { return this->phase == Phase::Held || this->phase == Phase::Settling; }

private:
    enum class Phase {
        Claiming,
        Waiting, ///< For another node's outcome.
        Held,
        Settling,
        Over,
    };

    auto acquireLease() -> void;
    auto write() -> void;
    auto written(std::error_code, const StoreSwapResult&) -> void;
    auto readBack() -> void;
    auto examine(const StoreEntry&) -> void;
    auto granted(const StoreEntry&) -> void;
    auto waitForOutcome(const StoreEntry&, const ClaimRecord&) -> void;
    auto watchOutcome() -> void;
    auto writeOutcome() -> void;
    auto outcomeWritten(std::error_code, const StoreSwapResult&) -> void;
    auto retry() -> void;
    auto retryNow() -> void;
    auto limitReached() -> void;
    auto beginSettling(ClaimState) -> void;
    auto conclude(ClaimVerdict, const ClaimRecord&) -> void;
    auto finish() -> void;
    [[nodiscard]] auto holdsOutcome(const StoreEntry&) const -> bool;
    [[nodiscard]] auto timeUntil(EventLoop::TimePoint) const -> std::chrono::milliseconds;

    StoreClaimContext context;
    ClaimRequest request;
    ClaimKeeper::Handler handler;
    std::function<void()> over;
    std::function<void()> releaseDone;
    Timer limitTimer; ///< Of the phase.
    Timer retryTimer;
    ClaimRecord record; ///< As this claim writes it.
    LeaseId lease = 0;
    StoreRevision revision = 0; ///< Of the record that is to be replaced.
    EventLoop::TimePoint ownerEnd; ///< When the node that has the call is sure to have given up.
    std::chrono::milliseconds retryDelay { 0 };
    Phase phase = Phase::Claiming;
    bool isWriting = false; ///< A write of the claim is under way.
    bool mayHaveWritten = false; ///< A write of the claim may take effect, now or later.
    bool isAbandoned = false;
};

} // namespace Primrosefork
