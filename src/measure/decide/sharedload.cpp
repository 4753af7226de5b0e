#include "sharedload.h"

#include "cacheawarepolicy.h"
#include "fleetmessage.h"
#include "loadaccount.h"
#include "loadview.h"
#include "serverindex.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace Primrosefork {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::size_t engineCount = 1'500;
constexpr std::size_t nodeCount = 340;
constexpr std::size_t zoneCount = 16;
constexpr std::size_t serviceCount = 3;
constexpr std::size_t openPerNode = 22; ///< Open requests of a node: 1,500 requests a second of five seconds each, over 340 nodes.
constexpr int decisions = 20'000;
constexpr int repeats = 9;
constexpr double reportsPerSecond = 2;
constexpr double maxDecisionMicroseconds = 20;
constexpr double maxBytesPerSecond = 3'000; ///< For all control of one node; the loads are a part of it.

/** Returns the processor time that the program has used, which other work on the machine lengthens less than the time that passes. */
auto processorTime() -> std::chrono::duration<double>
{
    return std::chrono::duration<double>(static_cast<double>(std::clock()) / CLOCKS_PER_SEC);
}

auto makeEngines() -> BackendServers
{
    BackendServers engines;
    for (std::size_t index = 0; index < engineCount; ++index) {
        BackendServer server;
        server.id = "i-" + std::to_string(100'000 + index);
        server.pool = "llm-" + std::to_string(index % serviceCount);
        server.zone = "region-" + std::to_string(index % zoneCount);
        server.slots = 32;
        engines[server.id] = server;
    }
    return engines;
}

/** Returns the load of one node with openPerNode requests at random engines. */
auto makeNodeLoad(const std::vector<const BackendServer*>& engines, std::size_t node, std::minstd_rand& random) -> NodeLoad
{
    NodeLoad load;
    load.zone = "region-" + std::to_string(node % zoneCount);
    for (std::size_t request = 0; request < openPerNode; ++request)
        load.servers.push_back({ loadKeyOf(engines[random() % engines.size()]->id), 1, request < 3 ? static_cast<std::int64_t>(random() % 4'000) : 0 });
    for (std::size_t service = 0; service < serviceCount; ++service)
        load.demand.push_back({ "llm-" + std::to_string(service), 0, 1.47 });
    return load;
}

/** Returns the median duration of a decision, from the sampled candidates to the server, in microseconds of processor time. */
auto medianDecision(const ServerIndex& index, const OtherLoadSource* loads, Clock::time_point now) -> double
{
    std::vector<double> times;
    for (int repeat = 0; repeat < repeats; ++repeat) {
        CacheAwarePolicy policy(1);
        policy.setOtherLoads(loads);
        std::minstd_rand random(1);
        std::deque<std::pair<RoutingRequest, const BackendServer*>> open;
        const auto begin = processorTime();
        for (int decision = 0; decision < decisions; ++decision) {
            const std::vector<PromptPart> parts { { 1 + random() % 300, 1'500 }, { random(), 500 } };
            RoutingRequest request;
            request.id = static_cast<std::uint64_t>(decision) + 1;
            request.promptTokens = 2'000;
            request.zone = "region-1";
            request.promptParts = parts;
            const auto candidates = index.candidates(homePrefixOf(request), false, random);
            const auto* server = policy.choose(request, candidates, now);
            policy.requestSent(request, *server, now);
            request.promptParts = {};
            open.emplace_back(request, server);
            if (open.size() > openPerNode) {
                policy.requestEnded(open.front().first, *open.front().second, AttemptEnd::Finished, now);
                open.pop_front();
            }
        }
        times.push_back(std::chrono::duration<double, std::micro>(processorTime() - begin).count() / decisions);
    }
    std::nth_element(times.begin(), times.begin() + repeats / 2, times.end());
    return times[repeats / 2];
}

auto bytesOf(const FleetMessage& message) -> double
{
    return static_cast<double>(encodeFleetMessage(message).size());
}

auto printRow(bool holds, const char* name, double figure, double bound) -> int
{
    std::printf("%-6s %s: %.2f, at most %.2f\n", holds ? "holds" : "missed", name, figure, bound);
    return holds ? 1 : 0;
}

/** What sharing the load costs at the size to design for. */
struct SharingCost {
    double leaderPercent = 0; ///< Part of a core that the leader's sums and answers take.
    double bytesPerSecond = 0; ///< Bytes of the loads in a node's reports and their answers.
    LoadAnswer answer; ///< To one of the nodes.
};

/** Returns the processor time of the leader's part for all nodes, as a percentage of a core. */
auto leaderPercent(LoadAccount& account, const std::vector<NodeLoad>& loads, Clock::time_point now) -> double
{
    constexpr int rounds = 20;
    const auto begin = processorTime();
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t node = 0; node < loads.size(); ++node) {
            const auto id = "node" + std::to_string(node);
            account.reportReceived(id, loads[node], now);
            static_cast<void>(account.answerFor(id));
        }
        account.update(loads.size(), now);
    }
    return (processorTime() - begin).count() / rounds * reportsPerSecond * 100;
}

auto measureSharing(const BackendServers& engines, const std::vector<NodeLoad>& loads, Clock::time_point now) -> SharingCost
{
    LoadAccount account;
    account.begin(now);
    account.setServers(engines);
    SharingCost cost;
    cost.leaderPercent = leaderPercent(account, loads, now);
    cost.answer = account.answerFor("node0").value_or(LoadAnswer {});
    FleetMessage report;
    report.report.emplace();
    FleetMessage answer;
    answer.answer.emplace();
    const auto plainBytes = bytesOf(report) + bytesOf(answer);
    report.report->loads = loads.front().servers;
    answer.answer->load = cost.answer;
    cost.bytesPerSecond = reportsPerSecond * (bytesOf(report) + bytesOf(answer) - plainBytes);
    return cost;
}

} // namespace

auto measureSharedLoad() -> int
{
    const auto engines = makeEngines();
    std::vector<const BackendServer*> all;
    for (const auto& [id, server] : engines)
        all.push_back(&server);
    std::minstd_rand random(1);
    std::vector<NodeLoad> loads;
    for (std::size_t node = 0; node < nodeCount; ++node)
        loads.push_back(makeNodeLoad(all, node, random));
    const Clock::time_point now { 1h };
    const auto cost = measureSharing(engines, loads, now);
    LoadView view("region-1");
    static_cast<void>(view.answerReceived(cost.answer, loads.front().demand, now));
    const ServerIndex index(all);
    std::printf("\nshared load at %zu nodes and %zu engines\n", nodeCount, engineCount);
    const auto alone = medianDecision(index, nullptr, now);
    const auto shared = medianDecision(index, &view, now);
    std::printf("choice of a server among the candidates of %zu engines: %.2f us without, %.2f us with shared load\n", engineCount, alone, shared);
    std::printf("the leader's sums and answers: %.2f%% of a core\n", cost.leaderPercent);
    std::printf("loads in a report and its answer: %.0f bytes a second for each node (%zu servers reported, %zu listed, %zu rooms)\n", cost.bytesPerSecond,
        loads.front().servers.size(), cost.answer.busiest.size(), cost.answer.rooms.size());
    return printRow(shared <= maxDecisionMicroseconds, "microseconds per decision with shared load", shared, maxDecisionMicroseconds)
        + printRow(cost.bytesPerSecond <= maxBytesPerSecond, "bytes of loads per second and node", cost.bytesPerSecond, maxBytesPerSecond);
}

} // namespace Primrosefork
