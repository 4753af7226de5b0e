#pragma once

#include "rolloutreport.h"
#include "routingpolicy.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Primrosefork {

/** Returns the short name of a route in reports. */
[[nodiscard]] auto rolloutRouteKey(const std::string& route) -> std::uint32_t;

/**
 * Counts on a node what callers requested and how servers answered, for each
 * roll-out that the node knows of.
 */
class RolloutCounter {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** What is known of an attempt when it is sent. */
    struct Attempt {
        std::string service;
        std::string version; ///< Version of the server.
        std::uint64_t serverHash = 0; ///< Hash of the server's id.
        std::uint32_t route = 0; ///< See rolloutRouteKey().
        bool isStream = false;
        bool isCold = false; ///< Whether the server has to prefill nearly the whole prompt.
        TimePoint sent;
        TimePoint firstEvent; ///< The clock's epoch before the first event.
        TimePoint lastEvent;
        std::int64_t events = 0;
    };

    /** Sets the roll-outs that the leader named last; counts of others are dropped. */
    auto setRollouts(const std::vector<RolloutShare>& shares, TimePoint asOf) -> void;

    auto requestReceived(const std::string& service) -> void;
    auto attemptSent(std::uint64_t id, Attempt attempt) -> void;
    auto eventReceived(std::uint64_t id, TimePoint now) -> void;

    /** Returns the attempt \a id, which has ended, after counting it. */
    auto attemptEnded(std::uint64_t id, AttemptEnd end, TimePoint now) -> Attempt;

    /** Returns the reports for the leader. */
    [[nodiscard]] auto reports(TimePoint now) const -> std::vector<RolloutReport>;

    /** Returns whether \a end is a failure of the server. */
    [[nodiscard]] static auto isFailure(AttemptEnd end) -> bool;

private:
    using RouteKey = std::pair<std::uint32_t, RolloutAspect>;

    struct Account {
        RolloutReport report; ///< Without the routes and the open requests.
        TimePoint deadline;
        std::map<RouteKey, RouteCounts> routes;
    };

    static auto countEnd(Account&, const Attempt&, AttemptEnd, TimePoint now) -> void;
    static auto sideOf(Account&, const Attempt&, RolloutAspect) -> SideCounts*;

    std::vector<Account> accounts;
    std::unordered_map<std::uint64_t, Attempt> open;
};

} // namespace Primrosefork
