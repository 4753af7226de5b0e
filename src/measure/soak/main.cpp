#include "soakrun.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <sstream>

DEFINE_uint32(seed, 1, "Seed of the faults, of their times and targets, and of what callers send.");
DEFINE_double(minutes, 1.2, "Length of the run; rounded down to whole blocks of 0.6 minutes.");
DEFINE_uint32(nodes, 3, "Number of nodes.");
DEFINE_uint32(servers, 10, "Number of backend servers; half of them are engines.");
DEFINE_uint32(callers, 6, "Callers of each node.");
DEFINE_string(only, "", "Kinds of faults to bring about, separated by commas; all when empty.");
DEFINE_double(until, 0, "Leaves out faults at and after so many seconds, unless it is 0.");
DEFINE_bool(plan, false, "Prints the faults of the run and ends.");
DEFINE_bool(keep_logs, false, "Keeps the logs of the nodes also when all checks pass.");

namespace {

using namespace Primrosefork::Measure;

auto splitNames(const std::string& list) -> std::vector<std::string>
{
    std::vector<std::string> names;
    std::istringstream text(list);
    for (std::string name; std::getline(text, name, ',');)
        names.push_back(name);
    return names;
}

auto readOptions() -> SoakOptions
{
    using Minutes = std::chrono::duration<double, std::ratio<60>>;
    SoakOptions options;
    options.plan.seed = FLAGS_seed;
    options.plan.nodes = std::max(1U, FLAGS_nodes);
    options.plan.servers = std::max(2U, FLAGS_servers);
    const auto length = std::chrono::duration_cast<std::chrono::milliseconds>(Minutes(FLAGS_minutes));
    options.plan.length = std::max<std::chrono::milliseconds>(length - length % blockLength, blockLength);
    options.plan.only = splitNames(FLAGS_only);
    options.plan.until = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::duration<double>(FLAGS_until));
    options.callersPerNode = std::max(1U, FLAGS_callers);
    return options;
}

auto printSummary(SoakRun& run) -> int
{
    int passed = 0;
    int failed = 0;
    std::cout << "faults:";
    for (const auto& [kind, count] : run.faultCounts())
        std::cout << " " << kind << " " << count << ";";
    std::cout << "\nlongest recovery: " << run.ledger().longestRecovery().count() << " ms\n";
    for (const auto& check : run.ledger().results()) {
        const auto hasPassed = check.violations.empty();
        ++(hasPassed ? passed : failed);
        std::cout << (hasPassed ? "passed: " : "FAILED: ") << check.statement << " (" << check.evaluations << " checked, " << check.violations.size() << " violations)\n";
    }
    std::cout << passed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

auto runProgram(int argc, char** argv) -> int
{
    gflags::SetUsageMessage("Runs gateway nodes under load, brings about faults that a seed draws, and checks what the nodes promise.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto options = readOptions();
    if (const auto unknown = findUnknownKind(options.plan.only); !unknown.empty()) {
        std::cerr << "unknown kind of fault: " << unknown << "\n";
        return EXIT_FAILURE;
    }
    for (const auto& fault : makePlan(options.plan))
        std::cout << fault.toJson() << "\n";
    std::cout << std::flush;
    if (FLAGS_plan)
        return EXIT_SUCCESS;
    SoakRun run(options);
    run.ledger().violated = [](const std::string& statement, const std::string& seen) { std::cout << nlohmann::json { { "violated", statement }, { "seen", seen } }.dump() << std::endl; };
    const auto isComplete = run.run();
    auto result = printSummary(run);
    if (!isComplete) {
        std::cout << "FAILED: the nodes did not serve at the beginning\n";
        result = EXIT_FAILURE;
    }
    if (result == EXIT_SUCCESS && !FLAGS_keep_logs)
        std::filesystem::remove_all(run.folder());
    else
        std::cout << "logs: " << run.folder() << "\n";
    return result;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    try {
        return runProgram(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
