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
    std::chrono::milliseconds at { 0 }; ///< After the start of the trace.
    std::string route;
    std::string prompt;
    std::int64_t maxTokens = 0;
    bool isLong = false;
};

/** Requests in the order of their moments. */
using Trace = std::vector<TraceRequest>;

/**
 * Returns \a length of the work of \a deployment, the same for the same \a seed.
 * Long work begins after \a warmup.
 */
[[nodiscard]] auto makeTrace(const Deployment& deployment, std::uint64_t seed, std::chrono::milliseconds warmup, std::chrono::milliseconds length) -> Trace;

/** Returns \a trace without its long requests. */
[[nodiscard]] auto withoutLongWork(const Trace& trace) -> Trace;

/**
 * Returns the prompt tokens of \a trace after \a warmup that an engine with an
 * endless cache would compute if it ran all of it.
 */
[[nodiscard]] auto leastPromptTokens(const Trace& trace, std::chrono::milliseconds warmup) -> std::int64_t;

/** Writes \a trace to the file \a path, one JSON object a line. Returns whether that succeeded. */
[[nodiscard]] auto writeTrace(const Trace& trace, const std::string& path) -> bool;

/** Reads the trace that writeTrace() wrote to \a path; it is empty when it cannot be read. */
[[nodiscard]] auto readTrace(const std::string& path) -> Trace;

} // namespace Primrosefork::Measure
