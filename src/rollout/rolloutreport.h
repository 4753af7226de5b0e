#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Primrosefork {

/** How far a roll-out is; a later phase of the same roll-out is a higher number. */
enum class RolloutPhase : std::uint8_t {
    Waiting, ///< No server of the new version is registered; it gets nothing.
    Canary, ///< A small share, until enough answers of the new version are known.
    Observing, ///< A smaller share, which saves exposure for the end.
    Shifting, ///< As before, but requests that might last until the deadline go to the new version.
    Raising, ///< A growing share, to see the new version under load.
    Full, ///< All requests go to the new version; the requests at other servers end.
    Completed,
    RolledBack,
};

/** Returns whether a roll-out in \a phase is over. */
[[nodiscard]] constexpr auto isOver(RolloutPhase phase) -> bool
{
    return phase >= RolloutPhase::Completed;
}

/** Returns the name of \a phase for logs and records. */
[[nodiscard]] auto nameOf(RolloutPhase phase) -> std::string;

/** What the times and failures of an entry of a report are about. */
enum class RolloutAspect : std::uint8_t {
    Answer, ///< Whole answers; times only of answers that are no streams.
    Start, ///< Time to the first event of streams whose prompt the server had not cached.
    Pace, ///< Mean time between the events of a stream.
};

constexpr std::size_t timeBuckets = 40;

/** Numbers of times by size. Bucket 0 holds times below 0.5 ms, each further one half an octave. */
using TimeCounts = std::array<std::uint32_t, timeBuckets>;

/** Returns the bucket that counts \a time. */
[[nodiscard]] auto timeBucketOf(std::chrono::microseconds time) -> std::size_t;

/** Answers of the servers of one side. */
struct SideCounts {
    std::uint32_t answers = 0; ///< Attempts that ended, failures included; cancelled ones are not counted.
    std::uint32_t failures = 0; ///< Attempts that were answered with a server error, broken off, lost or not answered in time.
    TimeCounts times {}; ///< Times of attempts that did not fail.

    auto operator==(const SideCounts&) const -> bool = default;
};

/** The answers of both sides for one aspect of one route. */
struct RouteCounts {
    std::uint32_t route = 0; ///< Hash of the route's name.
    RolloutAspect aspect = RolloutAspect::Answer;
    SideCounts earlier; ///< Servers of other versions.
    SideCounts next; ///< Servers of the new version.

    auto operator==(const RouteCounts&) const -> bool = default;
};

constexpr std::size_t maxReportedRoutes = 96; ///< Entries for routes and aspects in one report; further ones are not compared.

/** A node's report about one roll-out; all counts are totals since this process learned of the roll-out. */
struct RolloutReport {
    std::string service;
    std::string version;
    std::uint64_t order = 0; ///< Store revision of the order.
    std::uint32_t step = 0; ///< Last step that is in force on the node.
    RolloutPhase phase = RolloutPhase::Waiting; ///< Phase of that step.
    double share = 0; ///< Share of that step.
    std::chrono::milliseconds left { 0 }; ///< Time to the deadline as the node knows it.
    std::uint64_t received = 0; ///< Requests of callers to the service.
    std::uint64_t sent = 0; ///< Requests that were sent to servers of the new version, repeats included.
    std::uint64_t openAtEarlier = 0; ///< Requests that are open at servers of other versions now.
    std::chrono::milliseconds longestAnswer { 0 }; ///< Longest time of an answer of the other versions so far.
    std::uint32_t failedServers = 0; ///< Servers of the new version that failed, as a set of 5-bit hashes of their ids.
    std::vector<RouteCounts> routes;

    auto operator==(const RolloutReport&) const -> bool = default;
};

/** The leader's word on one roll-out in its answer to a report. */
struct RolloutShare {
    std::string service;
    std::string version;
    std::uint64_t order = 0; ///< Store revision of the order.
    std::uint32_t step = 0; ///< Increases with each step of the roll-out.
    RolloutPhase phase = RolloutPhase::Waiting;
    double share = 0; ///< Part of the requests that the new version gets.
    std::chrono::milliseconds left { 0 }; ///< Time to the deadline.
    std::chrono::milliseconds drainTime { 0 }; ///< Longest time that a request is expected to be open.

    auto operator==(const RolloutShare&) const -> bool = default;
};

/** Adds \a counts to \a sum. */
auto addTo(SideCounts& sum, const SideCounts& counts) -> void;

/** Returns \a counts less \a earlier, where no number gets negative. */
[[nodiscard]] auto difference(const SideCounts& counts, const SideCounts& earlier) -> SideCounts;

} // namespace Primrosefork
