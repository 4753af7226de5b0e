#include "streamtest.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace std::chrono_literals;

namespace Primrosefork::StreamTest {

namespace {

using Json = nlohmann::json;

auto faultsOf(const Callers& callers) -> std::string
{
    const auto totals = Testkit::totalsOf(callers);
    const auto missing = static_cast<std::int64_t>(callers.size()) - totals.complete;
    return std::to_string(missing) + " incomplete, " + std::to_string(totals.wrongTokens) + " wrong tokens, " + std::to_string(totals.gaps) + " gaps, "
        + std::to_string(totals.repeats) + " repeats";
}

} // namespace

auto addCaller(Callers& callers, Testkit::Cluster& cluster, const std::vector<std::size_t>& nodes, std::int64_t tokens, bool dependsOnHistory) -> void
{
    Testkit::StreamRequest order;
    for (const auto node : nodes)
        order.nodes.push_back(cluster.callersAddress(node));
    order.prompt = "stream " + std::to_string(callers.size()) + " of a salon's schedule";
    order.tokens = tokens;
    order.dependsOnHistory = dependsOnHistory;
    order.firstNode = callers.size();
    callers.push_back(std::make_unique<Testkit::StreamCaller>(cluster.client(), std::move(order)));
    callers.back()->begin();
}

auto haveAllBegun(const Callers& callers) -> bool
{
    return haveAllReceived(callers, 1);
}

auto haveAllReceived(const Callers& callers, std::int64_t tokens) -> bool
{
    return std::all_of(callers.begin(), callers.end(), [tokens](const auto& caller) { return caller->record().received >= tokens; });
}

auto areAllComplete(const Callers& callers) -> bool
{
    return std::all_of(callers.begin(), callers.end(), [](const auto& caller) { return caller->record().isComplete; });
}

auto runningStreams(Testkit::Cluster& cluster, std::size_t engine) -> std::int64_t
{
    return cluster.control(cluster.engineAddress(engine), Json::object()).value("running", std::int64_t { -1 });
}

auto startedStreams(Testkit::Cluster& cluster, std::size_t engine) -> std::int64_t
{
    return cluster.control(cluster.engineAddress(engine), Json::object()).value("started_streams", std::int64_t { -1 });
}

auto metricValue(Testkit::Cluster& cluster, const std::string& name) -> double
{
    return Testkit::readMetric(cluster.client(), cluster.operatorsAddress(0), name);
}

auto announceReclaim(Testkit::Cluster& cluster, const Json& instances, std::chrono::milliseconds remaining) -> void
{
    cluster.control(cluster.cloudApi(), { { "reclaim", instances }, { "remaining_ms", remaining.count() } });
}

auto checkAnswers(const Callers& callers) -> void
{
    CHECK(faultsOf(callers) == "0 incomplete, 0 wrong tokens, 0 gaps, 0 repeats");
}

auto runFor(Testkit::Cluster& cluster, std::chrono::milliseconds time) -> void
{
    const auto end = EventLoop::now() + time;
    cluster.client().waitUntil([end] { return EventLoop::now() >= end; }, time + 1s);
}

} // namespace Primrosefork::StreamTest
