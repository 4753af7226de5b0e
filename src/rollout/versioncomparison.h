#pragma once

#include "rolloutreport.h"

#include <array>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Primrosefork {

/** What the answers of a new version show. */
enum class VersionVerdict {
    Undecided, ///< Too few answers on a route that has traffic.
    Good,
    Bad,
};

/**
 * Compares the answers of a new version with those of the other versions by counts.
 *
 * Answers are compared within short spans of time and the results summed up
 * (Mantel-Haenszel), so that a burst that slows all servers, or a change of the
 * share, is no difference between the versions. An answer counts as slow when it
 * takes more than twice a time that too few answers of the other versions take.
 */
class VersionComparison {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Adds the answers in \a counts that became known by \a now. */
    auto add(const std::vector<RouteCounts>& counts, TimePoint now) -> void;

    /** Returns the verdict on all answers so far. */
    [[nodiscard]] auto verdict() const -> VersionVerdict;

    /** Returns in a few words what a bad verdict is about, or an empty text. */
    [[nodiscard]] auto reason() const -> std::string;

    /** Returns whether a bad verdict is only about failures, not about times. */
    [[nodiscard]] auto isAboutFailures() const -> bool;

private:
    /** Sums over spans of one yes-or-no property of answers. */
    struct Sums {
        double bad = 0; ///< Answers of the new version with the property.
        double expected = 0; ///< As many as there would be if the versions were equal.
        double variance = 0; ///< Variance of that number.
        double answers = 0; ///< Answers of the new version.
        double earlierBad = 0; ///< Answers of the other versions with the property, scaled to the number of answers of the new version.

        auto add(double bad, double answers, double earlierBad, double earlierAnswers) -> void;
        auto decay(double factor) -> void;
        [[nodiscard]] auto isExcess(double minDeviations, double minDifference) const -> bool;
    };

    /** The failures of one route, and its slow answers by the time above which they count. */
    struct Properties {
        Sums failures;
        std::array<Sums, timeBuckets> slow;
    };

    /** What is wrong with the answers of a route. */
    enum class Fault {
        None,
        Failures,
        SlowAnswers,
    };

    struct Route {
        RouteCounts span; ///< Answers in the span of time that has not ended.
        Properties all; ///< Since the start.
        Properties recent; ///< The same, but earlier spans count less, for a version that turns bad later.
        Properties reference; ///< Against the last answers of the other versions, for spans in which these have none.
        SideCounts lastEarlier; ///< Those last answers.
        double answers = 0; ///< Answers of the new version so far.
        double earlierAnswers = 0; ///< Answers of the other versions so far.
        Fault fault = Fault::None;
    };

    using RouteKey = std::pair<std::uint32_t, RolloutAspect>;

    auto endSpan(const RouteKey&, Route&) -> void;
    [[nodiscard]] static auto faultOf(const Properties&, double deviations, double failurePart, double slowPart) -> Fault;

    std::map<RouteKey, Route> routes;
    TimePoint spanEnd;
};

} // namespace Primrosefork
