#pragma once

#include "blockingclient.h"
#include "samples.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>

namespace Primrosefork {

/** What a number of streams open at the same time gave. */
struct StreamLoadResult {
    Testkit::Samples firstToken;
    Testkit::Samples betweenTokens;
    std::size_t tokens = 0;
    std::size_t failures = 0; ///< Streams that ended with an error or short.
    std::size_t peakResidentBytes = 0; ///< Of the observed process, while all streams were open.
};

/** The streams that are opened. */
struct StreamLoad {
    Address server;
    std::string path;
    HttpHeaders headers;
    std::function<std::string(std::size_t)> body; ///< Of the stream with this number.
    std::size_t streams = 1;
    std::size_t tokens = 1; ///< Of each stream.
};

/**
 * Opens all streams of \a load at once, reads them to their end and calls
 * \a observe while they are open.
 */
[[nodiscard]] auto runStreamLoad(Testkit::BlockingClient&, const StreamLoad& load, const std::function<std::size_t()>& observe)
    -> StreamLoadResult;

} // namespace Primrosefork
