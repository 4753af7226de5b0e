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
struct NodeRecord;

/**
 * Enforces the quotas of workspaces: requests units from the leader, keeps the
 * accounts of all quotas while this node leads, and grants from this node's own
 * share while no leader answers.
 */
class QuotaController : public StateSource {
public:
    /** Called with nothing when the units were granted, else with the time after which to retry. */
    using Handler = std::function<void(std::optional<std::chrono::milliseconds> wait)>;

    QuotaController(EventLoop&, const GatewaySettings&, GatewayBoard&, Metrics&, const EventLog&);

    /** Requests \a units of the quota of \a workspace; \a handler is called immediately or within some tens of milliseconds. */
    auto request(const TrafficWorkspace& workspace, double units, Handler handler) -> void;

    /** Applies the leader's reply to a request of this node. */
    auto applyReply(const QuotaReply&) -> void;

    /** Returns the reply to a request that another node sent to this one, and debits the account when it is granted. */
    [[nodiscard]] auto replyTo(const QuotaRequest&) -> QuotaReply;

    /** Updates the leader's accounts from the reports of \a nodes; called on the leader with each report of its own. */
    auto updateAccounts(const std::map<std::string, NodeRecord>& nodes, std::size_t recordedNodes) -> void;

    /** Adds the up time and the use of workspaces' quotas to this node's report. */
    auto addToReport(NodeReport&) -> void;

    /** Emitted with a request that is to be sent to the leader. */
    sigc::signal<void, const QuotaRequest&> requestIssued;

    [[nodiscard]] auto stateName() const -> std::string override { return "quotas"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    /** A request that waits for the leader's reply. */
    struct Pending {
        TrafficWorkspace workspace;
        double units = 0;
        Handler handler;
        EventLoop::TimePoint sentAt;
        bool isRetried = false;
    };

    /** The units that one node granted without the leader, as far as they are debited from the accounts. */
    struct LocalGrants {
        std::uint64_t session = 0;
        std::map<std::string, double> units; ///< Total since the node started, by workspace.
    };

    auto decide(const TrafficWorkspace&, double units, const QuotaReply&) -> std::optional<std::chrono::milliseconds>;
    auto decideLocally(const TrafficWorkspace&, double units) -> std::optional<std::chrono::milliseconds>;
    auto checkPending() -> void;
    auto shareChanged(const FleetShare&) -> void;
    auto leadershipChanged(const Leadership&) -> void;
    auto openAccounts(EventLoop::TimePoint now) -> void;
    auto applyHistory(const std::map<std::string, NodeRecord>&, std::size_t recordedNodes, EventLoop::TimePoint now) -> void;
    auto debitLocalGrants(const std::map<std::string, NodeRecord>&) -> void;
    [[nodiscard]] auto keepsAccounts() const -> bool;
    [[nodiscard]] auto hasHistory(const std::map<std::string, NodeRecord>&, std::size_t recordedNodes, EventLoop::TimePoint now) const -> bool;

    const GatewaySettings& settings;
    GatewayBoard& board;
    Metrics& metrics;
    const EventLog& log;
    QuotaLimiter localLimiter; ///< Grants from this node's own share.
    QuotaLedger ledger; ///< Accounts of all nodes, used on the leader.
    Timer pendingTimer;
    std::map<std::uint32_t, Pending> pending;
    std::uint32_t nextNumber = 1;
    std::map<std::string, double> requestedPerSecond; ///< Smoothed rate of quota units that callers requested, by workspace.
    std::map<std::string, LocalGrants> debitedGrants; ///< Grants of each node that are debited, by node id.
    EventLoop::TimePoint startTime;
    EventLoop::TimePoint lastReport;
    EventLoop::TimePoint leaderSince; ///< Time at which the current leader became known.
    EventLoop::TimePoint lastLeaderAnswer; ///< Time of the leader's last answer to a report or reply to a request, or at which it became known.
    std::uint64_t fence = 0; ///< Fence of the leadership under which the accounts were opened.
    std::uint64_t coordinationFence = 0; ///< Fence with which the coordination began in which the accounts were opened.
    EventLoop::TimePoint leadingSince;
    std::size_t expectedNodes = 0; ///< Number of live nodes by the last leader's word, when this node took over.
    bool hasCeased = true; ///< Another node may have kept the accounts since this node's last update.
    bool isHistoryApplied = false; ///< The accounts include the units granted before this leader took over.
    BootClock::time_point lastUpdate; ///< Time of the last update of the accounts.
    std::uint64_t term = 0; ///< Term of the last known leader.
};

} // namespace Primrosefork
