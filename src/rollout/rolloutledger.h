#pragma once

#include "rolloutreport.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Primrosefork {

/**
 * Sums the nodes' reports about one roll-out on the leader.
 *
 * Reports hold totals, so that one that is lost costs nothing. What a process
 * reported last still counts after it has ended. Reports of the first moments of a
 * leadership are contained in the counts that the leader took over.
 */
class RolloutLedger {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Takes over \a received and \a sent requests, of which nodes report their parts until \a gatherEnd. */
    RolloutLedger(std::uint64_t received, std::uint64_t sent, TimePoint gatherEnd);

    /** Takes the \a report of the process \a session of a node. */
    auto reportReceived(const std::string& nodeId, std::uint64_t session, const RolloutReport& report, TimePoint now) -> void;

    /** Returns the answers that were reported since the last call. */
    auto takeAnswers() -> std::vector<RouteCounts>;

    [[nodiscard]] auto received() const -> std::uint64_t { return this->receivedTotal; }
    [[nodiscard]] auto sent() const -> std::uint64_t { return this->sentTotal; }

    /** Returns the requests that are open at servers of other versions, as far as nodes reported them since \a from. */
    [[nodiscard]] auto openAtEarlier(TimePoint from) const -> std::uint64_t;

    /** Returns the longest time of an answer of the other versions; 0 when none is known. */
    [[nodiscard]] auto longestAnswer() const -> std::chrono::milliseconds { return this->longest; }

    /** Returns how many servers of the new version failed; fewer when their hashes are equal. */
    [[nodiscard]] auto failedServers() const -> int;

    /** Returns whether \a nodeId reported that \a step with \a share, or a later step, is in force. */
    [[nodiscard]] auto isInForce(const std::string& nodeId, std::uint32_t step, double share) const -> bool;

private:
    struct Node {
        std::uint64_t session = 0;
        RolloutReport report; ///< Last report of that process.
        TimePoint receivedAt;
    };

    using RouteKey = std::pair<std::uint32_t, RolloutAspect>;

    auto addAnswers(const RolloutReport& report, const RolloutReport& before) -> void;

    std::uint64_t receivedTotal;
    std::uint64_t sentTotal;
    std::uint64_t unreportedReceived; ///< Part of the counts taken over that no node has reported yet.
    std::uint64_t unreportedSent;
    TimePoint gatherEnd;
    std::map<std::string, Node> nodes;
    std::map<RouteKey, RouteCounts> answers; ///< Answers since the last call of takeAnswers().
    std::chrono::milliseconds longest { 0 };
    std::uint32_t failed = 0;
};

} // namespace Primrosefork
