#pragma once

#include "experiment.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** The figures of one replay. */
struct Figures {
    std::chrono::microseconds medianFirstToken { 0 }; ///< Of short requests, like the next two.
    std::chrono::microseconds lateFirstToken { 0 }; ///< At the 99th percentile.
    std::chrono::microseconds longestStall { 0 }; ///< At the 99th percentile of the longest stalls of all streams.
    std::chrono::microseconds worstStall { 0 };
    std::size_t shortRequests = 0;
    std::size_t unanswered = 0; ///< Short requests without a whole answer.
    std::size_t refused = 0; ///< Of all requests.
    std::size_t cutOff = 0; ///< Streams that began and ended before their end; not those open at the end of the replay.
    std::int64_t longTokens = 0; ///< Delivered to long requests.
    std::int64_t promptTokens = 0; ///< Computed by the engines.
    double attemptsPerRequest = 0; ///< Attempts at engines by accepted request.
};

/** Returns the figures of \a result. A request without a first token counts with its whole duration. */
[[nodiscard]] auto figuresOf(const ExperimentResult& result) -> Figures;

/** Returns the value at \a fraction (0 to 1) of \a values by the nearest rank; 0 of none. */
[[nodiscard]] auto quantile(std::vector<std::chrono::microseconds> values, double fraction) -> std::chrono::microseconds;

/**
 * Collects the targets of one run and prints a line for each.
 */
class TargetList {
public:
    /** Prints whether \a figure is at most \a bound, and counts it. */
    auto addAtMost(const std::string& name, double figure, double bound) -> void;

    /** Prints whether \a figure is at least \a bound, and counts it. */
    auto addAtLeast(const std::string& name, double figure, double bound) -> void;

    /** Prints "N passed, N failed". */
    auto printTotal() const -> void;

    [[nodiscard]] auto failedCount() const -> std::size_t { return this->failed; }

private:
    auto add(const std::string& name, double figure, const char* relation, double bound, bool holds) -> void;

    std::size_t passed = 0;
    std::size_t failed = 0;
};

} // namespace Primrosefork::Measure
