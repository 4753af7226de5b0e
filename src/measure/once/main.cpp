#include "claimcost.h"
#include "mixedrun.h"

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <sodium.h>

DEFINE_uint32(seed, 1, "Seed that selects the keys, nodes and faults of the mixed run.");
DEFINE_uint32(requests, 300, "Number of calls of the mixed run.");
DEFINE_uint32(calls, 500, "Number of calls of each kind whose cost is measured.");
DEFINE_uint32(store_delay_ms, 2, "Delay of each answer of the store while cost is measured, in milliseconds.");

namespace {

using namespace Primrosefork;
using namespace Primrosefork::Measure;

constexpr std::size_t shownViolations = 5;

auto perCall(std::int64_t count, std::size_t calls) -> double
{
    return static_cast<double>(count) / static_cast<double>(calls);
}

auto printCosts(const ClaimCosts& costs) -> bool
{
    std::cout << "cost of " << FLAGS_calls << " calls of each kind, the store answers after " << FLAGS_store_delay_ms << " ms\n"
              << std::fixed << std::setprecision(2);
    auto isComplete = !costs.kinds.empty();
    for (const auto& cost : costs.kinds) {
        isComplete = isComplete && cost.failed == 0;
        std::cout << "  " << cost.name << ": store writes per call " << perCall(cost.storeWrites, cost.calls) << ", reads and watches "
                  << perCall(cost.storeReads, cost.calls) << ", leases in total " << cost.storeLeases << ", median " << cost.median.count()
                  << " us, p95 " << cost.percentile95.count() << " us, node's processor time "
                  << static_cast<double>(cost.processorTime.count()) * 1000 / static_cast<double>(cost.calls) << " us per call, failed " << cost.failed << "\n";
    }
    const auto& volume = costs.volume;
    std::cout << "  left in the store: " << volume.records << " records, " << volume.bytes / std::max<std::size_t>(volume.records, 1) << " bytes each\n";
    return isComplete;
}

auto printMixed(const MixedRun& run) -> void
{
    std::cout << "mixed run, seed " << FLAGS_seed << ": " << run.requestCount() << " calls with " << run.keyCount() << " keys\nfaults:";
    for (const auto& [name, count] : run.faults().counts())
        std::cout << " " << name << " " << count << ";";
    std::cout << "\nanswers:\n";
    for (const auto& [name, count] : run.ledger().counts())
        std::cout << "  " << count << "  " << name << "\n";
}

auto printCheck(const Check& check) -> void
{
    const auto isPassed = check.violations.empty() && check.evaluations > 0;
    std::cout << (isPassed ? "passed: " : "FAILED: ") << check.statement << " (" << check.evaluations << " evaluated, " << check.violations.size() << " violations)\n";
    for (std::size_t index = 0; index < std::min(check.violations.size(), shownViolations); ++index)
        std::cout << "  " << check.violations[index] << "\n";
}

auto runAll() -> int
{
    int passed = 0;
    int failed = 0;
    const auto count = [&passed, &failed](bool isPassed) { ++(isPassed ? passed : failed); };
    const auto areCallsAnswered = printCosts(measureClaimCost(FLAGS_calls, std::chrono::milliseconds(FLAGS_store_delay_ms)));
    std::cout << (areCallsAnswered ? "passed: " : "FAILED: ") << "all calls whose cost was measured were answered\n";
    count(areCallsAnswered);

    MixedRun run(FLAGS_seed, FLAGS_requests);
    const auto isRunComplete = run.run();
    printMixed(run);
    std::cout << (isRunComplete ? "passed: " : "FAILED: ") << "all nodes recovered after the faults\n";
    count(isRunComplete);
    for (const auto& check : run.ledger().checks()) {
        printCheck(check);
        count(check.violations.empty() && check.evaluations > 0);
    }
    std::cout << passed << " passed, " << failed << " failed\n";
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    gflags::SetUsageMessage("Measures what claims cost, and checks under faults that no call runs twice.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    try {
        return runAll();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
