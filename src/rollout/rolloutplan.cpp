#include "rolloutplan.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Milliseconds = std::chrono::milliseconds;

constexpr double canaryPart = 0.5; ///< Part of the exposure that the canary uses when requests are many.
constexpr double observingPart = 0.25; ///< Part of the exposure that is used while the version is only observed, to save the rest for the end.
constexpr double usableSlack = 0.5; ///< Part of the slack that is planned with; the rest covers requests between a report and the leader's answer.
constexpr double maxCanaryShare = 0.3; ///< Share at a service with so few requests that the slack allows more.
constexpr double certainTraffic = 0.7; ///< Part of the present rate of requests that is counted on until the deadline.
constexpr double firstRaise = 0.25;
constexpr double secondRaise = 0.5;
constexpr Milliseconds raiseStepTime = 2'200ms; ///< For a step to take effect on all nodes (up to 1 s) and to show in answers.
constexpr Milliseconds fullLead = 6'000ms; ///< Least time before the deadline at which all requests go to the new version: for the write, two reports of each node, of which some are lost, the end of open requests and the last write.
constexpr Milliseconds minFullTime = 2'500ms; ///< Time that the new version has to serve everything before the roll-out is completed.
constexpr auto raiseTime = 2 * raiseStepTime;

} // namespace

RolloutPlan::RolloutPlan(RolloutProgress progress, ExposureBounds exposure, TimePoint now)
    : current(std::move(progress))
    , bounds(exposure)
    , deadline(now + this->current.left)
    , stepSince(now)
{
}

auto RolloutPlan::left(TimePoint now) const -> Milliseconds
{
    return std::max(0ms, std::chrono::duration_cast<Milliseconds>(this->deadline - now));
}

auto RolloutPlan::budget(std::uint64_t received) const -> double
{
    return this->bounds.share * static_cast<double>(received) + usableSlack * this->bounds.slack;
}

auto RolloutPlan::canaryShare(const RolloutSituation& situation, TimePoint now) const -> double
{
    // With few requests, the slack gives the new version more of them, or it would be judged by hardly any answer.
    const auto expected = static_cast<double>(situation.received) + certainTraffic * situation.requestsPerSecond * std::chrono::duration<double>(this->left(now)).count();
    const auto affordable = expected > 0 ? canaryPart * this->budget(static_cast<std::uint64_t>(expected)) / expected : maxCanaryShare;
    return std::clamp(affordable, canaryPart * this->bounds.share, std::max(maxCanaryShare, canaryPart * this->bounds.share));
}

auto RolloutPlan::raiseLead(const RolloutSituation& situation, TimePoint now) const -> Milliseconds
{
    const auto needed = fullLead + raiseTime;
    const auto latest = this->current.duration / 2;
    if (situation.verdict != VersionVerdict::Good || situation.requestsPerSecond <= 0)
        return std::min(needed, latest);
    const auto future = static_cast<std::uint64_t>(certainTraffic * situation.requestsPerSecond * std::chrono::duration<double>(this->left(now)).count());
    const auto unused = this->budget(situation.received + future) - static_cast<double>(situation.sent);
    const auto affordable = std::chrono::duration<double>(std::clamp(unused / situation.requestsPerSecond, 0.0, 86'400.0));
    return std::clamp(std::chrono::duration_cast<Milliseconds>(affordable), std::min(needed, latest), latest);
}

auto RolloutPlan::nextBeforeFull(const RolloutSituation& situation, TimePoint now) const -> std::optional<RolloutStep>
{
    const auto timeLeft = this->left(now);
    const auto phase = this->current.phase;
    if (phase == RolloutPhase::Waiting)
        return RolloutStep { RolloutPhase::Canary, this->canaryShare(situation, now) };
    const auto lead = this->raiseLead(situation, now);
    if (phase == RolloutPhase::Raising) {
        const auto isStepOver = situation.isInForce && now - this->stepSince >= raiseStepTime;
        const auto isLate = timeLeft <= std::min(fullLead, this->current.duration / 4);
        if (isLate || (isStepOver && this->current.share >= secondRaise))
            return RolloutStep { RolloutPhase::Full, 1 };
        return isStepOver ? std::optional(RolloutStep { RolloutPhase::Raising, secondRaise }) : std::nullopt;
    }
    if (timeLeft <= lead)
        return RolloutStep { RolloutPhase::Raising, std::max(firstRaise, this->current.share) };
    if (phase != RolloutPhase::Shifting && timeLeft <= std::min(std::max(lead, situation.drainTime + fullLead), this->current.duration / 2))
        return RolloutStep { RolloutPhase::Shifting, this->current.share };
    if (phase == RolloutPhase::Canary && situation.verdict == VersionVerdict::Good)
        return RolloutStep { RolloutPhase::Observing, std::min(this->current.share, std::max(observingPart * this->bounds.share, this->current.share / 2)) };
    return std::nullopt;
}

auto RolloutPlan::next(const RolloutSituation& situation, TimePoint now) const -> std::optional<RolloutStep>
{
    const auto phase = this->current.phase;
    if (isOver(phase))
        return std::nullopt;
    if (situation.verdict == VersionVerdict::Bad)
        return RolloutStep { RolloutPhase::RolledBack, 0 };
    if (!situation.hasServers)
        return this->left(now) <= 0ms ? std::optional(RolloutStep { RolloutPhase::RolledBack, 0 }) : std::nullopt;
    if (phase != RolloutPhase::Full)
        return this->nextBeforeFull(situation, now);
    const auto isSettled = now - this->stepSince >= std::min(minFullTime, this->current.duration / 8);
    if (situation.isInForce && situation.openAtEarlier == 0 && isSettled)
        return RolloutStep { RolloutPhase::Completed, 1 };
    return std::nullopt;
}

auto RolloutPlan::apply(const RolloutStep& step, TimePoint now) -> void
{
    this->current.phase = step.phase;
    this->current.share = step.share;
    ++this->current.step;
    this->stepSince = now;
}

auto RolloutPlan::shareAt(const RolloutSituation& situation) const -> double
{
    if (situation.verdict == VersionVerdict::Bad && this->current.phase != RolloutPhase::Completed)
        return 0;
    const auto isLimited = this->current.phase < RolloutPhase::Raising;
    return isLimited && static_cast<double>(situation.sent) >= this->budget(situation.received) ? 0 : this->current.share;
}

auto RolloutPlan::orderRepeated(std::uint64_t order, Milliseconds duration, TimePoint now) -> void
{
    this->current.order = order;
    this->deadline = std::min(this->deadline, now + duration);
}

auto RolloutPlan::progress(const RolloutSituation& situation, TimePoint now) const -> RolloutProgress
{
    auto result = this->current;
    result.left = this->left(now);
    result.received = situation.received;
    result.sent = situation.sent;
    return result;
}

} // namespace Primrosefork
