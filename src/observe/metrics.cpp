#include "metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cmath>
#include <sstream>

namespace Primrosefork {

namespace {

namespace Acc = boost::accumulators;

using Accumulator = Acc::accumulator_set<double,
    Acc::stats<Acc::tag::count, Acc::tag::sum, Acc::tag::extended_p_square_quantile>>;

constexpr std::array probabilities { 0.5, 0.95, 0.99 };
constexpr auto metricPrefix = "primrosefork_";

auto baseName(const std::string& name) -> std::string
{
    return metricPrefix + name.substr(0, name.find('{'));
}

auto labelsOf(const std::string& name) -> std::string
{
    const auto brace = name.find('{');
    return brace == std::string::npos ? "" : name.substr(brace + 1, name.size() - brace - 2);
}

auto withLabels(const std::string& base, const std::string& labels, const std::string& extraLabels) -> std::string
{
    const auto* separator = labels.empty() || extraLabels.empty() ? "" : ",";
    const auto all = labels + separator + extraLabels;
    return all.empty() ? base : base + "{" + all + "}";
}

auto writeType(std::ostringstream& text, std::string& previousBase, const std::string& base, const char* type) -> void
{
    if (previousBase == base)
        return;
    text << "# TYPE " << base << ' ' << type << '\n';
    previousBase = base;
}

} // namespace

struct Metrics::Summary {
    Accumulator accumulator { Acc::extended_p_square_probabilities = probabilities };
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

auto Metrics::count(const std::string& name, std::uint64_t amount) -> void
{
    this->counters[name] += amount;
}

auto Metrics::setGauge(const std::string& name, double value) -> void
{
    this->gauges[name] = value;
}

auto Metrics::observe(const std::string& name, std::chrono::nanoseconds duration) -> void
{
    auto& summary = this->summaries[name];
    if (!summary)
        summary = std::make_unique<Summary>();
    summary->accumulator(std::chrono::duration<double>(duration).count());
}

auto Metrics::counter(const std::string& name) const -> std::uint64_t
{
    const auto found = this->counters.find(name);
    return found == this->counters.end() ? 0 : found->second;
}

auto Metrics::toText() const -> std::string
{
    std::ostringstream text;
    std::string previousBase;
    for (const auto& [name, value] : this->counters) {
        writeType(text, previousBase, baseName(name), "counter");
        text << withLabels(baseName(name), labelsOf(name), "") << ' ' << value << '\n';
    }
    for (const auto& [name, value] : this->gauges) {
        writeType(text, previousBase, baseName(name), "gauge");
        text << withLabels(baseName(name), labelsOf(name), "") << ' ' << value << '\n';
    }
    for (const auto& [name, summary] : this->summaries) {
        const auto base = baseName(name);
        const auto labels = labelsOf(name);
        const auto& accumulator = summary->accumulator;
        writeType(text, previousBase, base, "summary");
        for (const auto probability : probabilities) {
            std::ostringstream quantile;
            quantile << "quantile=\"" << probability << '"';
            const auto value = Acc::quantile(accumulator, Acc::quantile_probability = probability);
            text << withLabels(base, labels, quantile.str()) << ' ' << (std::isfinite(value) ? value : 0.0) << '\n';
        }
        text << withLabels(base + "_sum", labels, "") << ' ' << Acc::sum(accumulator) << '\n';
        text << withLabels(base + "_count", labels, "") << ' ' << Acc::count(accumulator) << '\n';
    }
    return text.str();
}

} // namespace Primrosefork
