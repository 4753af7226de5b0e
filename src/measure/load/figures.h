#pragma once

#include "experiment.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** Summary statistics of one replay. */
struct Figures {
    std::chrono::microseconds medianFirstToken { 0 }; ///< Median time to the first token of short requests.
    std::chrono::microseconds p99FirstToken { 0 }; ///< 99th percentile of the time to the first token of short requests.
    std::chrono::microseconds p99LongestStall { 0 }; ///< 99th percentile of the longest stalls of all streams.
    std::chrono::microseconds worstStall { 0 }; ///< Longest stall of any stream.
    std::size_t shortRequests = 0;
    std::size_t unanswered = 0; ///< Short requests without a complete answer.
    std::size_t refused = 0; ///< Requests, short or long, that were answered with an error status.
    std::size_t cutOff = 0; ///< Streams that began and were closed before they were complete; streams still open at the end of the replay are excluded.
    std::int64_t longTokens = 0; ///< Tokens delivered to long requests.
    std::int64_t promptTokens = 0; ///< Prompt tokens that the engines computed after the warm-up.
    double attemptsPerRequest = 0; ///< Attempts at engines per accepted request.
};

/** Returns the statistics of \a result. A request without a first token counts with its full duration. */
[[nodiscard]] auto figuresOf(const ExperimentResult& result) -> Figures;

/** Returns the quantile \a fraction (0 to 1) of \a values by the nearest-rank method, or 0 when there are no values. */
[[nodiscard]] auto quantile(std::vector<std::chrono::microseconds> values, double fraction) -> std::chrono::microseconds;

/**
 * Compares measured figures with their targets, prints a line for each and counts the results.
 */
class TargetList {
public:
    /** Prints whether \a figure is at most \a bound and counts the target as passed or failed. */
    auto addAtMost(const std::string& name, double figure, double bound) -> void;

    /** Prints whether \a figure is at least \a bound and counts the target as passed or failed. */
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
