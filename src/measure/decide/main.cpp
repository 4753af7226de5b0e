#include "admissionbenchmark.h"
#include "hash.h"
#include "leastcostpolicy.h"
#include "process.h"
#include "sharedload.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <exception>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <vector>

DEFINE_bool(instructions, true, "Whether to count instructions with valgrind, too.");
DEFINE_uint64(single, 0, "Only makes decisions among this number of engines, as the count of instructions needs it; 0 runs the measurement.");
DEFINE_uint64(decisions, 2000, "Number of decisions in each repeat.");

namespace {

using namespace Primrosefork;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr std::array<std::size_t, 4> engineCounts { 12, 100, 500, 1500 };
constexpr int repeats = 9;
constexpr std::size_t conversations = 200;
constexpr std::size_t promptBytes = 4096;
constexpr double maxDecisionMicroseconds = 20;
constexpr std::uint64_t profiledDecisions = 400;
constexpr std::size_t waitingRequests = 10'000;
constexpr double maxAdmissionMicroseconds = 50;
constexpr double maxWaitingBytes = 2'048; ///< What a node reckons for a waiting request beside its body.
constexpr int targets = 4 + sharedLoadTargets;

auto makeServers(std::size_t count) -> std::vector<BackendServer>
{
    std::vector<BackendServer> servers;
    for (std::size_t engine = 0; engine < count; ++engine) {
        BackendServer server;
        server.id = "engine-" + std::to_string(engine);
        server.zone = std::string(1, static_cast<char>('a' + engine % 3));
        servers.push_back(std::move(server));
    }
    return servers;
}

auto makeReports(const std::vector<BackendServer>& servers, Clock::time_point now) -> LoadReports
{
    LoadReports reports;
    for (const auto& server : servers)
        reports[server.id] = { static_cast<std::int64_t>(hash64(server.id) % 8), 0, 0, now };
    return reports;
}

/** Makes routing decisions as a node does, while as many earlier requests as there are engines are in flight. */
class DecisionBenchmark {
public:
    explicit DecisionBenchmark(std::size_t engines)
        : servers(makeServers(engines))
        , policy(1)
        , candidates(candidatePointers())
    {
        this->policy.loadReported(makeReports(this->servers, this->now), this->now);
        for (std::size_t conversation = 0; conversation < conversations; ++conversation)
            this->blocks.push_back(prefixBlocks(std::string(promptBytes / 2, 'x') + std::string(promptBytes / 2, static_cast<char>('a' + conversation % 26)) + std::to_string(conversation)));
    }

    auto decide(std::uint64_t count) -> void
    {
        for (std::uint64_t step = 0; step < count; ++step) {
            this->now += 1ms;
            RoutingRequest request;
            request.id = ++this->nextId;
            request.promptTokens = promptBytes / 4;
            request.expectedTokens = 100;
            request.prefixBlocks = this->blocks[step % this->blocks.size()];
            request.zone = "a";
            const auto* server = this->policy.choose(request, this->candidates, this->now);
            if (!server)
                continue;
            this->policy.requestSent(request, *server, this->now);
            this->open.push_back({ request, server });
            if (this->open.size() > this->servers.size()) {
                const auto& [oldest, oldestServer] = this->open.front();
                this->policy.requestEnded(oldest, *oldestServer, AttemptEnd::Finished, this->now);
                this->open.pop_front();
            }
        }
    }

private:
    struct OpenRequest {
        RoutingRequest request;
        const BackendServer* server = nullptr;
    };

    auto candidatePointers() -> std::vector<const BackendServer*>
    {
        std::vector<const BackendServer*> result;
        for (const auto& server : this->servers)
            result.push_back(&server);
        return result;
    }

    std::vector<BackendServer> servers;
    LeastCostPolicy policy;
    CandidateList candidates;
    std::vector<std::vector<std::uint64_t>> blocks;
    std::deque<OpenRequest> open;
    std::uint64_t nextId = 0;
    Clock::time_point now { 1h };
};

/** Returns the median duration of one decision among \a engines engines, in microseconds. */
auto medianDecisionTime(std::size_t engines) -> double
{
    DecisionBenchmark benchmark(engines);
    benchmark.decide(FLAGS_decisions);
    std::array<double, repeats> times {};
    for (auto& time : times) {
        const auto start = Clock::now();
        benchmark.decide(FLAGS_decisions);
        const std::chrono::duration<double, std::micro> elapsed = Clock::now() - start;
        time = elapsed.count() / static_cast<double>(FLAGS_decisions);
    }
    std::nth_element(times.begin(), times.begin() + repeats / 2, times.end());
    return times[repeats / 2];
}

/** Returns the number of instructions that \a program executes for \a decisions decisions among \a engines engines, or 0 when they cannot be counted. */
auto countInstructions(const std::string& program, std::size_t engines, std::uint64_t decisions) -> std::uint64_t
{
    const auto result = Testkit::runProgram("/usr/bin/valgrind",
        { "--tool=callgrind", "--callgrind-out-file=/dev/null", program, "--single=" + std::to_string(engines), "--decisions=" + std::to_string(decisions) }, 60s);
    constexpr std::string_view label = "Collected : ";
    const auto place = result.output.find(label);
    std::uint64_t instructions = 0;
    if (result.exitCode != 0 || place == std::string::npos)
        return 0;
    const auto* first = result.output.data() + place + label.size();
    std::from_chars(first, result.output.data() + result.output.size(), instructions);
    return instructions;
}

/** Returns the instructions of one decision, as the difference of two runs so that the start of the program is not counted. */
auto instructionsOfDecision(const std::string& program, std::size_t engines) -> std::uint64_t
{
    const auto few = countInstructions(program, engines, profiledDecisions);
    const auto many = countInstructions(program, engines, 2 * profiledDecisions);
    return few == 0 || many < few ? 0 : (many - few) / profiledDecisions;
}

auto printTarget(bool holds, const char* name, double figure, double bound) -> int
{
    std::printf("%-6s %s: %.2f, at most %.2f\n", holds ? "holds" : "missed", name, figure, bound);
    return holds ? 1 : 0;
}

auto measure(const std::string& program) -> int
{
    std::printf("engines  microseconds  instructions (of one decision)\n");
    std::array<double, engineCounts.size()> times {};
    std::array<std::uint64_t, engineCounts.size()> instructions {};
    for (std::size_t index = 0; index < engineCounts.size(); ++index) {
        times[index] = medianDecisionTime(engineCounts[index]);
        instructions[index] = FLAGS_instructions ? instructionsOfDecision(program, engineCounts[index]) : 0;
        std::printf("%7zu  %12.2f  %12llu\n", engineCounts[index], times[index], static_cast<unsigned long long>(instructions[index]));
        std::fflush(stdout);
    }
    const auto growthOfEngines = static_cast<double>(engineCounts.back()) / static_cast<double>(engineCounts.front());
    const auto hasCounts = instructions.front() > 0 && instructions.back() > 0;
    const auto growth = hasCounts ? static_cast<double>(instructions.back()) / static_cast<double>(instructions.front()) : times.back() / times.front();
    int passed = printTarget(times.back() <= maxDecisionMicroseconds, "microseconds per decision among 1500 engines", times.back(), maxDecisionMicroseconds);
    passed += printTarget(growth < growthOfEngines, "growth of the cost of a decision from 12 to 1500 engines", growth, growthOfEngines);
    const auto admission = measureAdmission(waitingRequests);
    passed += printTarget(admission.microseconds <= maxAdmissionMicroseconds, "microseconds to hold and start a request with 10000 waiting", admission.microseconds, maxAdmissionMicroseconds);
    passed += printTarget(admission.bytes <= maxWaitingBytes, "bytes of a waiting request in the queue", admission.bytes, maxWaitingBytes);
    passed += measureSharedLoad();
    std::printf("%d passed, %d failed\n", passed, targets - passed);
    return passed == targets ? EXIT_SUCCESS : EXIT_FAILURE;
}

auto runProgram(int argc, char** argv) -> int
{
    gflags::SetUsageMessage("Measures the cost of one routing decision.\n\nExample:\n  measure_decide --noinstructions");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (sodium_init() < 0)
        return EXIT_FAILURE;
    if (FLAGS_single == 0)
        return measure(argv[0]);
    DecisionBenchmark benchmark(FLAGS_single);
    benchmark.decide(FLAGS_decisions);
    return EXIT_SUCCESS;
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
