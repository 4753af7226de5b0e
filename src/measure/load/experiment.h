#pragma once

#include "deployment.h"
#include "replayer.h"
#include "trace.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** Duration of one generation step of a slowed engine. */
constexpr std::chrono::microseconds slowedStepTime { 150'000 };

/** Fault that is injected into the backend servers during a replay. */
enum class Disturbance {
    None,
    SlowEngines, ///< One in six engines works five times slower without reporting it.
    ZoneLost, ///< All engines of one zone leave the instance list and stop answering.
    FailingEngines, ///< Three in ten engines answer every request with an error.
};

/**
 * Describes one replay: the routing policy, the requests and the fault that is injected.
 */
struct Experiment {
    Deployment deployment;
    std::size_t nodes = 3;
    std::string policy;
    Trace trace;
    Disturbance disturbance = Disturbance::None;
    std::chrono::milliseconds warmup { 0 }; ///< Requests sent before this time are excluded from the outcomes.
};

/** Outcomes and counters of one replay. */
struct ExperimentResult {
    bool isRun = false;
    std::vector<Outcome> outcomes;
    std::int64_t computedPromptTokens = 0; ///< Prompt tokens that all engines computed after the warm-up.
    std::int64_t warmupPromptTokens = 0; ///< Prompt tokens that all engines computed during the warm-up.
    std::size_t acceptedRequests = 0; ///< Requests that were not refused, counted from the start of the warm-up like the attempts.
    std::int64_t generatedTokens = 0;
    std::int64_t startedStreams = 0;
    std::int64_t attempts = 0; ///< Attempts that the nodes made at backend servers.
    std::chrono::milliseconds nodeProcessorTime { 0 };
};

/** Starts node processes and stand-ins, replays the trace against them, stops them and returns the result. */
[[nodiscard]] auto runExperiment(const Experiment&) -> ExperimentResult;

} // namespace Primrosefork::Measure
