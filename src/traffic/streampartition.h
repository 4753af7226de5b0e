#pragma once

#include "backendserver.h"
#include "routingpolicy.h"

#include <cstdint>
#include <set>
#include <span>
#include <string>

namespace Primrosefork {

/**
 * Returns whether \a request keeps an engine decoding for much longer than the
 * prefill of its prompt takes, so that prefills of other requests would delay its tokens.
 */
[[nodiscard]] auto isLongStream(const RoutingRequest& request) -> bool;

/**
 * Decides how many engines of a service are reserved for long streams.
 *
 * An engine prefills prompts in chunks between the decode steps of its streams:
 * each chunk delays the next token of all of them. On reserved engines long
 * streams keep their token rate, and prompts are prefilled faster on the others.
 */
class StreamPartition {
public:
    /**
     * Returns the number of engines reserved for long streams, out of \a engines with
     * \a slots each, while \a openStreams long streams are open. It follows a moving average
     * over some seconds and never exceeds half of the engines.
     */
    auto update(std::int64_t openStreams, std::int64_t slots, std::int64_t engines) -> std::int64_t;

private:
    double smoothed = 0; ///< Moving average of the number of engines that the long streams need.
    std::int64_t count = 0; ///< Reserved engines, before the limit by the number of engines is applied.
};

/**
 * Returns the ids of the \a count engines among \a servers that are reserved for long streams;
 * the result is the same on every node that knows the same servers.
 */
[[nodiscard]] auto streamEnginesAmong(std::span<const BackendServer* const> servers, std::int64_t count) -> std::set<std::string>;

} // namespace Primrosefork
