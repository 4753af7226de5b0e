#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace Primrosefork::Testkit {

/**
 * Durations that were measured, all kept, so that quantiles are exact.
 */
class Samples {
public:
    auto add(std::chrono::nanoseconds duration) -> void { this->durations.push_back(duration); }

    [[nodiscard]] auto count() const -> std::size_t { return this->durations.size(); }

    /** Returns the duration that the share \a probability of all is not above; zero without samples. */
    [[nodiscard]] auto quantile(double probability) const -> std::chrono::nanoseconds;

    [[nodiscard]] auto mean() const -> std::chrono::nanoseconds;

private:
    std::vector<std::chrono::nanoseconds> durations;
};

} // namespace Primrosefork::Testkit
