#include "samples.h"

#include <algorithm>
#include <numeric>

namespace Primrosefork::Testkit {

auto Samples::quantile(double probability) const -> std::chrono::nanoseconds
{
    if (this->durations.empty())
        return std::chrono::nanoseconds(0);
    auto sorted = this->durations;
    const auto rank = static_cast<std::size_t>(probability * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(rank), sorted.end());
    return sorted[rank];
}

auto Samples::mean() const -> std::chrono::nanoseconds
{
    if (this->durations.empty())
        return std::chrono::nanoseconds(0);
    const auto sum = std::accumulate(this->durations.begin(), this->durations.end(), std::chrono::nanoseconds(0));
    return sum / static_cast<std::int64_t>(this->durations.size());
}

} // namespace Primrosefork::Testkit
