#pragma once

#include "deployment.h"
#include "replayer.h"
#include "trace.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** Time of one step of an engine that was slowed down. */
constexpr std::chrono::microseconds slowedStep { 150'000 };

/** What happens to the backend servers during a replay. */
enum class Disturbance {
    None,
    SlowEngines, ///< A sixth of the engines work five times slower and do not report it.
    ZoneLost, ///< All engines of one zone vanish.
    FailingEngines, ///< Three in ten engines answer every request with an error.
};

/**
 * One replay: the policy, the work and what is done to the engines.
 */
struct Experiment {
    Deployment deployment;
    std::size_t nodes = 3;
    std::string policy;
    Trace trace;
    Disturbance disturbance = Disturbance::None;
    std::chrono::milliseconds warmup { 0 }; ///< What is sent before is not counted.
};

/** What one replay gave. */
struct ExperimentResult {
    bool isRun = false;
    std::vector<Outcome> outcomes;
    std::int64_t computedPromptTokens = 0; ///< By all engines after the warm-up.
    std::int64_t warmupPromptTokens = 0; ///< By all engines before.
    std::size_t acceptedRequests = 0; ///< Warm-up included, like the attempts.
    std::int64_t generatedTokens = 0;
    std::int64_t startedStreams = 0;
    std::int64_t attempts = 0; ///< That the nodes made.
    std::chrono::milliseconds nodeProcessorTime { 0 };
};

/** Starts node processes and stand-ins, replays the trace against them and stops them. */
[[nodiscard]] auto runExperiment(const Experiment&) -> ExperimentResult;

} // namespace Primrosefork::Measure
