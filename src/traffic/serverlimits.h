#pragma once

#include "backendserver.h"
#include "bootclock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/** What a server stated in an answer about the rate of requests that it takes from all nodes together. */
struct LimitStatement {
    std::uint64_t server = 0; ///< Key of the server, see serverKey().
    float perSecond = 0; ///< Requests per second; 0 when the server named no limit.
    std::chrono::milliseconds age { 0 }; ///< Time since the answer.
};

/** Requests that one node may send to a server that names a limit. */
struct ServerPermits {
    std::uint64_t server = 0;
    std::uint16_t count = 0;
};

/** Returns a number that identifies \a server as started at present, the same on every node. */
[[nodiscard]] auto serverKey(const BackendServer& server) -> std::uint64_t;

/** Returns the digest of a single limit; the digest of several is their exclusive or. */
[[nodiscard]] auto limitDigest(std::uint64_t server, float perSecond) -> std::uint64_t;

/**
 * The limits of requests that servers name in their answers, as one node keeps them.
 *
 * A limit is shared by all nodes, so a node sends a request to such a server only
 * with a permit of the leader, which expires soon. Without the leader's answers the
 * node issues permits to itself at a part of an equal share of the limit.
 */
class ServerLimits {
public:
    using TimePoint = BootClock::time_point;

    static constexpr float minPerSecond = 0.1F; ///< A lower limit counts as this one, since only an answer shows that a limit has ended.
    static constexpr float maxPerSecond = 1'000'000;
    static constexpr std::chrono::milliseconds permitValidity { 1'200 }; ///< Two reports of a node, and time for an answer that is late.
    static constexpr double localPart = 0.25; ///< Part of an equal share that a node uses without the leader.
    static constexpr std::chrono::milliseconds statementRepeatTime { 1'500 }; ///< Time for which a statement is reported, so that lost reports do not matter.
    static constexpr std::chrono::seconds retentionTime { 60 }; ///< Time for which a statement is kept after the server is gone or has withdrawn its limit.

    /** \a seed decides when this node issues permits to itself. */
    explicit ServerLimits(std::uint64_t seed);

    /** Records that an answer of \a server named the limit \a perSecond, or none. Returns whether the limit changed. */
    auto stated(const BackendServer& server, std::optional<double> perSecond, TimePoint now) -> bool;

    /**
     * Applies the statements that the leader knew at \a moment or later. If they are \a complete, servers
     * that are not among them and have named no limit since have none.
     */
    auto learned(std::span<const LimitStatement> statements, bool complete, TimePoint moment) -> void;

    /** Adds permits of the leader, which answered a report that was sent at \a reportSent; answers that come twice or late are ignored. */
    auto granted(std::span<const ServerPermits> permits, TimePoint reportSent) -> void;

    /** Sets the number of nodes that share the limits. */
    auto setNodeCount(std::size_t nodes) -> void { this->nodeCount = nodes; }

    /** Returns whether a request may be sent to \a server. */
    [[nodiscard]] auto hasPermit(const BackendServer& server, TimePoint now) -> bool;

    /** Uses up a permit for \a server; one that is missing is owed, and taken off those granted later. Returns whether there was one, or no need of it. */
    auto requestSent(const BackendServer& server, TimePoint now) -> bool;

    /** Returns the limit that \a server named last, if any. */
    [[nodiscard]] auto limitOf(const BackendServer& server) const -> std::optional<double>;

    /** Returns the number of permits that are left for \a server. */
    [[nodiscard]] auto permitsFor(const BackendServer& server, TimePoint now) const -> int;

    /** Returns what the servers stated lately, for the leader; \a all adds every limit that is known, for a leader that knows none yet. */
    [[nodiscard]] auto statements(bool all, TimePoint now) const -> std::vector<LimitStatement>;

    /** Returns a digest of all limits that are known. */
    [[nodiscard]] auto digest() const -> std::uint64_t;

    /** Discards statements of servers that are not in \a servers any more, and withdrawn ones, after the retention time. */
    auto retain(const BackendServers& servers, TimePoint now) -> void;

    /** Returns the number of servers of which a statement is kept. */
    [[nodiscard]] auto size() const -> std::size_t { return this->states.size(); }

private:
    struct Grant {
        TimePoint validUntil;
        int count = 0;
    };

    struct State {
        float perSecond = 0; ///< 0 when the server has withdrawn its limit.
        TimePoint statedAt;
        std::deque<Grant> grants; ///< The first to expire first.
        int owed = 0; ///< Requests sent without a permit.
        TimePoint nextLocal; ///< Time of the next permit that the node issues to itself.
    };

    auto setLimit(State&, float perSecond, TimePoint statedAt) -> bool;
    auto addGrant(State&, const Grant&) -> void;
    auto issueLocally(State&, TimePoint now) -> void;
    auto limited(const BackendServer&, TimePoint now) -> State*;

    std::unordered_map<std::uint64_t, State> states; ///< By key of the server.
    std::minstd_rand random;
    std::size_t nodeCount = 1;
    TimePoint lastAnswer; ///< Time at which the last report was sent that the leader answered.
    TimePoint lastRetain;
};

} // namespace Primrosefork
