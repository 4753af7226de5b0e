#pragma once

#include "backendserver.h"
#include "loadanswer.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/**
 * The load that all nodes put on backend servers, summed on the leader from the
 * nodes' reports.
 *
 * The sums follow each report at once. Which servers are listed, the rooms and the nodes that
 * count change with update(), so that an answer costs little however many servers there are.
 */
class LoadAccount {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    static constexpr std::size_t maxReportedServers = 64; ///< Servers that one report lists at most.
    static constexpr std::size_t maxBusiestServers = 48; ///< Servers of all services together that are listed as busy.
    static constexpr std::size_t maxAnsweredRooms = 16; ///< Rooms in one answer; when there are more, those of the other zones are left out.
    static constexpr std::size_t minNodes = 4; ///< Nodes below which a node's own observations cover the load well enough.

    /** Discards all reports, when this node begins to lead at \a now. */
    auto begin(TimePoint now) -> void;

    /** Sets the registered \a servers; those that are leaving take no new requests and are not counted. */
    auto setServers(const BackendServers& servers) -> void;

    /** Replaces the load that \a node reported before. */
    auto reportReceived(const std::string& node, NodeLoad load, TimePoint now) -> void;

    /** Drops nodes without a recent report and selects the busiest servers; \a expectedNodes is the number of nodes in the store's record, 0 without one. */
    auto update(std::size_t expectedNodes, TimePoint now) -> void;

    /** Returns whether enough nodes have reported, or enough time has passed, for the sums to be used. */
    [[nodiscard]] auto isComplete() const -> bool { return this->hasEnoughReports; }

    /** Returns the load of all nodes at the servers of \a service that are above its mean, as far as they are among the busiest of all services. */
    [[nodiscard]] auto busiest(const std::string& service) const -> std::vector<BackendLoad>;

    /** Returns the capacity and load of each service in each zone as of the last update; empty until isComplete(). */
    [[nodiscard]] auto rooms() const -> const std::vector<ZoneRoom>& { return this->zoneRooms; }

    /** Returns the answer to the last report of \a node, or nothing until isComplete(), or if it has not reported. */
    [[nodiscard]] auto answerFor(const std::string& node) const -> std::optional<LoadAnswer>;

    /** Returns the number of nodes that count. */
    [[nodiscard]] auto nodeCount() const -> std::size_t { return this->nodes.size(); }

    /** Returns the number of servers that are listed as busy. */
    [[nodiscard]] auto listedCount() const -> std::size_t { return this->listed.size(); }

private:
    /** A live server. */
    struct Server {
        std::uint32_t key = 0;
        std::string service;
        std::string zone;
        std::int64_t slots = 0;
    };

    /** The load of one server. */
    struct Load {
        std::int64_t openRequests = 0;
        std::int64_t pendingPrefillTokens = 0;
    };

    /** The load of all live servers of one service. */
    struct ServiceTotal {
        std::int64_t servers = 0;
        Load load;
        double requestsPerSecond = 0; ///< Of callers at all nodes.

        [[nodiscard]] auto meanCost() const -> double;
    };

    /** The last report of one node. */
    struct Node {
        TimePoint reportedAt;
        std::string zone;
        std::unordered_map<std::uint32_t, Load> loads; ///< By key of the server.
        std::vector<CallerDemand> demand;
    };

    auto addToSums(const Node&, std::int64_t sign) -> void;
    auto selectBusiest() -> void;
    auto updateRooms() -> void;
    [[nodiscard]] auto roomsFor(const std::string& zone) const -> std::vector<ZoneRoom>;
    [[nodiscard]] auto othersAtBusiest(const Node&) const -> std::vector<BackendLoad>;
    [[nodiscard]] auto meansOfOthers(const Node&) const -> std::vector<MeanLoad>;
    [[nodiscard]] auto sumAt(std::uint32_t key) const -> BackendLoad;

    std::vector<Server> servers;
    std::unordered_map<std::uint32_t, std::string> serviceByKey;
    std::map<std::string, Node> nodes;
    std::unordered_map<std::uint32_t, Load> sums; ///< Load of all nodes, by key of the server.
    std::map<std::string, ServiceTotal> totals; ///< As of the last update, by service.
    std::vector<std::uint32_t> listed; ///< Keys of the busiest servers, the largest excess first.
    std::vector<ZoneRoom> zoneRooms;
    TimePoint begunAt;
    bool hasEnoughReports = false;
};

} // namespace Primrosefork
