#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

namespace Primrosefork {

/**
 * Chooses the `Retry-After` of requests that are refused for lack of room: the time
 * at which capacity is expected, different for each caller so that those who are
 * refused together do not return together.
 */
class RefusalDelay {
public:
    explicit RefusalDelay(std::uint64_t seed);

    /**
     * Returns the delay for a caller whose deadline is in \a remaining, when capacity is expected in \a available.
     * It is at most a third of \a remaining, as callers honour no longer delay.
     */
    auto next(std::optional<std::chrono::milliseconds> available, std::chrono::milliseconds remaining) -> std::chrono::milliseconds;

private:
    std::minstd_rand random;
};

} // namespace Primrosefork
