#pragma once

#include "gatewayboard.h"
#include "gatewaysettings.h"
#include "rolloutledger.h"
#include "rolloutorders.h"
#include "rolloutplan.h"
#include "rolloutstore.h"
#include "versioncomparison.h"

#include <chrono>
#include <list>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

class EventLog;
class Metrics;

/** The last report of a node, as far as it is about roll-outs. */
struct RolloutNode {
    std::uint64_t session = 0; ///< Random number that identifies the process of the node.
    EventLoop::TimePoint receivedAt;
    std::vector<RolloutReport> rollouts;
    std::map<std::string, double> requestsPerSecond; ///< Requests of callers, by service.
};

using RolloutNodes = std::map<std::string, RolloutNode>;

/**
 * Advances the roll-outs during one leadership of this node.
 *
 * It begins with what the store's record and the nodes know. A higher share takes
 * effect only when it is recorded, a lower one at once.
 */
class RolloutLeading {
public:
    using TimePoint = EventLoop::TimePoint;

    RolloutLeading(EventLoop&, KeyValueStore&, const TrafficDocuments&, const GatewaySettings&, const GatewayBoard&, Metrics&, const EventLog&, TimePoint now);

    /** Takes the report of the node \a id. */
    auto reportReceived(const std::string& id, const RolloutNode& node) -> void;

    /** Decides on the next steps with the reports of all \a nodes; without \a isLeader it only lowers shares. */
    auto advance(const RolloutNodes& nodes, bool isLeader, TimePoint now) -> void;

    /** Returns whether all roll-outs are known. */
    [[nodiscard]] auto isReady() const -> bool { return this->hasBegun; }

    /** Returns whether another node has led since. */
    [[nodiscard]] auto isOutdated() const -> bool { return this->records.isOutdated(); }

    /** Returns the shares that are in force. */
    [[nodiscard]] auto shares(TimePoint now) const -> std::vector<RolloutShare>;

    /** Returns whether engines of \a service are replaced by a roll-out at present. */
    [[nodiscard]] auto isReplacing(const std::string& service) const -> bool;

    /** Returns whether \a server is one of those that carry the load of its service. */
    [[nodiscard]] auto carriesLoad(const BackendServer& server) const -> bool;

    [[nodiscard]] auto dumpState(TimePoint now) const -> nlohmann::json;

private:
    struct Rollout {
        Rollout(const RolloutProgress&, ExposureBounds, TimePoint now, TimePoint gatherEnd);

        RolloutPlan plan;
        RolloutLedger ledger;
        VersionComparison comparison;
        RolloutSituation situation;
        std::string stopReason; ///< Why the roll-out is rolled back by other reasons than its answers; empty when there is none.
        std::optional<RolloutStep> staged; ///< Step that is being written.
        TimePoint endedAt;
        bool isRecorded = false; ///< Whether the store has it.
        bool awaitsPublication = false; ///< Whether it was rolled back and the state is not published yet.
        bool isBeingWritten = false; ///< Whether the write in flight contains it.
    };

    auto begin(const RolloutNodes&, TimePoint now) -> void;
    auto adopt(std::vector<RolloutProgress>&, const RolloutReport&) const -> void;
    auto followOrders(TimePoint now) -> void;
    auto followOrder(const std::string& service, const OrderEntry&, TimePoint now) -> void;
    auto startRollout(const RolloutOrder&, StoreRevision, TimePoint now) -> void;
    auto assess(Rollout&, const RolloutNodes&, TimePoint now) const -> void;
    auto stage(Rollout&, TimePoint now) const -> bool;
    auto write(TimePoint now) -> void;
    auto written(TimePoint now) -> void;
    auto stepApplied(Rollout&, TimePoint now) -> void;
    auto removeEnded(TimePoint now) -> void;
    auto publishEnded(const RolloutNodes&, TimePoint now) -> void;
    [[nodiscard]] static auto isInForce(const Rollout&, const RolloutNodes&, TimePoint now) -> bool;
    [[nodiscard]] auto runningOf(const std::string& service) -> Rollout*;
    [[nodiscard]] auto latestOf(const std::string& service) -> Rollout*;
    [[nodiscard]] auto shareOf(const Rollout&) const -> double;
    [[nodiscard]] auto drainTimeOf(const Rollout&) const -> std::chrono::milliseconds;
    [[nodiscard]] auto countServers(const std::string& service, const std::string& version) const -> int;
    [[nodiscard]] auto hasOtherServers(const std::string& service, const std::string& version) const -> bool;
    auto publish(const Rollout&) -> void;

    const GatewaySettings& settings;
    const GatewayBoard& board;
    Metrics& metrics;
    const EventLog& log;
    RolloutOrders orders;
    RolloutStore records;
    TimePoint began;
    TimePoint lastWrite;
    bool hasBegun = false;
    std::list<Rollout> rollouts; ///< In the order in which they began; at most one of a service is not over.
};

} // namespace Primrosefork
