#include "fleet.h"
#include "linearfit.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

DEFINE_string(nodes, "8,32,100,200", "Numbers of nodes to measure, separated by commas.");
DEFINE_string(engines, "12,100,500,1500", "Numbers of engines in the instance list to measure with --engine_nodes nodes, separated by commas.");
DEFINE_string(plain_services, "12,300,800", "Numbers of plain services in the instance list, which are not polled, to measure with --engine_nodes nodes, separated by commas.");
DEFINE_int32(engine_nodes, 8, "Number of nodes in the measurements with different numbers of engines or plain services.");
DEFINE_int32(seconds, 15, "Length of each measured phase in seconds.");
DEFINE_int32(settle_seconds, 15, "Seconds between the start of a fleet and the first phase.");
DEFINE_int32(deaths, 3, "Number of nodes killed one after the other in each fleet.");
DEFINE_int32(changes, 5, "Number of changes in each fleet whose time until they are in force on all nodes is measured.");

namespace {

using namespace Primrosefork;
using namespace std::chrono_literals;

constexpr double designNodes = 340;
constexpr double designEngines = 1'500;
constexpr auto changePeriod = 1s;

/** Measurements of one fleet. */
struct FleetResult {
    double size = 0; ///< Number of nodes, engines or plain services.
    FleetRates idle;
    FleetRates underChange;
    std::vector<std::chrono::milliseconds> changeTimes;
    std::vector<std::chrono::milliseconds> deathTimes;
    std::size_t instanceListBytes = 0;
};

auto readSizes(const std::string& text) -> std::vector<std::size_t>
{
    std::vector<std::size_t> sizes;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');)
        sizes.push_back(std::strtoull(item.c_str(), nullptr, 10));
    return sizes;
}

auto longest(const std::vector<std::chrono::milliseconds>& times) -> double
{
    if (times.empty() || std::find_if(times.begin(), times.end(), [](auto time) { return time < 0ms; }) != times.end())
        return -1;
    return std::chrono::duration<double>(*std::max_element(times.begin(), times.end())).count();
}

auto printRates(const char* phase, double size, const FleetRates& rates) -> void
{
    std::printf("%6.0f %-9s %8.2f %8.1f %9.0f %9.0f %8.1f %8.1f %8.1f %8.1f %8.1f\n", size, phase, rates.processorPercent, rates.residentMebibytes, rates.sentBytes,
        rates.receivedBytes, rates.sentMessages, rates.storeReads, rates.storeWrites, rates.storeWatches, rates.standinPercent);
}

auto printHeading(const char* size) -> void
{
    std::printf("%6s %-9s %8s %8s %9s %9s %8s %8s %8s %8s %8s\n", size, "phase", "core %", "MiB", "sent B/s", "recv B/s", "msg/s", "reads/s", "writes/s", "watch/s", "standin%");
}

auto measureFleet(double size, const FleetOptions& options) -> FleetResult
{
    FleetResult result;
    result.size = size;
    Fleet fleet(options);
    if (!fleet.start()) {
        std::printf("%6.0f not measured: some nodes did not know all their peers in time\n", size);
        return result;
    }
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_settle_seconds));
    const std::chrono::seconds length(FLAGS_seconds);
    result.idle = fleet.measure(length);
    printRates("idle", size, result.idle);
    result.underChange = fleet.measureUnderChange(length, changePeriod);
    printRates("changing", size, result.underChange);
    for (int count = 0; count < FLAGS_changes; ++count)
        result.changeTimes.push_back(fleet.timeChange());
    for (int count = 0; count < FLAGS_deaths; ++count)
        result.deathTimes.push_back(fleet.timeNodeDeath());
    result.instanceListBytes = fleet.instanceListBytes();
    std::printf("%6.0f longest of %d changes until in force on all: %.2f s; longest of %d deaths until detected by all: %.2f s; instance list: %zu bytes\n", size,
        FLAGS_changes, longest(result.changeTimes), FLAGS_deaths, longest(result.deathTimes), result.instanceListBytes);
    std::fflush(stdout);
    return result;
}

using Value = std::function<double(const FleetResult&)>;
using Scale = double (*)(double size);

/** Prints the line fitted to \a value over the sizes transformed by \a scale, with its value at \a designSize. */
auto printFit(
    const char* name, const std::vector<FleetResult>& results, double designSize, const Value& value, Scale scale = [](double size) { return size; }) -> void
{
    constexpr std::size_t fewestPoints = 3;
    std::vector<Point> points;
    points.reserve(results.size());
    for (const auto& result : results)
        points.push_back({ scale(result.size), value(result) });
    if (points.size() < fewestPoints)
        return;
    const auto fit = fitLine(points);
    std::printf("%-34s %12.5f +- %-10.5f %10.3f +- %-8.3f %10.2f\n", name, fit.slope, fit.slopeError, fit.intercept, fit.interceptError, fit.at(scale(designSize)));
}

auto printFits(const std::vector<FleetResult>& results, double designSize) -> void
{
    std::printf("\n%-34s %12s    %-10s %10s    %-8s %10s\n", "fitted line", "slope", "error", "at 0", "error", ("at " + std::to_string(static_cast<int>(designSize))).c_str());
    printFit("idle: core %", results, designSize, [](const FleetResult& result) { return result.idle.processorPercent; });
    printFit("idle: MiB", results, designSize, [](const FleetResult& result) { return result.idle.residentMebibytes; });
    printFit("idle: sent B/s", results, designSize, [](const FleetResult& result) { return result.idle.sentBytes; });
    printFit("idle: sent + received B/s", results, designSize, [](const FleetResult& result) { return result.idle.sentBytes + result.idle.receivedBytes; });
    printFit(
        "idle: sent + received B/s, by log2", results, designSize, [](const FleetResult& result) { return result.idle.sentBytes + result.idle.receivedBytes; }, std::log2);
    printFit("idle: store watches/s, fleet", results, designSize, [](const FleetResult& result) { return result.idle.storeWatches; });
    printFit("changing: core %", results, designSize, [](const FleetResult& result) { return result.underChange.processorPercent; });
    printFit("changing: sent + received B/s", results, designSize, [](const FleetResult& result) { return result.underChange.sentBytes + result.underChange.receivedBytes; });
    printFit("changing: store watches/s, fleet", results, designSize, [](const FleetResult& result) { return result.underChange.storeWatches; });
    printFit("change in force everywhere, s", results, designSize, [](const FleetResult& result) { return longest(result.changeTimes); });
    printFit("death detected by all, s", results, designSize, [](const FleetResult& result) { return longest(result.deathTimes); });
    printFit("instance list, bytes", results, designSize, [](const FleetResult& result) { return static_cast<double>(result.instanceListBytes); });
}

auto measureNodes() -> void
{
    std::printf("slopes over the number of nodes; a change every second while changing\n");
    printHeading("nodes");
    std::vector<FleetResult> results;
    for (const auto nodes : readSizes(FLAGS_nodes))
        results.push_back(measureFleet(static_cast<double>(nodes), { .nodes = nodes }));
    printFits(results, designNodes);
}

auto measureEngines() -> void
{
    std::printf("\nslopes over the number of engines, with %d nodes\n", FLAGS_engine_nodes);
    printHeading("engines");
    std::vector<FleetResult> results;
    for (const auto engines : readSizes(FLAGS_engines))
        results.push_back(measureFleet(static_cast<double>(engines), { .nodes = static_cast<std::size_t>(FLAGS_engine_nodes), .engines = engines }));
    printFits(results, designEngines);
}

auto measurePlainServices() -> void
{
    std::printf("\nslopes over the number of plain services, with %d nodes\n", FLAGS_engine_nodes);
    printHeading("plain");
    std::vector<FleetResult> results;
    for (const auto services : readSizes(FLAGS_plain_services))
        results.push_back(measureFleet(static_cast<double>(services), { .nodes = static_cast<std::size_t>(FLAGS_engine_nodes), .plainServices = services }));
    printFits(results, designEngines);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    try {
        gflags::SetUsageMessage("Measures the resources that a node uses for control as the fleet grows.");
        gflags::ParseCommandLineFlags(&argc, &argv, true);
        if (!FLAGS_nodes.empty())
            measureNodes();
        if (!FLAGS_engines.empty())
            measureEngines();
        if (!FLAGS_plain_services.empty())
            measurePlainServices();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
