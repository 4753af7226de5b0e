#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace Primrosefork::Testkit {

/**
 * Measured durations. All samples are stored, so that the quantiles are exact.
 */
class Samples {
public:
    auto add(std::chrono::nanoseconds duration) -> void { this->durations.push_back(duration); }

    [[nodiscard]] auto count() const -> std::size_t { return this->durations.size(); }

    /** Returns the quantile at \a probability, from 0 to 1; zero without samples. */
    [[nodiscard]] auto quantile(double probability) const -> std::chrono::nanoseconds;

    /** Returns the arithmetic mean; zero without samples. */
    [[nodiscard]] auto mean() const -> std::chrono::nanoseconds;

private:
    std::vector<std::chrono::nanoseconds> durations;
};

} // namespace Primrosefork::Testkit
