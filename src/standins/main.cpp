#include "eventloop.h"
#include "world.h"

#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sodium.h>

DEFINE_string(world, "", "The JSON file that describes the stand-ins, see docs/SYSTEMS.md.");

namespace {

using namespace Primrosefork;

constexpr int exitUsage = 2;

auto runProgram(int argc, char** argv) -> int
{
    gflags::SetUsageMessage("Runs the stand-ins of the platform for tests and measurements.\n\nExample:\n  primrosefork-standins --world world.json");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::ifstream file(FLAGS_world);
    const auto description = nlohmann::json::parse(file, nullptr, false);
    if (!description.is_object()) {
        std::cerr << "cannot read the world file \"" << FLAGS_world << "\": expected a JSON object\n";
        return exitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    World world(loop, description);
    if (const auto error = world.listen()) {
        std::cerr << "cannot listen: " << error.message() << "\n";
        return EXIT_FAILURE;
    }
    const SignalWatcher terminate(loop, SIGTERM, [&loop] { loop.stop(); });
    const SignalWatcher interrupt(loop, SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return EXIT_SUCCESS;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    try {
        return runProgram(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
