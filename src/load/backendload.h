#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Primrosefork {

/**
 * Live servers of a service up to which nodes share its load and hold its requests. The leader lists 48 servers at most, and a choice among
 * more than four times as many would rest on a small and late part of their load.
 */
constexpr std::int64_t maxSharedServers = 192;

/** The load that one node, or several nodes together, put on a backend server. */
struct BackendLoad {
    std::uint32_t server = 0; ///< Key of the server, see loadKeyOf().
    std::int64_t openRequests = 0; ///< Requests that were sent to the server and have not ended.
    std::int64_t pendingPrefillTokens = 0; ///< Prompt tokens of these requests that the server has yet to prefill.

    auto operator==(const BackendLoad&) const -> bool = default;
};

/** Returns the short key of the server \a id in messages between nodes; two servers may share a key, which adds up their loads. */
[[nodiscard]] auto loadKeyOf(const std::string& id) -> std::uint32_t;

/** Capacity and load of one service in one zone, over all nodes. */
struct ZoneRoom {
    std::string service;
    std::string zone;
    std::int64_t servers = 0; ///< Live servers in the zone.
    std::int64_t slots = 0; ///< Requests that these servers run at once.
    std::int64_t openRequests = 0; ///< Requests that were sent to these servers and have not ended.
    std::int64_t pendingPrefillTokens = 0; ///< Prompt tokens of these requests that have yet to be prefilled.
    std::int64_t waitingRequests = 0; ///< Requests that wait at nodes of the zone.
    double requestsPerSecond = 0; ///< Requests that callers send to nodes of the zone per second.

    auto operator==(const ZoneRoom&) const -> bool = default;
};

/** What a node knows of the capacity and load of services over all nodes. */
class RoomSource {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~RoomSource() = default;

    /** Returns the room of \a service in \a zone, or nothing if it is not known or its report is too old at \a now. */
    [[nodiscard]] virtual auto room(const std::string& service, const std::string& zone, TimePoint now) const -> std::optional<ZoneRoom> = 0;

    /** Returns this node's fraction of the requests to \a service in its own zone, or nothing if it is not known at \a now. */
    [[nodiscard]] virtual auto demandShare(const std::string& service, TimePoint now) const -> std::optional<double> = 0;
};

} // namespace Primrosefork
