#include "replay.h"
#include "trace.h"

#include <algorithm>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(traces, TRACES_FOLDER, "The folder of the traces (JSON lines, docs/TRACES.md), or a single trace file.");
DEFINE_bool(details, false, "Prints the details of expectations that hold as well: the requests of the caller with the longest stall, and the answers to bookings.");
DEFINE_uint64(seed, 0, "Replays with this seed in place of the seeds in the traces, unless it is 0.");

namespace {

using namespace Primrosefork::Measure;

auto findTraces(const std::string& path) -> std::vector<std::string>
{
    if (!std::filesystem::is_directory(path))
        return { path };
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(path)) {
        if (entry.path().extension() == ".jsonl")
            files.push_back(entry.path().string());
    }
    std::sort(files.begin(), files.end());
    return files;
}

auto printDetails(const ReplayResult& result) -> void
{
    for (const auto& line : result.details)
        std::cout << "    " << line << std::endl;
}

auto runProgram(int argc, char** argv) -> int
{
    gflags::SetUsageMessage("Replays traces against real processes and checks the outcomes that the traces expect.\n\nExample:\n  tools/measure promises --traces src/measure/promises/traces/mixed.jsonl");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    int passed = 0;
    int failed = 0;
    for (const auto& file : findTraces(FLAGS_traces)) {
        auto trace = readTrace(file);
        if (FLAGS_seed != 0)
            trace.seed = FLAGS_seed;
        std::cout << trace.name << " (seed " << trace.seed << "): " << trace.promise << std::endl;
        Replay replay(trace);
        for (const auto& result : replay.run()) {
            ++(result.hasPassed ? passed : failed);
            std::cout << (result.hasPassed ? "  passed: " : "  FAILED: ") << result.expectation << ": " << result.figure << std::endl;
            if (!result.hasPassed || FLAGS_details)
                printDetails(result);
        }
    }
    std::cout << passed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 && passed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    try {
        return runProgram(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
