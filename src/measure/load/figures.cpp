#include "figures.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

constexpr double median = 0.5;
constexpr double percentile99 = 0.99;

} // namespace

auto quantile(std::vector<std::chrono::microseconds> values, double fraction) -> std::chrono::microseconds
{
    if (values.empty())
        return 0us;
    const auto rank = static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(values.size())));
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

auto figuresOf(const ExperimentResult& result) -> Figures
{
    Figures figures;
    std::vector<std::chrono::microseconds> firstTokens;
    std::vector<std::chrono::microseconds> stalls;
    for (const auto& outcome : result.outcomes) {
        const auto isRefused = outcome.status != 0 && outcome.status != HttpStatus::ok;
        figures.refused += isRefused ? 1 : 0;
        figures.cutOff += outcome.firstPiece && outcome.isCutOff ? 1 : 0;
        if (outcome.firstPiece)
            stalls.push_back(outcome.longestStall);
        if (outcome.isLong) {
            figures.longTokens += outcome.tokens;
            continue;
        }
        ++figures.shortRequests;
        figures.unanswered += outcome.isWhole ? 0 : 1;
        firstTokens.push_back(outcome.firstPiece.value_or(outcome.duration));
    }
    figures.medianFirstToken = quantile(firstTokens, median);
    figures.p99FirstToken = quantile(firstTokens, percentile99);
    figures.p99LongestStall = quantile(stalls, percentile99);
    figures.worstStall = quantile(stalls, 1);
    figures.promptTokens = result.computedPromptTokens;
    const auto accepted = result.acceptedRequests;
    figures.attemptsPerRequest = accepted == 0 ? 0 : static_cast<double>(result.attempts) / static_cast<double>(accepted);
    return figures;
}

auto TargetList::addAtMost(const std::string& name, double figure, double bound) -> void
{
    this->add(name, figure, "at most", bound, figure <= bound);
}

auto TargetList::addAtLeast(const std::string& name, double figure, double bound) -> void
{
    this->add(name, figure, "at least", bound, figure >= bound);
}

auto TargetList::add(const std::string& name, double figure, const char* relation, double bound, bool holds) -> void
{
    ++(holds ? this->passed : this->failed);
    std::printf("%-6s %s: %.2f, %s %.2f\n", holds ? "holds" : "missed", name.c_str(), figure, relation, bound);
}

auto TargetList::printTotal() const -> void
{
    std::printf("%zu passed, %zu failed\n", this->passed, this->failed);
}

} // namespace Primrosefork::Measure
