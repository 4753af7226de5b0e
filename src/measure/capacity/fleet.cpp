#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <thread>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Json = nlohmann::json;

constexpr double percent = 100;
constexpr double bytesPerMegabyte = 1024.0 * 1024.0;
constexpr auto startTimeout = 180s;
constexpr auto changeTimeout = 30s;
constexpr auto deathTimeout = 30s;

/** Returns the value of the unlabelled metric \a name in the text exposition format. */
auto metricValue(const std::string& text, const std::string& name) -> double
{
    const auto line = "\nprimrosefork_" + name + " ";
    const auto place = ("\n" + text).find(line);
    return place == std::string::npos ? 0 : std::strtod(("\n" + text).c_str() + place + line.size(), nullptr);
}

auto clusterOptions(const FleetOptions& options) -> Testkit::ClusterOptions
{
    Testkit::ClusterOptions result;
    result.nodes = options.nodes;
    result.engines = options.engines;
    result.plainServices = options.plainServices;
    result.hasPeers = true;
    return result;
}

} // namespace

Fleet::Fleet(const FleetOptions& options)
    : cluster(clusterOptions(options))
    , running(options.nodes)
{
}

auto Fleet::start() -> bool
{
    if (!this->cluster.start())
        return false;
    const auto others = static_cast<double>(this->running - 1);
    return this->cluster.client().waitUntil([this, others] { return this->allNodesReport("peers_live", others, others); }, startTimeout);
}

auto Fleet::scrapeAll() -> std::vector<ScrapeResult>
{
    const auto results = std::make_shared<std::vector<ScrapeResult>>(this->running);
    const auto pending = std::make_shared<std::size_t>(this->running);
    HttpCallOptions options;
    options.usesFreshConnection = true;
    options.firstByteTimeout = 5s;
    std::vector<std::shared_ptr<HttpCall>> calls;
    for (std::size_t index = 0; index < this->running; ++index) {
        const HttpRequest request { "GET", "/metrics", "", { { "Authorization", std::string("Bearer ") + Testkit::Cluster::operatorKey } }, "" };
        calls.push_back(this->cluster.client().httpClient().fetch(
            this->cluster.operatorsAddress(index), request, options, [results, pending, index](std::error_code error, const HttpResponse& response) {
                (*results)[index] = { !error && response.status == HttpStatus::ok, response.body };
                --*pending;
            }));
    }
    static_cast<void>(this->cluster.client().waitUntil([pending] { return *pending == 0; }, 10s));
    return *results;
}

auto Fleet::allNodesReport(const std::string& metric, double least, double most) -> bool
{
    const auto results = this->scrapeAll();
    return std::all_of(results.begin(), results.end(), [&](const ScrapeResult& node) {
        const auto value = metricValue(node.text, metric);
        return node.isValid && value >= least && value <= most;
    });
}

auto Fleet::sample() -> FleetSample
{
    FleetSample sample;
    const auto results = this->scrapeAll();
    for (std::size_t index = 1; index < this->running; ++index) {
        sample.sentBytes += metricValue(results[index].text, "peer_sent_bytes_total");
        sample.receivedBytes += metricValue(results[index].text, "peer_received_bytes_total");
        sample.sentMessages += metricValue(results[index].text, "peer_sent_messages_total");
        sample.processorTime += this->cluster.node(index).processorTime();
        sample.residentBytes += static_cast<double>(this->cluster.node(index).residentBytes());
    }
    const auto calls = this->cluster.control(this->cluster.keyValueService(), Json::object());
    sample.storeReads = calls["reads"].get<double>();
    sample.storeWrites = calls["writes"].get<double>();
    sample.storeWatches = calls["watches"].get<double>();
    sample.standinProcessorTime = this->cluster.standins().processorTime();
    sample.time = EventLoop::now();
    return sample;
}

auto Fleet::toRates(const FleetSample& before, const FleetSample& after) const -> FleetRates
{
    const auto seconds = std::chrono::duration<double>(after.time - before.time).count();
    const auto nodeSeconds = seconds * static_cast<double>(this->running - 1);
    FleetRates rates;
    rates.processorPercent = percent * std::chrono::duration<double>(after.processorTime - before.processorTime).count() / nodeSeconds;
    rates.standinPercent = percent * std::chrono::duration<double>(after.standinProcessorTime - before.standinProcessorTime).count() / seconds;
    rates.residentMebibytes = after.residentBytes / static_cast<double>(this->running - 1) / bytesPerMegabyte;
    rates.sentBytes = (after.sentBytes - before.sentBytes) / nodeSeconds;
    rates.receivedBytes = (after.receivedBytes - before.receivedBytes) / nodeSeconds;
    rates.sentMessages = (after.sentMessages - before.sentMessages) / nodeSeconds;
    rates.storeReads = (after.storeReads - before.storeReads) / seconds;
    rates.storeWrites = (after.storeWrites - before.storeWrites) / seconds;
    rates.storeWatches = (after.storeWatches - before.storeWatches) / seconds;
    return rates;
}

auto Fleet::measure(std::chrono::milliseconds duration) -> FleetRates
{
    const auto before = this->sample();
    this->sleep(duration);
    return this->toRates(before, this->sample());
}

auto Fleet::measureUnderChange(std::chrono::milliseconds duration, std::chrono::milliseconds period) -> FleetRates
{
    const auto before = this->sample();
    for (const auto end = EventLoop::now() + duration; EventLoop::now() < end;) {
        this->changeConfiguration();
        this->sleep(period);
    }
    return this->toRates(before, this->sample());
}

auto Fleet::changeConfiguration() -> std::uint64_t
{
    ++this->changes;
    const Json record { { "revision", 1 }, { "content", { { "key_sha256", std::string(64, 'e') } } } };
    this->cluster.putRecord("config/workspaces/w" + std::to_string(this->changes), record);
    return this->cluster.control(this->cluster.keyValueService(), Json::object())["revision"].get<std::uint64_t>();
}

auto Fleet::timeChange() -> std::chrono::milliseconds
{
    const auto start = EventLoop::now();
    const auto revision = static_cast<double>(this->changeConfiguration());
    const auto isDone = this->cluster.client().waitUntil([this, revision] { return this->allNodesReport("configuration_revision", revision, revision + 1e9); }, changeTimeout);
    return isDone ? std::chrono::duration_cast<std::chrono::milliseconds>(EventLoop::now() - start) : -1ms;
}

auto Fleet::timeNodeDeath() -> std::chrono::milliseconds
{
    --this->running;
    const auto start = EventLoop::now();
    this->cluster.node(this->running).sendSignal(SIGKILL);
    const auto others = static_cast<double>(this->running - 1);
    const auto isDone = this->cluster.client().waitUntil([this, others] { return this->allNodesReport("peers_live", others, others); }, deathTimeout);
    return isDone ? std::chrono::duration_cast<std::chrono::milliseconds>(EventLoop::now() - start) : -1ms;
}

auto Fleet::instanceListBytes() -> std::size_t
{
    return this->cluster.client().get(this->cluster.instanceList(), "/v1/instances").response.body.size();
}

auto Fleet::sleep(std::chrono::milliseconds duration) -> void
{
    std::this_thread::sleep_for(duration);
}

} // namespace Primrosefork
