#pragma once

#include "fleetmessage.h"
#include "rolloutleading.h"
#include "statesource.h"

#include <memory>
#include <string>

namespace Primrosefork {

/**
 * Moves services to other versions as operators order it (docs/design/073-rollouts.md).
 *
 * On the leader it follows the orders and decides on each step. On all nodes it
 * takes over the leader's word, which RolloutRouting holds.
 */
class RolloutController : public StateSource {
public:
    RolloutController(EventLoop&, KeyValueStore&, const TrafficDocuments&, const GatewaySettings&, GatewayBoard&, Metrics&, const EventLog&);

    /** Starts the regular decisions; without bounds on the exposure nothing is done. */
    auto begin() -> void;

    /** Takes the \a report of the process \a session of a node on the leader. */
    auto reportReceived(const std::string& nodeId, std::uint64_t session, const NodeReport& report) -> void;

    /** Adds the roll-outs to the leader's answer. */
    auto addToAnswer(FleetAnswer&) const -> void;

    /** Applies the leader's answer to a report that was sent at \a reportSent. */
    auto applyAnswer(const FleetAnswer&, BootClock::time_point reportSent) -> void;

    /** Returns whether engines of \a service are replaced by a roll-out at present; they are then not ordered away. */
    [[nodiscard]] auto isReplacing(const std::string& service) const -> bool;

    /** Returns whether \a server is one of those that carry the load of its service, rather than one that a roll-out starts or stops. */
    [[nodiscard]] auto carriesLoad(const BackendServer& server) const -> bool;

    [[nodiscard]] auto stateName() const -> std::string override { return "rollouts"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto tick() -> void;
    [[nodiscard]] auto isEnabled() const -> bool { return this->settings.bounds.exposureShare.has_value(); }

    EventLoop& loop;
    KeyValueStore& store;
    const TrafficDocuments& documents;
    const GatewaySettings& settings;
    GatewayBoard& board;
    Metrics& metrics;
    const EventLog& log;
    SectionWriter<RolloutsInForce> inForce;
    Timer timer;
    BootClock::time_point lastReportSent; ///< Time of the report that the newest answer in force belongs to.
    RolloutNodes nodes; ///< Last reports of all nodes; complete on the leader only.
    std::unique_ptr<RolloutLeading> leading; ///< Set while this node leads, or coordinates after it has led.
    std::uint64_t fence = 0; ///< Fence of the leadership that it belongs to.
};

} // namespace Primrosefork
