#pragma once

#include "deployment.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/**
 * One request of a trace.
 */
struct TraceRequest {
    std::chrono::milliseconds at { 0 }; ///< Time after the start of the trace.
    std::string route;
    std::string prompt;
    std::int64_t maxTokens = 0;
    bool isLong = false;
};

/** Requests ordered by time. */
using Trace = std::vector<TraceRequest>;

/**
 * Returns a trace of \a length with the requests of \a deployment. It is the same
 * for the same \a seed. Long requests begin after \a warmup.
 */
[[nodiscard]] auto makeTrace(const Deployment& deployment, std::uint64_t seed, std::chrono::milliseconds warmup, std::chrono::milliseconds length) -> Trace;

/** Returns \a trace without its long requests. */
[[nodiscard]] auto withoutLongWork(const Trace& trace) -> Trace;

/**
 * Returns the prompt tokens of \a trace after \a warmup that a single engine with
 * an unlimited prefix cache would compute, which is the minimum possible.
 */
[[nodiscard]] auto minimumPromptTokens(const Trace& trace, std::chrono::milliseconds warmup) -> std::int64_t;

/** Writes \a trace to the file \a path, one JSON object a line. Returns whether that succeeded. */
[[nodiscard]] auto writeTrace(const Trace& trace, const std::string& path) -> bool;

/** Returns the trace that writeTrace() wrote to \a path, or an empty one when it cannot be read. */
[[nodiscard]] auto readTrace(const std::string& path) -> Trace;

} // namespace Primrosefork::Measure
