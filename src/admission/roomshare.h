#pragma once

#include "backendload.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Primrosefork {

/** Returns the requests that a server with \a slots is given at once: its slots and a short queue, so that no slot idles until its node learns that it is free. */
[[nodiscard]] auto requestsAtOnce(std::int64_t slots) -> std::int64_t;

/** How many requests of one service a node may have open. */
struct RoomLimit {
    std::optional<double> openRequests; ///< Nothing when the service has so much room that no limit is needed.
    bool isReported = false; ///< Whether the limit follows the leader's answer; otherwise it is an equal share.
};

/**
 * This node's part of the room of one service.
 *
 * The free slots in the leader's answer are shared in proportion to the nodes'
 * demand, or to their waiting requests if that gives more; a node always has its share of all
 * slots. Without an answer each node has an equal share of all slots.
 */
class RoomShare {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** What is known of the service and of this node's requests to it. */
    struct Input {
        std::int64_t servers = 0; ///< Live servers in the node's own registry.
        std::int64_t slots = 0; ///< Slots of these servers.
        std::size_t nodes = 1; ///< Number of known nodes.
        std::int64_t openRequests = 0; ///< Open requests of this node.
        std::int64_t waitingRequests = 0; ///< Waiting requests of this node.
        std::vector<ZoneRoom> rooms; ///< Room in each zone, as far as it is known.
        std::string zone; ///< Zone of this node.
        std::optional<double> demandShare; ///< This node's fraction of the demand of its zone.
    };

    explicit RoomShare(std::uint64_t seed = 1);

    /** Returns the limit at \a now; parts of a request are rounded by chance, once for each report, so that nodes with small shares do not all round alike. */
    auto limit(const Input&, TimePoint now) -> RoomLimit;

private:
    auto reportedLimit(const Input&, const ZoneRoom& own, double capacity, TimePoint now) -> RoomLimit;

    std::vector<ZoneRoom> lastRooms;
    std::int64_t openAtReport = 0; ///< Open requests of this node when lastRooms was first seen.
    TimePoint reportSeen;
    std::minstd_rand random;
    double rounding = 0; ///< Fraction of a request from which the limit is rounded up, until the next report.
};

} // namespace Primrosefork
