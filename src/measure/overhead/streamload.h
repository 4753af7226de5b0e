#pragma once

#include "blockingclient.h"
#include "samples.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace Primrosefork {

/** Measurements of a number of concurrent streams. */
struct StreamLoadResult {
    Testkit::Samples firstToken; ///< Time from opening a stream to its first token.
    Testkit::Samples betweenTokens; ///< Time between two tokens of a stream.
    std::size_t tokens = 0; ///< Tokens received on all streams.
    std::size_t failures = 0; ///< Streams that ended with an error, with a wrong number of tokens or not in time.
    std::size_t peakResidentBytes = 0; ///< Largest value that the observer returned while streams were open.
};

/** Describes the streams to open. */
struct StreamLoad {
    Address server;
    std::string path;
    HttpHeaders headers;
    std::function<std::string(std::size_t)> body; ///< Returns the request body of the stream with the given index.
    std::size_t streams = 1; ///< Number of concurrent streams.
    std::size_t tokens = 1; ///< Number of tokens expected on each stream.
};

/**
 * Opens all streams of \a load at once, reads them to their end and returns the
 * measurements. Calls \a observe periodically while streams are open; it returns
 * the resident bytes of the observed process.
 */
[[nodiscard]] auto runStreamLoad(Testkit::BlockingClient&, const StreamLoad& load, const std::function<std::size_t()>& observe)
    -> StreamLoadResult;

} // namespace Primrosefork
