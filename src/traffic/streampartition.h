#pragma once

#include "backendserver.h"
#include "routingpolicy.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace Primrosefork {

/**
 * Returns whether \a request keeps an engine decoding much longer than reading
 * its prompt, so that the prompts of others would hold up its tokens.
 */
[[nodiscard]] auto isLongStream(const RoutingRequest& request) -> bool;

/**
 * Decides how many engines of a service serve the long streams by themselves.
 *
 * An engine reads prompts in chunks between the tokens of the streams that run
 * there: each chunk delays the next token of all of them. Long streams on
 * engines of their own keep their pace, and prompts are read faster elsewhere.
 */
class StreamPartition {
public:
    /**
     * Returns the number of engines for long streams, of \a engines with \a slots each, while
     * \a openStreams of them run. It follows the mean of some seconds and never takes
     * more than half of the engines.
     */
    auto update(std::int64_t openStreams, std::int64_t slots, std::int64_t engines) -> std::int64_t;

private:
    double smoothed = 0; ///< Engines that the streams fill.
    std::int64_t count = 0;
};

/** Returns the ids of the \a count engines among \a servers that serve long streams, the same on every node that knows the same servers. */
[[nodiscard]] auto streamEnginesAmong(std::span<const BackendServer* const> servers, std::int64_t count) -> std::set<std::string>;

} // namespace Primrosefork
