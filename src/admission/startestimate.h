#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <optional>

namespace Primrosefork {

/**
 * Estimates when requests to one service can start, from the work ahead of them and
 * the measured times of the service. Nothing is estimated while nothing is measured.
 */
class StartEstimate {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Notes that a request of this node that took \a duration at its server was answered at \a now. */
    auto answered(std::chrono::milliseconds duration, TimePoint now) -> void;

    /** Returns whether enough recent answers are known at \a now. */
    [[nodiscard]] auto isMeasured(TimePoint now) const -> bool;

    /** Returns the mean time of a request at its server; zero before the first answer. */
    [[nodiscard]] auto meanTime() const -> std::chrono::milliseconds { return std::chrono::milliseconds(static_cast<std::int64_t>(this->mean)); }

    /** Returns the time that a quarter of the latest requests stayed below; zero before the first answer. */
    [[nodiscard]] auto quickTime() const -> std::chrono::milliseconds;

    /** Returns the time until an engine that prefills \a tokensPerSecond has prefilled \a tokens, or nothing while the rate is not known (0). */
    [[nodiscard]] static auto prefillTime(double tokens, double tokensPerSecond) -> std::optional<std::chrono::milliseconds>;

    /** Returns the time until a request starts at a plain server with \a slots that has \a requests before it, or nothing while no time is measured. */
    [[nodiscard]] auto slotDelay(double requests, double slots, TimePoint now) const -> std::optional<std::chrono::milliseconds>;

    /** Returns the time until a request starts that has \a ahead others before it in a queue from which this node may have \a openLimit requests open at once, or nothing while no time is measured. */
    [[nodiscard]] auto queueDelay(double ahead, double openLimit, TimePoint now) const -> std::optional<std::chrono::milliseconds>;

private:
    std::deque<std::chrono::milliseconds> latest; ///< Times of the latest answers.
    double mean = 0; ///< Smoothed time in milliseconds.
    TimePoint lastAnswer;
};

} // namespace Primrosefork
