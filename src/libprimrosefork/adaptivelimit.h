#pragma once

#include <chrono>
#include <cstddef>

namespace Primrosefork {

/**
 * Estimates how many requests may run at once on backend servers that report no
 * limit, from how the request times grow with the load.
 *
 * The limit grows while the smoothed request time stays near its minimum, and
 * shrinks in proportion when the time exceeds that. At the start of each round it
 * is halved for as many requests as it allows, so that the minimum is measured
 * without a queue at the server.
 */
class AdaptiveLimit {
public:
    AdaptiveLimit(std::size_t minLimit, std::size_t maxLimit);

    /** Records that a request took \a duration while \a running requests ran, itself included. */
    auto observe(std::chrono::microseconds duration, std::size_t running) -> void;

    [[nodiscard]] auto value() const -> std::size_t;

private:
    [[nodiscard]] auto isProbing() const -> bool { return this->requestsInRound < static_cast<std::size_t>(this->limit); }

    double minimum;
    double maximum;
    double limit;
    double smoothedTime = 0; ///< Request time in microseconds, smoothed over the last few requests; 0 before the first.
    double previousMinTime = 0; ///< Minimum of the smoothed time in the previous round, in microseconds; 0 if there was none.
    double currentMinTime = 0; ///< Minimum of the smoothed time in this round, in microseconds; 0 before the first request.
    std::size_t requestsInRound = 0; ///< Number of requests observed in this round.
};

} // namespace Primrosefork
