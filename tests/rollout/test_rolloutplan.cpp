#include "rolloutplan.h"

#include <doctest/doctest.h>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

const RolloutPlan::TimePoint start(1h);
constexpr ExposureBounds bounds { 0.1, 50 };
constexpr auto tick = 200ms;
constexpr auto confirmationTime = 1s; ///< From a step to its confirmation by all nodes.

/** A service during a roll-out. */
struct PlanCase {
    const char* name;
    std::chrono::seconds duration;
    double perSecond;
    std::chrono::milliseconds badAt; ///< Time from which the answers show the version as bad; negative for a good one.
    std::chrono::milliseconds serversAt; ///< Time at which the servers register; negative for never.
    std::chrono::milliseconds answerTime; ///< Time for which requests are open.
};

/** What came of a roll-out. */
struct Outcome {
    RolloutPhase phase = RolloutPhase::Waiting;
    std::chrono::milliseconds endedAt { 0 };
    double received = 0;
    double sent = 0;
};

using OpenRequests = std::vector<std::pair<RolloutPlan::TimePoint, double>>; ///< Ends of requests at old servers, with their number.

/** Returns the situation at \a now, without what the present step has to do with it. */
auto situationAt(const PlanCase& row, const Outcome& outcome, const OpenRequests& openRequests, RolloutPlan::TimePoint now) -> RolloutSituation
{
    RolloutSituation situation;
    situation.verdict = outcome.sent >= 30 ? VersionVerdict::Good : VersionVerdict::Undecided;
    if (row.badAt >= 0ms && now - start >= row.badAt && outcome.sent >= 5)
        situation.verdict = VersionVerdict::Bad;
    situation.hasServers = row.serversAt >= 0ms && now - start >= row.serversAt;
    situation.received = static_cast<std::uint64_t>(outcome.received);
    situation.sent = static_cast<std::uint64_t>(outcome.sent);
    situation.requestsPerSecond = row.perSecond;
    double open = 0;
    for (const auto& [end, count] : openRequests)
        open += end > now ? count : 0;
    situation.openAtEarlier = static_cast<std::uint64_t>(open * 1'000);
    situation.drainTime = row.answerTime;
    return situation;
}

/** Plays a roll-out with one request after the other; \a badPhase makes the version bad once that phase has lasted for a second. */
auto play(const PlanCase& row, RolloutPhase badPhase = RolloutPhase::RolledBack) -> Outcome
{
    RolloutPlan plan({ "app", "v2", 5, row.duration, row.duration, 0, RolloutPhase::Waiting, 0, 0, 0 }, bounds, start);
    Outcome outcome;
    auto changedAt = start;
    auto share = 0.0;
    OpenRequests openRequests;
    for (auto now = start; now < start + row.duration + 30s && outcome.phase != RolloutPhase::Completed; now += tick) {
        const auto requests = row.perSecond * std::chrono::duration<double>(tick).count();
        if (now - changedAt >= confirmationTime)
            share = plan.state().share;
        if (now < start + row.duration)
            outcome.received += requests;
        outcome.sent += share * requests;
        openRequests.emplace_back(now + row.answerTime, (1 - share) * requests);
        auto situation = situationAt(row, outcome, openRequests, now);
        situation.isInForce = now - changedAt >= confirmationTime;
        if (plan.state().phase == badPhase && now - changedAt >= confirmationTime + 1s)
            situation.verdict = VersionVerdict::Bad;
        if (plan.shareAt(situation) == 0)
            share = 0;
        if (const auto next = plan.next(situation, now)) {
            plan.apply(*next, now);
            changedAt = now;
            outcome.phase = next->phase;
            outcome.endedAt = std::chrono::duration_cast<std::chrono::milliseconds>(now - start);
        }
    }
    return outcome;
}

const PlanCase goodCases[] = {
    { "many requests", 120s, 100, -1ms, 3s, 800ms },
    { "many requests, a short time", 40s, 100, -1ms, 3s, 800ms },
    { "few requests", 120s, 0.5, -1ms, 3s, 800ms },
    { "no requests", 60s, 0, -1ms, 3s, 0ms },
    { "servers that come late", 60s, 30, -1ms, 45s, 300ms },
    { "a very short time", 8s, 20, -1ms, 0s, 100ms },
};

// Guards against a good version that is not completed by the deadline.
TEST_CASE("a good version is completed before its deadline")
{
    for (const auto& row : goodCases) {
        CAPTURE(row.name);
        const auto outcome = play(row);
        CHECK(outcome.phase == RolloutPhase::Completed);
        CHECK(outcome.endedAt < row.duration);
    }
}

const PlanCase badCases[] = {
    { "bad from the start", 120s, 100, 0ms, 0s, 800ms },
    { "bad after a quarter", 120s, 100, 30s, 0s, 800ms },
    { "bad after three quarters", 120s, 100, 90s, 0s, 800ms },
    { "bad from the start, few requests", 120s, 1, 0ms, 0s, 800ms },
    { "bad from the start, a short time", 40s, 60, 0ms, 0s, 800ms },
};

// Guards against a bad version that gets more requests than allowed, or that is not rolled back.
TEST_CASE("a bad version stays within its exposure and is rolled back")
{
    for (const auto& row : badCases) {
        CAPTURE(row.name);
        const auto outcome = play(row);
        CHECK(outcome.phase == RolloutPhase::RolledBack);
        CHECK(outcome.sent <= bounds.share * outcome.received + bounds.slack);
    }
}

struct PhaseCase {
    const char* name;
    RolloutPhase badPhase;
};

const PhaseCase phaseCases[] = {
    { "canary", RolloutPhase::Canary },
    { "observing", RolloutPhase::Observing },
    { "raising", RolloutPhase::Raising },
    { "full", RolloutPhase::Full },
};

// Guards against steps that use up the exposure before the version turns bad.
TEST_CASE("a version that turns bad at any step stays within its exposure")
{
    for (const auto& row : phaseCases) {
        CAPTURE(row.name);
        const auto outcome = play({ "", 120s, 100, -1ms, 3s, 800ms }, row.badPhase);
        CHECK(outcome.phase == RolloutPhase::RolledBack);
        CHECK(outcome.sent <= bounds.share * outcome.received + bounds.slack);
    }
}

// Guards against a roll-out without servers that goes on forever.
TEST_CASE("a version without servers is rolled back at the deadline")
{
    const auto outcome = play({ "", 30s, 10, -1ms, -1ms, 100ms });
    CHECK(outcome.phase == RolloutPhase::RolledBack);
    CHECK(outcome.endedAt >= 30s);
    CHECK(outcome.endedAt < 31s);
}

// Guards against the end of old servers while callers' requests run there.
TEST_CASE("a roll-out is completed only when all nodes send everything to the new version and no request is open elsewhere")
{
    RolloutPlan plan({ "app", "v2", 5, 60s, 5s, 6, RolloutPhase::Full, 1, 1'000, 200 }, bounds, start);
    RolloutSituation situation;
    situation.hasServers = true;
    situation.isInForce = true;
    situation.openAtEarlier = 1;
    CHECK_FALSE(plan.next(situation, start + 4s).has_value());
    situation.openAtEarlier = 0;
    situation.isInForce = false;
    CHECK_FALSE(plan.next(situation, start + 4s).has_value());
    situation.isInForce = true;
    CHECK(plan.next(situation, start + 4s) == RolloutStep { RolloutPhase::Completed, 1 });
    situation.verdict = VersionVerdict::Bad;
    CHECK(plan.next(situation, start + 4s) == RolloutStep { RolloutPhase::RolledBack, 0 });
}

// Guards against an exposure that is used up while the leader changes.
TEST_CASE("a share is not in force while the exposure is used up")
{
    const RolloutPlan plan({ "app", "v2", 5, 60s, 50s, 1, RolloutPhase::Canary, 0.05, 1'000, 200 }, bounds, start);
    RolloutSituation situation;
    situation.received = 1'000;
    situation.sent = 125;
    CHECK(plan.shareAt(situation) == 0);
    situation.received = 1'100;
    CHECK(plan.shareAt(situation) == doctest::Approx(0.05));
    situation.verdict = VersionVerdict::Bad;
    CHECK(plan.shareAt(situation) == 0);
}

} // namespace
