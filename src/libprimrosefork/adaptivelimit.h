#pragma once

#include <chrono>
#include <cstddef>

namespace Primrosefork {

/**
 * Finds how many requests may run at once where the backend servers give no
 * limit, from how their times grow with the load.
 *
 * The limit grows while the recent time stays near the least one, and shrinks in
 * proportion when it exceeds it. It is halved for as many requests once a round, so that
 * the least time is one without a queue at the server.
 */
class AdaptiveLimit {
public:
    AdaptiveLimit(std::size_t least, std::size_t most);

    /** A request took \a duration while \a running ran. */
    auto observe(std::chrono::microseconds duration, std::size_t running) -> void;

    [[nodiscard]] auto value() const -> std::size_t;

private:
    [[nodiscard]] auto isProbing() const -> bool { return this->observed < static_cast<std::size_t>(this->limit); }

    double least;
    double most;
    double limit;
    double recent = 0; ///< Microseconds, smoothed over few requests.
    double leastBefore = 0; ///< Of recent in the round before this one.
    double leastNow = 0; ///< Of recent in this round.
    std::size_t observed = 0; ///< Requests of this round.
};

} // namespace Primrosefork
