#include "cluster.h"
#include "hash.h"

#include <algorithm>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <thread>

DEFINE_int32(nodes, 3, "Number of nodes.");
DEFINE_int32(changes, 20, "Number of changes, sent to the nodes in turn.");
DEFINE_int32(delay_ms, 0, "Delay of each answer of the store, in milliseconds.");
DEFINE_bool(silent_watches, false, "Whether the connections of the waiting watches are silenced before each change.");
DEFINE_int32(idle_seconds, 6, "Seconds for which the calls to the store are counted while the nodes are idle.");

namespace {

using namespace Primrosefork;
using namespace std::chrono_literals;
using Json = nlohmann::json;
using Testkit::Cluster;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::chrono::milliseconds inForceTimeout = 6s;
constexpr auto servicePath = "/admin/v1/services/jadeleaf/desk";

/** Numbers of calls that the store has counted. */
struct StoreCalls {
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    std::int64_t watches = 0;
};

struct Figures {
    std::vector<double> accepted; ///< Milliseconds from each change to its answer.
    std::vector<double> inForce; ///< Milliseconds from each change until it was in force on all nodes.
    int lateChanges = 0; ///< Changes that were not in force on all nodes within the limit.
};

auto operatorHeader() -> HttpHeader
{
    return { "Authorization", std::string("Bearer ") + Cluster::operatorKey };
}

auto storeCalls(Cluster& cluster) -> StoreCalls
{
    const auto counted = cluster.control(cluster.keyValueService(), Json::object());
    return { counted["reads"].get<std::int64_t>(), counted["writes"].get<std::int64_t>(), counted["watches"].get<std::int64_t>() };
}

auto millisecondsSince(EventLoop::TimePoint start) -> double
{
    return Milliseconds(EventLoop::now() - start).count();
}

auto revisionAt(Cluster& cluster, std::size_t node) -> int
{
    const auto body = Json::parse(cluster.client().get(cluster.operatorsAddress(node), servicePath, { operatorHeader() }).response.body, nullptr, false);
    return body.is_object() ? body.value("revision", 0) : 0;
}

auto isInForceEverywhere(Cluster& cluster, int revision) -> bool
{
    for (int node = 0; node < FLAGS_nodes; ++node) {
        if (revisionAt(cluster, static_cast<std::size_t>(node)) != revision)
            return false;
    }
    return true;
}

auto makeChange(Cluster& cluster, int index, Figures& figures) -> bool
{
    const auto node = static_cast<std::size_t>(index % FLAGS_nodes);
    const Json content { { "models", Json::array({ { { "model", "m1" }, { "version", "1" } } }) }, { "backend_pools", { "assistant", "booking" } }, { "weight", index + 1 } };
    const Json body { { "base_revision", index + 1 }, { "content", content } };
    const auto start = EventLoop::now();
    const auto result = cluster.client().fetch(cluster.operatorsAddress(node), { "PUT", servicePath, "", { operatorHeader() }, body.dump() }, 20s);
    if (result.error || result.response.status != HttpStatus::ok) {
        std::cerr << "change " << index << " was not accepted: " << result.response.body << "\n";
        return false;
    }
    figures.accepted.push_back(millisecondsSince(start));
    if (!cluster.client().waitUntil([&cluster, index] { return isInForceEverywhere(cluster, index + 2); }, inForceTimeout))
        ++figures.lateChanges;
    figures.inForce.push_back(millisecondsSince(start));
    return true;
}

auto printQuantiles(const char* name, std::vector<double> values) -> void
{
    std::sort(values.begin(), values.end());
    const auto at = [&values](double share) { return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))]; };
    std::cout << name << " ms: p50 " << at(0.5) << ", p99 " << at(0.99) << ", max " << values.back() << "\n";
}

/** Waits until the store holds a watch of every node. */
auto waitForWatches(Cluster& cluster) -> void
{
    cluster.client().waitUntil(
        [&cluster] { return cluster.control(cluster.keyValueService(), Json::object())["waiting_watches"].get<int>() >= FLAGS_nodes; }, 10s);
}

auto measureIdle(Cluster& cluster) -> void
{
    const auto before = storeCalls(cluster);
    std::this_thread::sleep_for(std::chrono::seconds(FLAGS_idle_seconds));
    const auto after = storeCalls(cluster);
    const auto perNodeSecond = static_cast<double>(FLAGS_nodes) * FLAGS_idle_seconds;
    std::cout << "idle, calls per node and second: reads " << static_cast<double>(after.reads - before.reads) / perNodeSecond
              << ", writes " << static_cast<double>(after.writes - before.writes) / perNodeSecond
              << ", watches " << static_cast<double>(after.watches - before.watches) / perNodeSecond << "\n";
}

auto runMeasurement() -> int
{
    Cluster cluster({ .nodes = static_cast<std::size_t>(FLAGS_nodes), .engines = 1, .plainServices = 1 });
    if (!cluster.start())
        return EXIT_FAILURE;
    measureIdle(cluster);
    cluster.control(cluster.keyValueService(), { { "delay_ms", FLAGS_delay_ms } });
    const auto before = storeCalls(cluster);
    Figures figures;
    for (int index = 0; index < FLAGS_changes; ++index) {
        waitForWatches(cluster);
        if (FLAGS_silent_watches)
            cluster.control(cluster.keyValueService(), { { "silence_watches", true } });
        if (!makeChange(cluster, index, figures))
            return EXIT_FAILURE;
    }
    const auto after = storeCalls(cluster);
    const auto changes = static_cast<double>(FLAGS_changes);
    printQuantiles("accepted after", figures.accepted);
    printQuantiles("in force everywhere after", figures.inForce);
    std::cout << "store calls per change: reads " << static_cast<double>(after.reads - before.reads) / changes
              << ", writes " << static_cast<double>(after.writes - before.writes) / changes
              << ", watches of all nodes " << static_cast<double>(after.watches - before.watches) / changes << "\n"
              << FLAGS_changes - figures.lateChanges << " of " << FLAGS_changes << " changes in force on " << FLAGS_nodes << " nodes within 6 s\n";
    return figures.lateChanges == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    gflags::SetUsageMessage("Measures how long operators' changes take.\n\nExample:\n  tools/measure changes --nodes=8 --changes=50 --delay_ms=1000");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    try {
        return runMeasurement();
    } catch (const std::exception& error) {
        std::cerr << error.what() << "\n";
        return EXIT_FAILURE;
    }
}
