#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace Primrosefork {

/**
 * Estimates how long answers of each route take, from the answers before.
 *
 * The time is taken to grow with the size of the answer, and the estimate is a
 * time that few answers exceed.
 */
class AnswerTimes {
public:
    /** Notes that an answer of \a route with \a size, in tokens or 1, took \a time. */
    auto answered(const std::string& route, double size, std::chrono::milliseconds time) -> void;

    /** Returns the time within which an answer of \a route with \a size is expected, or nothing while none was noted. */
    [[nodiscard]] auto expected(const std::string& route, double size) const -> std::optional<std::chrono::milliseconds>;

private:
    /** Smoothed time for each unit of the size, in milliseconds. */
    struct Estimate {
        double mean = 0;
        double deviation = 0;
    };

    std::map<std::string, Estimate> estimates;
};

} // namespace Primrosefork
