#include "experiment.h"

#include "cluster.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

using Json = nlohmann::json;

constexpr int engineStepMicroseconds = 30'000;
constexpr int engineSlots = 8;
constexpr int slowedFactor = 5;
constexpr std::size_t slowedShare = 6; ///< One of this many engines is slowed down.
constexpr auto settleTime = 1500ms; ///< Time after which every node has received load reports.
constexpr auto disturbanceDelay = 2s; ///< Time between the end of the warm-up and the fault.
constexpr auto drainTimeout = 6s;

auto makeOptions(const Experiment& experiment) -> Testkit::ClusterOptions
{
    Testkit::ClusterOptions options;
    options.nodes = experiment.nodes;
    options.engines = experiment.deployment.engines;
    options.plainServices = experiment.deployment.plainServices;
    options.zones = experiment.deployment.zones;
    options.engine = { { "step_us", engineStepMicroseconds }, { "slots", engineSlots } };
    auto seeds = Json::array();
    for (std::size_t node = 0; node < experiment.nodes; ++node)
        seeds.push_back("127.255.0." + std::to_string(node + 1) + ":8082");
    options.settings = { { "peers", { { "seeds", seeds }, { "keys", Json::array() } } }, { "routing_policy", experiment.policy }, { "log_level", "error" },
        { "timeouts", { { "backend_first_byte", "60s" }, { "backend_idle", "10s" } } } };
    return options;
}

/** Sends \a body to the control endpoint of \a server without waiting for the answer. */
auto sendControl(Replayer& replayer, const Address& server, const Json& body) -> void
{
    replayer.httpClient().fetch(server, { "POST", "/control", "", {}, body.dump() }, {}, [](std::error_code, const HttpResponse&) {});
}

auto addDisturbance(const Experiment& experiment, Testkit::Cluster& cluster, Replayer& replayer) -> void
{
    const auto engines = experiment.deployment.engines;
    const auto sendToEngines = [&replayer, &cluster](std::size_t first, std::size_t step, std::size_t count, const Json& body) {
        for (std::size_t engine = first; engine < count; engine += step)
            sendControl(replayer, cluster.engineAddress(engine), body);
    };
    if (experiment.disturbance == Disturbance::SlowEngines)
        replayer.addTask(experiment.warmup + disturbanceDelay, [=] { sendToEngines(1, slowedShare, engines, { { "slowdown", slowedFactor } }); });
    if (experiment.disturbance == Disturbance::FailingEngines)
        replayer.addTask(experiment.warmup + disturbanceDelay, [=] { sendToEngines(0, 1, engines * 3 / 10, { { "down", true } }); });
    if (experiment.disturbance == Disturbance::ZoneLost) {
        replayer.addTask(experiment.warmup + disturbanceDelay, [&replayer, &cluster, &experiment, engines, sendToEngines] {
            auto lost = Json::array();
            for (std::size_t engine = 0; engine < engines; engine += experiment.deployment.zones)
                lost.push_back(Testkit::Cluster::engineId(engine));
            sendControl(replayer, cluster.instanceList(), { { "remove", lost } });
            sendToEngines(0, experiment.deployment.zones, engines, { { "down", true } });
        });
    }
}

/** Schedules a query of the prompt tokens computed by the engines for the end of the warm-up. */
auto addWarmupSample(const Experiment& experiment, const Testkit::Cluster& cluster, Replayer& replayer, ExperimentResult& result) -> void
{
    replayer.addTask(experiment.warmup, [&experiment, &cluster, &replayer, &result] {
        for (std::size_t engine = 0; engine < experiment.deployment.engines; ++engine) {
            replayer.httpClient().fetch(cluster.engineAddress(engine), { "POST", "/control", "", {}, "{}" }, {}, [&result](std::error_code, const HttpResponse& response) {
                const auto state = Json::parse(response.body, nullptr, false);
                result.warmupPromptTokens += state.is_object() ? state.value("computed_prompt_tokens", std::int64_t { 0 }) : 0;
            });
        }
    });
}

/** Returns the sum of the counter \a name over all label sets in the metrics \a text. */
auto sumOfCounter(const std::string& text, const std::string& name) -> std::int64_t
{
    std::istringstream lines(text);
    double sum = 0;
    for (std::string line; std::getline(lines, line);) {
        const auto space = line.rfind(' ');
        if (line.find(name + "{") == std::string::npos || line.starts_with('#') || space == std::string::npos)
            continue;
        sum += std::stod(line.substr(space));
    }
    return static_cast<std::int64_t>(sum);
}

auto collectCounters(const Experiment& experiment, Testkit::Cluster& cluster, ExperimentResult& result) -> void
{
    result.computedPromptTokens = -result.warmupPromptTokens;
    for (std::size_t engine = 0; engine < experiment.deployment.engines; ++engine) {
        const auto state = cluster.control(cluster.engineAddress(engine), Json::object());
        if (!state.is_object())
            continue;
        result.computedPromptTokens += state.value("computed_prompt_tokens", std::int64_t { 0 });
        result.generatedTokens += state.value("generated_tokens", std::int64_t { 0 });
        result.startedStreams += state.value("started_streams", std::int64_t { 0 });
    }
    for (std::size_t node = 0; node < experiment.nodes; ++node) {
        const auto text = cluster.client().get(cluster.operatorsAddress(node), "/metrics",
            { { "Authorization", std::string("Bearer ") + Testkit::Cluster::operatorKey } });
        result.attempts += sumOfCounter(text.response.body, "attempts_total");
        result.nodeProcessorTime += cluster.node(node).processorTime();
    }
}

} // namespace

auto runExperiment(const Experiment& experiment) -> ExperimentResult
{
    ExperimentResult result;
    Testkit::Cluster cluster(makeOptions(experiment));
    if (!cluster.start())
        return result;
    cluster.client().waitUntil([] { return false; }, settleTime);

    std::vector<Address> nodes;
    for (std::size_t node = 0; node < experiment.nodes; ++node)
        nodes.push_back(cluster.callersAddress(node));
    Replayer replayer(nodes, Testkit::Cluster::callerKey);
    addDisturbance(experiment, cluster, replayer);
    addWarmupSample(experiment, cluster, replayer, result);
    result.outcomes = replayer.replay(experiment.trace, drainTimeout);
    result.acceptedRequests = static_cast<std::size_t>(std::count_if(result.outcomes.begin(), result.outcomes.end(),
        [](const Outcome& outcome) { return outcome.status == 0 || outcome.status == HttpStatus::ok; }));
    std::erase_if(result.outcomes, [&experiment](const Outcome& outcome) { return outcome.at < experiment.warmup; });
    collectCounters(experiment, cluster, result);
    result.isRun = true;
    return result;
}

} // namespace Primrosefork::Measure
