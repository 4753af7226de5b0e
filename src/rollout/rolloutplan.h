#pragma once

#include "rolloutreport.h"
#include "versioncomparison.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace Primrosefork {

/** Limits on the requests that a version may get before it is known to be good. */
struct ExposureBounds {
    double share = 0.1; ///< Part of the requests between the order and its deadline.
    double slack = 50; ///< Requests beyond that.
};

/** Everything about a roll-out that the next leader needs. */
struct RolloutProgress {
    std::string service;
    std::string version;
    std::uint64_t order = 0; ///< Store revision of the order.
    std::chrono::milliseconds duration { 0 }; ///< Time from the order to its deadline.
    std::chrono::milliseconds left { 0 }; ///< Time to the deadline.
    std::uint32_t step = 0;
    RolloutPhase phase = RolloutPhase::Waiting;
    double share = 0;
    std::uint64_t received = 0; ///< Requests to the service since the order.
    std::uint64_t sent = 0; ///< Requests that were sent to the new version.

    auto operator==(const RolloutProgress&) const -> bool = default;
};

/** What the leader knows of a roll-out at one moment. */
struct RolloutSituation {
    VersionVerdict verdict = VersionVerdict::Undecided;
    bool hasServers = false; ///< Whether a server of the new version is registered.
    bool isInForce = false; ///< Whether the present step is in force on all live nodes.
    std::uint64_t received = 0; ///< Requests to the service since the order.
    std::uint64_t sent = 0; ///< Requests that were sent to the new version.
    double requestsPerSecond = 0; ///< Requests to the service.
    std::uint64_t openAtEarlier = 0; ///< Requests that are open at servers of other versions.
    std::chrono::milliseconds drainTime { 0 }; ///< Longest time that a request is expected to be open.
};

/** One step of a roll-out. */
struct RolloutStep {
    RolloutPhase phase = RolloutPhase::Waiting;
    double share = 0;

    auto operator==(const RolloutStep&) const -> bool = default;
};

/**
 * Decides on the steps of one roll-out.
 *
 * The share stays so small that a version that turns bad has got no more than the
 * allowed exposure. All requests go to the new version as late as the deadline
 * permits, since requests beyond the exposure cannot be paid for earlier.
 */
class RolloutPlan {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Begins, or continues after another leader's \a progress. */
    RolloutPlan(RolloutProgress progress, ExposureBounds, TimePoint now);

    /** Returns the next step if it is due; it takes effect with apply(), once it is durable. */
    [[nodiscard]] auto next(const RolloutSituation&, TimePoint now) const -> std::optional<RolloutStep>;

    /** Makes \a step the present one. */
    auto apply(const RolloutStep& step, TimePoint now) -> void;

    /** Returns the share that is in force: that of the present step, or 0 while the exposure is used up. */
    [[nodiscard]] auto shareAt(const RolloutSituation&) const -> double;

    /** Adopts another write of the same order at \a order, whose deadline is \a duration after \a now; the earlier deadline counts. */
    auto orderRepeated(std::uint64_t order, std::chrono::milliseconds duration, TimePoint now) -> void;

    /** Returns the progress to be recorded, with the counts in \a situation. */
    [[nodiscard]] auto progress(const RolloutSituation& situation, TimePoint now) const -> RolloutProgress;

    [[nodiscard]] auto state() const -> const RolloutProgress& { return this->current; }
    [[nodiscard]] auto left(TimePoint now) const -> std::chrono::milliseconds;

private:
    [[nodiscard]] auto budget(std::uint64_t received) const -> double;
    [[nodiscard]] auto canaryShare(const RolloutSituation&, TimePoint now) const -> double;

    /** Returns the time before the deadline at which the share begins to rise. */
    [[nodiscard]] auto raiseLead(const RolloutSituation&, TimePoint now) const -> std::chrono::milliseconds;

    [[nodiscard]] auto nextBeforeFull(const RolloutSituation&, TimePoint now) const -> std::optional<RolloutStep>;

    RolloutProgress current;
    ExposureBounds bounds;
    TimePoint deadline;
    TimePoint stepSince;
};

} // namespace Primrosefork
