#include "cluster.h"
#include "streamload.h"

#include <cstdio>
#include <gflags/gflags.h>
#include <sodium.h>

DEFINE_int32(tokens, 64, "Number of tokens of each stream.");
DEFINE_int32(step_us, 31000, "Time between two tokens of the stand-in engine, in microseconds.");

namespace {

using namespace Primrosefork;
using Json = nlohmann::json;

constexpr std::size_t streamCounts[] = { 1, 100, 1000 };
constexpr std::size_t slots = 2000; ///< Slots of the engine, more than there are streams so that none has to wait.

auto toMilliseconds(std::chrono::nanoseconds duration) -> double
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

auto promptOf(std::size_t index) -> std::string
{
    return "prompt of stream " + std::to_string(index);
}

auto directLoad(const Testkit::Cluster& cluster, std::size_t streams) -> StreamLoad
{
    StreamLoad load { cluster.engineAddress(0), "/v1/generate", {}, {}, streams, static_cast<std::size_t>(FLAGS_tokens) };
    load.body = [](std::size_t index) {
        return Json { { "stream", std::to_string(index) }, { "prompt", promptOf(index) }, { "max_tokens", FLAGS_tokens } }.dump();
    };
    return load;
}

auto nodeLoad(const Testkit::Cluster& cluster, std::size_t streams) -> StreamLoad
{
    StreamLoad load { cluster.callersAddress(0), "/v1/services/desk/chat",
        { { "Authorization", std::string("Bearer ") + Testkit::Cluster::callerKey } }, {}, streams, static_cast<std::size_t>(FLAGS_tokens) };
    load.body = [](std::size_t index) {
        return Json { { "prompt", promptOf(index) }, { "max_tokens", FLAGS_tokens }, { "stream", true } }.dump();
    };
    return load;
}

auto print(const char* path, std::size_t streams, const StreamLoadResult& result) -> void
{
    std::printf("%-6s %5zu streams: first token p50 %8.2f ms p99 %8.2f ms, between tokens p50 %6.2f ms p99 %6.2f ms, %zu tokens, %zu failed\n",
        path, streams, toMilliseconds(result.firstToken.quantile(0.5)), toMilliseconds(result.firstToken.quantile(0.99)),
        toMilliseconds(result.betweenTokens.quantile(0.5)), toMilliseconds(result.betweenTokens.quantile(0.99)), result.tokens, result.failures);
}

/** Compares streams through the node with direct streams and returns the number of failed ones. */
auto compare(Testkit::Cluster& cluster, std::size_t streams) -> std::size_t
{
    auto& node = cluster.node(0);
    const auto direct = runStreamLoad(cluster.client(), directLoad(cluster, streams), [] { return std::size_t { 0 }; });
    const auto idleBytes = node.residentBytes();
    const auto before = node.processorTime();
    const auto throughNode = runStreamLoad(cluster.client(), nodeLoad(cluster, streams), [&node] { return node.residentBytes(); });
    const auto spent = node.processorTime() - before;
    print("direct", streams, direct);
    print("node", streams, throughNode);

    const auto addedFirst = toMilliseconds(throughNode.firstToken.quantile(0.5) - direct.firstToken.quantile(0.5));
    const auto ratioFirst = toMilliseconds(throughNode.firstToken.quantile(0.5)) / toMilliseconds(direct.firstToken.quantile(0.5));
    const auto ratioBetween = toMilliseconds(throughNode.betweenTokens.quantile(0.99)) / toMilliseconds(direct.betweenTokens.quantile(0.99));
    std::printf("       %5zu streams: added to the first token %.2f ms (ratio %.3f), between tokens p99 ratio %.3f\n", streams, addedFirst, ratioFirst, ratioBetween);
    if (spent.count() > 0) {
        const auto tokensPerCore = static_cast<double>(throughNode.tokens) * 1000.0 / static_cast<double>(spent.count());
        std::printf("       %5zu streams: %.0f tokens per second and core (%lld ms of processor time)\n", streams, tokensPerCore, static_cast<long long>(spent.count()));
    }
    const auto grown = throughNode.peakResidentBytes > idleBytes ? throughNode.peakResidentBytes - idleBytes : 0;
    std::printf("       %5zu streams: %.1f KiB of memory per open stream (resident %.1f MiB)\n", streams,
        static_cast<double>(grown) / 1024.0 / static_cast<double>(streams), static_cast<double>(throughNode.peakResidentBytes) / 1024.0 / 1024.0);
    return direct.failures + throughNode.failures;
}

auto run() -> int
{
    Testkit::ClusterOptions options;
    options.engines = 1;
    options.engine = { { "slots", slots }, { "step_us", FLAGS_step_us }, { "prefill_tokens_per_second", 1'000'000'000 } };
    Testkit::Cluster cluster(options);
    if (!cluster.start()) {
        std::printf("the cluster did not start\n");
        return 1;
    }
    int failed = 0;
    int passed = 0;
    for (const auto streams : streamCounts)
        compare(cluster, streams) == 0 ? ++passed : ++failed;
    std::printf("%d passed, %d failed\n", passed, failed);
    return failed == 0 ? 0 : 1;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (sodium_init() < 0)
        return 1;
    gflags::SetUsageMessage("Measures the latency, processor time and memory that a node adds to a stream, compared with a direct connection to the engine.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return run();
    } catch (const std::exception& error) {
        std::printf("%s\n", error.what());
        return 1;
    }
}
