#pragma once

#include "eventloop.h"
#include "fleetmessage.h"
#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "loadaccount.h"
#include "loadview.h"
#include "statesource.h"

#include <chrono>
#include <string>
#include <vector>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Shares the load of backend servers with the other nodes: reports this node's part, keeps the
 * sums while this node is the coordinator, and holds what the coordinator answered
 * (docs/design/070-shared-load.md).
 */
class SharedLoadController : public StateSource {
public:
    SharedLoadController(const GatewaySettings&, GatewayBoard&, Metrics&, const EventLog&);

    /** Returns whether the settings switch the sharing on; without it reports and answers hold no loads. */
    [[nodiscard]] auto isShared() const -> bool { return this->settings.sharesLoad; }

    /** Adds the \a loads of this node, the largest first, to \a report, whose services are complete. */
    auto addToReport(NodeReport& report, std::vector<BackendLoad> loads) -> void;

    /** Applies the report of the node \a nodeId on the coordinator. */
    auto reportReceived(const std::string& nodeId, const NodeReport&) -> void;

    /** Updates the sums on the coordinator; called with each report of its own. \a recordedNodes is the number of nodes in the store's record. */
    auto updateAccount(std::size_t recordedNodes) -> void;

    /** Adds the loads to the coordinator's answer to the last report of the node \a nodeId. */
    auto addToAnswer(FleetAnswer&, const std::string& nodeId) const -> void;

    /** Applies the answer to a report that this node sent \a age ago. */
    auto applyAnswer(const FleetAnswer&, std::chrono::nanoseconds age) -> void;

    /** Returns what this node knows of the load of the other nodes. */
    [[nodiscard]] auto view() const -> const LoadView& { return this->loadView; }

    /** Returns the sums over all nodes; they are kept on the coordinator only. */
    [[nodiscard]] auto account() const -> const LoadAccount& { return this->loadAccount; }

    [[nodiscard]] auto stateName() const -> std::string override { return "shared_load"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto leadershipChanged(const Leadership&) -> void;
    auto checkView(EventLoop::TimePoint now) -> void;

    const GatewaySettings& settings;
    GatewayBoard& board;
    Metrics& metrics;
    const EventLog& log;
    LoadView loadView;
    LoadAccount loadAccount;
    std::vector<CallerDemand> demand; ///< In the last report of this node.
    bool isCoordinator = false;
    std::uint64_t coordinationFence = 0; ///< Fence with which this node's coordination began.
    bool hasChangedServers = true; ///< The registered servers changed since the last update of the account.
    bool hasView = false; ///< The view was in use at the last check.
};

} // namespace Primrosefork
