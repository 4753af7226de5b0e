#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** One action at a given time of a trace. */
struct TraceStep {
    std::chrono::milliseconds at { 0 }; ///< Time after the start of the replay.
    std::string action;
    nlohmann::json arguments;
};

/** One expected outcome of a replay. */
struct TraceExpectation {
    std::string name;
    nlohmann::json arguments;
};

/**
 * A recorded trace in the format of docs/TRACES.md: the size of the cluster, the
 * actions with their times, and the expected outcomes.
 */
struct Trace {
    std::string name;
    std::string promise;
    std::uint64_t seed = 0;
    std::chrono::milliseconds limit { 60'000 }; ///< Time limit for each wait, also for the answers to all callers.
    nlohmann::json cluster;
    std::vector<TraceStep> steps; ///< Actions ordered by time.
    std::vector<TraceExpectation> expectations;
};

/** Returns the trace in the file \a path. Throws std::runtime_error with the number of the first invalid line. */
[[nodiscard]] auto readTrace(const std::string& path) -> Trace;

} // namespace Primrosefork::Measure
