#pragma once

#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "statesource.h"
#include "storewatcher.h"

#include <memory>
#include <random>
#include <string>

namespace Primrosefork {

class EventLog;

/**
 * Elects one node at a time as the leader, by a key in the store under a lease.
 *
 * The fence is the revision of the write that acquired the key, so it increases
 * with each change of the leader. A leader counts its lease from the time before
 * each renewal was sent, on a clock that keeps running while the machine is
 * suspended.
 */
class LeadershipController : public StateSource {
public:
    LeadershipController(EventLoop&, KeyValueStore&, const GatewaySettings&, GatewayBoard&, const EventLog&);
    ~LeadershipController() override;

    /** Begins with \a listing, which contains the leader's key if there is one and was requested from the store at \a requestedAt. */
    auto beginWith(const StoreListing& listing, BootClock::time_point requestedAt) -> void;

    /** Notes that the leader of \a term answered this node, so that its key is still in place. */
    auto leaderAnswered(std::uint64_t term) -> void;

    /** Gives up the leadership because the store came back from a copy in \a epoch, with which leases may be lost, and stands for it again. */
    auto storeRestored(StoreEpoch epoch) -> void;

    /** Gives up the leadership for good, so that another node can become the leader at once. */
    auto resign() -> void;

    /** Ends this node's leadership after its fence was refused as older than that of a newer leader. */
    auto superseded() -> void;

    /** Returns the watcher of the leader's key, whose changes observers relay. */
    [[nodiscard]] auto storeWatcher() -> StoreWatcher& { return this->watcher; }

    [[nodiscard]] auto stateName() const -> std::string override { return "leadership"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto leaderKeyRead(const StoreEntry&) -> void;
    auto leaderKeyRemoved() -> void;
    auto scheduleCandidacy(std::chrono::milliseconds delay) -> void;
    [[nodiscard]] auto candidacyDelay() -> std::chrono::milliseconds;
    auto campaign() -> void;
    auto acquireKey(LeaseId, BootClock::time_point requestedAt) -> void;
    auto resolveAcquisition(StoreRevision replaced, BootClock::time_point requestedAt) -> void;
    auto becomeLeader(StoreRevision fence, StoreRevision replaced, BootClock::time_point requestedAt) -> void;

    /** Returns whether no other node can have led since this one did, when its key with the revision \a replaced, or none, was replaced. */
    [[nodiscard]] auto isContinued(StoreRevision replaced) const -> bool;

    /** Returns whether the store may have ended the lease of this node's last leadership. */
    [[nodiscard]] auto isLeaseOver() const -> bool { return BootClock::now() >= this->leaseExpiry; }
    auto leaseConfirmed(BootClock::time_point leaseStart) -> void;
    auto renew() -> void;
    auto stepDown(const char* reason) -> void;

    /** Publishes that no leader is known; the last one coordinates for a while if \a keepsCoordinator. */
    auto publishVacancy(bool keepsCoordinator) -> void;
    [[nodiscard]] auto keyValue() const -> std::string;

    /** Returns whether \a entry is the key as the present attempt to acquire it wrote it, so that it is bound to the present lease. */
    [[nodiscard]] auto isKeyOfAttempt(const StoreEntry& entry) const -> bool;
    [[nodiscard]] auto leaseEnd(BootClock::time_point leaseStart) const -> BootClock::time_point;

    KeyValueStore& store;
    const GatewaySettings& settings;
    const GatewayBoard& board;
    const EventLog& log;
    SectionWriter<Leadership> leadership;
    StoreWatcher watcher;
    Timer candidacyTimer;
    Timer renewTimer;
    std::minstd_rand random;
    std::string incarnation; ///< Random text that distinguishes this process from earlier ones of the same node.
    StoreRevision previousKeyRevision = 0; ///< Revision of the key that an earlier process of this node left; 0 when there is none.
    LeaseId lease = 0;
    BootClock::time_point leaseExpiry; ///< Time until which the store keeps the lease of the last leadership at least.
    StoreRevision ownKey = 0; ///< Revision that this node's key has if no other node has led since; 0 when one has, or may have.
    std::uint64_t coordinationFence = 0; ///< Fence of the first leadership since which no other node can have led.
    bool isCampaigning = false; ///< An attempt to acquire the key is in flight.
    bool hasResigned = false; ///< This node is stopping and does not lead any more.
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
