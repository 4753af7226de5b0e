#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** One thing that is done at a moment of a trace. */
struct TraceStep {
    std::chrono::milliseconds at { 0 }; ///< After the start of the replay.
    std::string action;
    nlohmann::json arguments;
};

/** One outcome that a replay must have. */
struct TraceExpectation {
    std::string name;
    nlohmann::json arguments;
};

/**
 * A recorded trace, as docs/TRACES.md describes it: what the cluster consists
 * of, what is done when, and what must come out.
 */
struct Trace {
    std::string name;
    std::string promise;
    std::uint64_t seed = 0;
    std::chrono::milliseconds limit { 60'000 }; ///< For all callers to have their answers.
    nlohmann::json cluster;
    std::vector<TraceStep> steps; ///< By time.
    std::vector<TraceExpectation> expectations;
};

/** Reads the trace in the file \a path; throws std::runtime_error with the line that is wrong. */
[[nodiscard]] auto readTrace(const std::string& path) -> Trace;

} // namespace Primrosefork::Measure
