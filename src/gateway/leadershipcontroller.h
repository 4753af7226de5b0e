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
 * Makes one node at a time the leader, by a key of the store under a lease.
 *
 * The fence is the revision of the write that took the key, so that it goes up
 * with each change of the leader. A leader counts its lease from before each
 * renewal was sent, on a clock that goes on while the machine is suspended.
 */
class LeadershipController : public StateSource {
public:
    LeadershipController(EventLoop&, KeyValueStore&, const GatewaySettings&, GatewayBoard&, const EventLog&);
    ~LeadershipController() override;

    auto begin() -> void;

    /** The leader answered this node. */
    auto leaderAnswered() -> void { this->watcher.proved(); }

    /** Gives the leadership up, so that another node can take it at once. */
    auto leave() -> void;

    /** Ends this node's leadership, after a newer leader has acted. */
    auto superseded() -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "leadership"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto keyShown(const StoreEntry&) -> void;
    auto keyGone() -> void;
    auto scheduleCandidacy() -> void;
    auto stand() -> void;
    auto takeKey(LeaseId, BootClock::time_point granted) -> void;
    auto settleTake(BootClock::time_point granted) -> void;
    auto become(StoreRevision fence, BootClock::time_point granted) -> void;
    auto renew() -> void;
    auto stepDown(const char* reason) -> void;
    [[nodiscard]] auto keyValue() const -> std::string;
    [[nodiscard]] auto leaseEnd(BootClock::time_point counted) const -> BootClock::time_point;

    KeyValueStore& store;
    const GatewaySettings& settings;
    const EventLog& log;
    SectionWriter<Leadership> leadership;
    StoreWatcher watcher;
    Timer candidacyTimer;
    Timer renewTimer;
    std::minstd_rand random;
    std::string incarnation; ///< Tells this process from an earlier one of the same node.
    StoreRevision ownEarlier = 0; ///< Of the key that the process before this one on the node left; 0 is none.
    LeaseId lease = 0;
    bool isStanding = false;
    bool hasLeft = false;
    std::shared_ptr<bool> isAlive;
};

} // namespace Primrosefork
