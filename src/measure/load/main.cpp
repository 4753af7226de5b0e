#include "deployment.h"
#include "experiment.h"
#include "figures.h"
#include "trace.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <sodium.h>
#include <sstream>

DEFINE_string(deployment, "jadeleaf", "The deployment: jadeleaf or companera.");
DEFINE_string(policies, "round-robin,least-outstanding,least-reported-load,product", "The routing policies, separated by commas.");
DEFINE_string(scenarios, "short,mixed,slowed", "The scenarios, separated by commas: short (no long requests), mixed, slowed, zone-lost, failing.");
DEFINE_uint64(seed, 1, "Seed of the trace.");
DEFINE_uint64(nodes, 3, "Number of node processes.");
DEFINE_uint64(seconds, 14, "Length of the trace, warm-up included.");
DEFINE_uint64(warmup, 4, "Seconds at the start of the trace that are excluded from the figures.");
DEFINE_uint64(worst, 0, "Number of short requests with the longest time to first token to print for each replay.");
DEFINE_string(trace, "", "Replays this file in place of a generated trace.");
DEFINE_string(write_trace, "", "Writes the trace to this file, one JSON object a line.");

namespace {

using namespace Primrosefork;
using namespace Primrosefork::Measure;

constexpr int exitUsage = 2;
constexpr double microsecondsPerMillisecond = 1000;
constexpr auto product = "product";

/** Figures by policy and scenario. */
using FigureTable = std::map<std::string, std::map<std::string, Figures>>;

auto split(const std::string& text) -> std::vector<std::string>
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

auto inMilliseconds(std::chrono::microseconds duration) -> double
{
    return static_cast<double>(duration.count()) / microsecondsPerMillisecond;
}

auto disturbanceOf(const std::string& scenario) -> Disturbance
{
    if (scenario == "slowed")
        return Disturbance::SlowEngines;
    if (scenario == "zone-lost")
        return Disturbance::ZoneLost;
    if (scenario == "failing")
        return Disturbance::FailingEngines;
    return Disturbance::None;
}

/** Returns whether \a scenario has long requests besides the short ones. */
auto hasLongWork(const std::string& scenario) -> bool
{
    return scenario == "mixed";
}

auto printFigures(const std::string& policy, const std::string& scenario, const Figures& figures) -> void
{
    std::printf("%-20s %-9s %7.0f %7.0f %8.0f %8.0f %8lld %8lld %6zu %6zu %6zu %6zu %7.2f\n", policy.c_str(), scenario.c_str(),
        inMilliseconds(figures.medianFirstToken), inMilliseconds(figures.p99FirstToken), inMilliseconds(figures.p99LongestStall),
        inMilliseconds(figures.worstStall), static_cast<long long>(figures.promptTokens), static_cast<long long>(figures.longTokens),
        figures.shortRequests, figures.unanswered, figures.refused, figures.cutOff, figures.attemptsPerRequest);
    std::fflush(stdout);
}

auto printWorst(std::vector<Outcome> outcomes) -> void
{
    std::erase_if(outcomes, [](const Outcome& outcome) { return outcome.isLong; });
    const auto wait = [](const Outcome& outcome) { return outcome.firstPiece.value_or(outcome.duration); };
    std::sort(outcomes.begin(), outcomes.end(), [&wait](const auto& first, const auto& second) { return wait(first) > wait(second); });
    for (std::size_t place = 0; place < std::min<std::size_t>(FLAGS_worst, outcomes.size()); ++place)
        std::printf("  sent at %lld ms, first token after %.0f ms\n", static_cast<long long>(outcomes[place].at.count()), inMilliseconds(wait(outcomes[place])));
}

auto printHeading() -> void
{
    std::printf("%-20s %-9s %7s %7s %8s %8s %8s %8s %6s %6s %6s %6s %7s\n", "policy", "scenario", "p50 ms", "p99 ms", "stall99", "stallmax",
        "prompt", "longtok", "short", "unansw", "refus", "cutoff", "att/req");
}

auto runAll(const Deployment& deployment, const Trace& trace) -> FigureTable
{
    const auto shortTrace = withoutLongWork(trace);
    FigureTable table;
    printHeading();
    for (const auto& scenario : split(FLAGS_scenarios)) {
        for (const auto& policy : split(FLAGS_policies)) {
            const auto& replayed = hasLongWork(scenario) ? trace : shortTrace;
            const auto result = runExperiment({ deployment, FLAGS_nodes, policy, replayed, disturbanceOf(scenario), std::chrono::seconds(FLAGS_warmup) });
            if (!result.isRun) {
                std::printf("%-20s %-9s not run: the processes did not become ready in time\n", policy.c_str(), scenario.c_str());
                continue;
            }
            table[policy][scenario] = figuresOf(result);
            printFigures(policy, scenario, table[policy][scenario]);
            printWorst(result.outcomes);
        }
    }
    return table;
}

/** Returns the figures of the replay of \a scenario with \a policy, or null when it was not run. */
auto findFigures(const FigureTable& table, const std::string& policy, const std::string& scenario) -> const Figures*
{
    const auto row = table.find(policy);
    if (row == table.end())
        return nullptr;
    const auto figures = row->second.find(scenario);
    return figures == row->second.end() ? nullptr : &figures->second;
}

auto ratio(double value, double base) -> double
{
    return base > 0 ? value / base : 0;
}

auto ratio(std::chrono::microseconds value, std::chrono::microseconds base) -> double
{
    return ratio(static_cast<double>(value.count()), static_cast<double>(base.count()));
}

/** Prints the figures of the product policy divided by those of the other policies and of its own undisturbed replay. */
auto printRatios(const FigureTable& table, std::int64_t minimumTokens) -> void
{
    std::printf("\nproduct divided by baseline and by ideal: p99 to first token, longest stall, prompt tokens\n");
    for (const auto& scenario : split(FLAGS_scenarios)) {
        const auto* own = findFigures(table, product, scenario);
        if (!own)
            continue;
        for (const auto& policy : split(FLAGS_policies)) {
            const auto* other = findFigures(table, policy, scenario);
            if (other && other != own) {
                std::printf("%-9s by %-20s %.2f %.2f %.2f\n", scenario.c_str(), policy.c_str(), ratio(own->p99FirstToken, other->p99FirstToken),
                    ratio(own->p99LongestStall, other->p99LongestStall), ratio(static_cast<double>(own->promptTokens), static_cast<double>(other->promptTokens)));
            }
        }
        if (const auto* ideal = findFigures(table, product, "short")) {
            const auto tokens = hasLongWork(scenario) ? 0.0 : ratio(static_cast<double>(own->promptTokens), static_cast<double>(minimumTokens));
            std::printf("%-9s by %-20s %.2f %.2f %.2f\n", scenario.c_str(), "ideal", ratio(own->p99FirstToken, ideal->p99FirstToken),
                ratio(own->p99LongestStall, ideal->p99LongestStall), tokens);
        }
    }
}

auto checkWaiting(const FigureTable& table, TargetList& targets) -> void
{
    const auto* shortOnly = findFigures(table, product, "short");
    const auto* mixed = findFigures(table, product, "mixed");
    const auto* roundRobin = findFigures(table, "round-robin", "mixed");
    if (shortOnly && mixed)
        targets.addAtMost("p99 to first token of short requests with long requests, divided by that without", ratio(mixed->p99FirstToken, shortOnly->p99FirstToken), 1.1);
    if (mixed && roundRobin)
        targets.addAtMost("p99 to first token of short requests with long requests, divided by that of round robin", ratio(mixed->p99FirstToken, roundRobin->p99FirstToken), 0.2);
}

auto checkSlowdown(const FigureTable& table, TargetList& targets) -> void
{
    const auto* undisturbed = findFigures(table, product, "short");
    const auto* slowed = findFigures(table, product, "slowed");
    if (!undisturbed || !slowed)
        return;
    targets.addAtMost("p99 to first token with slowed engines, divided by that without", ratio(slowed->p99FirstToken, undisturbed->p99FirstToken), 1.25);
    // A stream that is open when its engine slows down has one slowed step before the slowdown can be detected.
    targets.addAtMost("longest stall (p99 of streams) with slowed engines, divided by one slowed step", ratio(slowed->p99LongestStall, slowedStepTime), 1.25);
}

auto checkTokens(const FigureTable& table, std::int64_t minimumTokens, TargetList& targets) -> void
{
    if (const auto* undisturbed = findFigures(table, product, "short"))
        targets.addAtMost("computed prompt tokens, divided by the minimum possible", ratio(static_cast<double>(undisturbed->promptTokens), static_cast<double>(minimumTokens)), 1.15);
    if (const auto* lost = findFigures(table, product, "zone-lost"))
        targets.addAtMost("computed prompt tokens with a zone lost, divided by the minimum possible", ratio(static_cast<double>(lost->promptTokens), static_cast<double>(minimumTokens)), 1.3);
}

auto checkFailures(const FigureTable& table, TargetList& targets) -> void
{
    if (const auto* failing = findFigures(table, product, "failing")) {
        targets.addAtMost("attempts per accepted request with 3 in 10 engines failing", failing->attemptsPerRequest, 1.1);
        targets.addAtMost("requests without a complete answer with 3 in 10 engines failing", static_cast<double>(failing->unanswered), 0);
    }
    if (const auto* lost = findFigures(table, product, "zone-lost"))
        targets.addAtMost("short requests without a complete answer with a zone lost", static_cast<double>(lost->unanswered), 0);
}

auto measure() -> int
{
    const auto deployment = findDeployment(FLAGS_deployment);
    if (!deployment) {
        std::cerr << "unknown deployment \"" << FLAGS_deployment << "\", expected jadeleaf or companera\n";
        return exitUsage;
    }
    const auto trace = FLAGS_trace.empty() ? makeTrace(*deployment, FLAGS_seed, std::chrono::seconds(FLAGS_warmup), std::chrono::seconds(FLAGS_seconds)) : readTrace(FLAGS_trace);
    if (trace.empty() || (!FLAGS_write_trace.empty() && !writeTrace(trace, FLAGS_write_trace))) {
        std::cerr << "cannot read or write the trace\n";
        return EXIT_FAILURE;
    }
    const auto shortTrace = withoutLongWork(trace);
    const auto minimumTokens = minimumPromptTokens(shortTrace, std::chrono::seconds(FLAGS_warmup));
    std::printf("%s: %zu engines, %zu nodes, seed %llu, %zu short and %zu long requests in %llu s, %llu s of warm-up; minimum prompt tokens %lld short, %lld all\n",
        deployment->name, deployment->engines, static_cast<std::size_t>(FLAGS_nodes), static_cast<unsigned long long>(FLAGS_seed), shortTrace.size(),
        trace.size() - shortTrace.size(), static_cast<unsigned long long>(FLAGS_seconds), static_cast<unsigned long long>(FLAGS_warmup), static_cast<long long>(minimumTokens),
        static_cast<long long>(minimumPromptTokens(trace, std::chrono::seconds(FLAGS_warmup))));

    const auto table = runAll(*deployment, trace);
    printRatios(table, minimumTokens);
    std::printf("\n");
    TargetList targets;
    checkWaiting(table, targets);
    checkSlowdown(table, targets);
    checkTokens(table, minimumTokens, targets);
    checkFailures(table, targets);
    targets.printTotal();
    return targets.failedCount() == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    gflags::SetUsageMessage("Replays a trace against node processes with each routing policy.\n\nExample:\n  measure_load --deployment jadeleaf --seed 1");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    try {
        return measure();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
