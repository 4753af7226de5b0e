#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace Primrosefork {

/**
 * Collects the counters, gauges and duration summaries of one process and
 * writes them in the Prometheus text exposition format.
 *
 * A metric name may include labels, such as "requests_total{outcome=\"ok\"}".
 */
class Metrics {
public:
    Metrics();
    ~Metrics();

    auto count(const std::string& name, std::uint64_t amount = 1) -> void;
    auto setGauge(const std::string& name, double value) -> void;
    auto observe(const std::string& name, std::chrono::nanoseconds duration) -> void;

    [[nodiscard]] auto counter(const std::string& name) const -> std::uint64_t;

    /** Returns all metrics as text. Durations are in seconds and have the quantiles 0.5, 0.95 and 0.99. */
    [[nodiscard]] auto toText() const -> std::string;

private:
    struct Summary;

    std::map<std::string, std::uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, std::unique_ptr<Summary>> summaries;
};

} // namespace Primrosefork
