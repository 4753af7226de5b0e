#pragma once

#include "eventloop.h"
#include "fleetmessage.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "quotaledger.h"
#include "quotalimiter.h"
#include "statesource.h"

#include <functional>
#include <map>
#include <optional>
#include <sigc++/signal.h>
#include <string>

namespace Primrosefork {

class EventLog;
class Metrics;
struct KnownNode;

/**
 * Holds workspaces to their quotas: asks the leader's account, keeps that
 * account on the leader, and grants from this node's own part while no leader
 * answers.
 */
class QuotaController : public StateSource {
public:
    /** Called with nothing when the units were granted, else with the time after which to ask again. */
    using Handler = std::function<void(std::optional<std::chrono::milliseconds> wait)>;

    QuotaController(EventLoop&, const GatewaySettings&, GatewayBoard&, Metrics&, const EventLog&);

    /** Asks for \a units of \a workspace; \a handler is called at once or within some tens of milliseconds. */
    auto request(const TrafficWorkspace& workspace, double units, Handler handler) -> void;

    /** Takes the leader's answer to a question of this node. */
    auto takeGrant(const QuotaGrant&) -> void;

    /** Returns the answer to a question that came to this node. */
    [[nodiscard]] auto answer(const QuotaQuestion&) -> QuotaGrant;

    /** Brings the leader's account up to date with what the nodes told; called on the leader with each round of reports. */
    auto lead(const std::map<std::string, KnownNode>& nodes, std::size_t recordedNodes) -> void;

    /** Adds what this node tells the leader of its workspaces' quotas. */
    auto addTo(NodeReport&) -> void;

    /** Emitted with a question for the leader. */
    sigc::signal<void, const QuotaQuestion&> asked;

    [[nodiscard]] auto stateName() const -> std::string override { return "quotas"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** A request that waits for the leader. */
    struct Pending {
        TrafficWorkspace workspace;
        double units = 0;
        Handler handler;
        EventLoop::TimePoint asked;
        bool isRepeated = false;
    };

    /** What the leader took over of one node's own grants. */
    struct OwnGrants {
        std::uint64_t session = 0;
        std::map<std::string, double> units;
    };

    auto settle(const TrafficWorkspace&, double units, const QuotaGrant&) -> std::optional<std::chrono::milliseconds>;
    auto grantOwn(const TrafficWorkspace&, double units) -> std::optional<std::chrono::milliseconds>;
    auto checkPending() -> void;
    auto shareChanged(const FleetShare&) -> void;
    auto leadershipChanged(const Leadership&) -> void;
    auto openAccounts(EventLoop::TimePoint now) -> void;
    auto takeHistory(const std::map<std::string, KnownNode>&, std::size_t recordedNodes, EventLoop::TimePoint now) -> void;
    auto debitOwnGrants(const std::map<std::string, KnownNode>&) -> void;
    [[nodiscard]] auto isLeading() const -> bool;

    const GatewaySettings& settings;
    GatewayBoard& board;
    Metrics& metrics;
    const EventLog& log;
    QuotaLimiter own;
    QuotaLedger ledger;
    Timer pendingTimer;
    std::map<std::uint32_t, Pending> pending;
    std::uint32_t nextNumber = 1;
    std::map<std::string, double> askedPerSecond; ///< Units of each workspace's quota, smoothed.
    std::map<std::string, OwnGrants> debited; ///< By node.
    EventLoop::TimePoint begun;
    EventLoop::TimePoint lastReport;
    EventLoop::TimePoint leaderSince;
    EventLoop::TimePoint leaderHeard; ///< An answer to a report or a question.
    std::uint64_t fence = 0; ///< Under which the accounts were opened.
    EventLoop::TimePoint leadingSince;
    bool hasHistory = false; ///< The accounts go by what the nodes let through before.
    std::string leaderId;
};

} // namespace Primrosefork
