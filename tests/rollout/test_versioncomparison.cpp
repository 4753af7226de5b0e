#include "versioncomparison.h"

#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

/** How the servers of one version answer. */
struct Behaviour {
    double failures = 0; ///< Part of the answers that fail.
    double slowPart = 0; ///< Part of the answers that are slower.
    double slowFactor = 1; ///< By what.
    double factor = 1; ///< Factor on all times.
};

struct ComparisonCase {
    const char* name;
    Behaviour earlier;
    Behaviour next;
    double perSecond; ///< Requests.
    double share; ///< Part of them for the new version.
    int seconds;
    int changesAt; ///< Second from which the new version behaves as given; before, it is as the others.
    VersionVerdict expected;
};

const ComparisonCase comparisonCases[] = {
    { "equal versions", {}, {}, 60, 0.05, 60, 0, VersionVerdict::Good },
    { "equal versions, few requests", {}, {}, 1, 0.05, 60, 0, VersionVerdict::Undecided },
    { "both fail a little", { 0.02, 0, 1, 1 }, { 0.02, 0, 1, 1 }, 60, 0.05, 120, 0, VersionVerdict::Good },
    { "only the old version fails", { 0.3, 0, 1, 1 }, {}, 60, 0.05, 60, 0, VersionVerdict::Good },
    { "all answers fail, few requests", {}, { 1, 0, 1, 1 }, 4, 0.1, 20, 0, VersionVerdict::Bad },
    { "a tenth fails", {}, { 0.1, 0, 1, 1 }, 60, 0.05, 60, 0, VersionVerdict::Bad },
    { "three in a hundred fail", {}, { 0.03, 0, 1, 1 }, 100, 0.05, 120, 0, VersionVerdict::Bad },
    { "a tenth fails, later", {}, { 0.1, 0, 1, 1 }, 60, 0.05, 120, 60, VersionVerdict::Bad },
    { "all answers four times slower", {}, { 0, 0, 1, 4 }, 40, 0.05, 40, 0, VersionVerdict::Bad },
    { "a third six times slower", {}, { 0, 0.33, 6, 1 }, 60, 0.05, 90, 0, VersionVerdict::Bad },
    { "a fifth slower", {}, { 0, 0, 1, 1.2 }, 60, 0.05, 90, 0, VersionVerdict::Good },
};

/** Returns the counts of \a number answers with \a behaviour and \a load, a factor on all times. */
auto answersOf(int number, const Behaviour& behaviour, double load, std::mt19937& random) -> SideCounts
{
    std::lognormal_distribution<double> times(std::log(80'000.0), 0.6);
    std::uniform_real_distribution<double> part(0, 1);
    SideCounts counts;
    for (int answer = 0; answer < number; ++answer) {
        ++counts.answers;
        if (part(random) < behaviour.failures) {
            ++counts.failures;
            continue;
        }
        const auto slowness = part(random) < behaviour.slowPart ? behaviour.slowFactor : 1;
        ++counts.times[timeBucketOf(std::chrono::microseconds(static_cast<std::int64_t>(times(random) * behaviour.factor * slowness * load)))];
    }
    return counts;
}

// Guards against a bad version that is not noticed, and against a good one that is rolled back.
TEST_CASE("versions are told apart by their answers")
{
    for (const auto& row : comparisonCases) {
        CAPTURE(row.name);
        for (unsigned seed = 1; seed <= 10; ++seed) {
            CAPTURE(seed);
            std::mt19937 random(seed);
            VersionComparison comparison;
            auto isBad = false;
            for (int tick = 0; tick < row.seconds * 2 && !isBad; ++tick) {
                const auto number = static_cast<int>(std::poisson_distribution<int>(row.perSecond / 2)(random));
                const auto next = std::binomial_distribution<int>(number, row.share)(random);
                // In a quarter of the time, all servers are three times slower, for all versions.
                const auto load = tick % 40 < 10 ? 3.0 : 1.0;
                const RouteCounts counts { 1, RolloutAspect::Answer, answersOf(number - next, row.earlier, load, random), answersOf(next, tick / 2 >= row.changesAt ? row.next : row.earlier, load, random) };
                comparison.add({ counts }, VersionComparison::TimePoint(1h) + tick * 500ms);
                isBad = comparison.verdict() == VersionVerdict::Bad;
            }
            INFO(comparison.reason());
            CHECK(comparison.verdict() == row.expected);
        }
    }
}

// Guards against a version that fails on one route only and hides behind the others.
TEST_CASE("a fault on one route with little traffic is noticed")
{
    std::mt19937 random(1);
    VersionComparison comparison;
    for (int tick = 0; tick < 120; ++tick) {
        comparison.add({ { 1, RolloutAspect::Answer, answersOf(60, {}, 1, random), answersOf(3, {}, 1, random) },
                           { 2, RolloutAspect::Answer, answersOf(3, {}, 1, random), answersOf(tick % 6 == 0 ? 1 : 0, { 0.5, 0, 1, 1 }, 1, random) } },
            VersionComparison::TimePoint(1h) + tick * 500ms);
    }
    CHECK(comparison.verdict() == VersionVerdict::Bad);
    CHECK(comparison.reason() == "failures");
    CHECK(comparison.isAboutFailures());
}

// Guards against a version that turns bad when no other version gets requests any more.
TEST_CASE("failures are noticed without answers of other versions at the same time")
{
    std::mt19937 random(1);
    VersionComparison comparison;
    for (int tick = 0; tick < 40; ++tick)
        comparison.add({ { 1, RolloutAspect::Answer, answersOf(20, {}, 1, random), answersOf(2, {}, 1, random) } }, VersionComparison::TimePoint(1h) + tick * 500ms);
    for (int tick = 40; tick < 48; ++tick)
        comparison.add({ { 1, RolloutAspect::Answer, {}, answersOf(20, { 0.4, 0, 1, 1 }, 1, random) } }, VersionComparison::TimePoint(1h) + tick * 500ms);
    CHECK(comparison.verdict() == VersionVerdict::Bad);
}

} // namespace
