#include "streamtest.h"

#include <doctest/doctest.h>
#include <functional>

using namespace Primrosefork;
using namespace Primrosefork::StreamTest;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;
using Testkit::Cluster;
using Testkit::ClusterOptions;

constexpr auto leavingLimit = 3s; ///< Time after the announcement within which a leaving engine must stop receiving new streams.

struct LeavingCase {
    std::string name;
    std::function<void(Cluster&)> announce; ///< Announces that engine 0 is to leave.
    Json instanceList; ///< Body of the control request to the instance list, setting its fault.
    Json store; ///< Body of the control request to the store, setting its fault.
};

auto drainEngine(Cluster& cluster) -> void
{
    const Json content { { "models", { { { "model", "m1" }, { "version", "1" } } } }, { "backend_pools", { "assistant", "booking" } },
        { "drained_backends", { Cluster::engineId(0) } } };
    const Json record { { "revision", 2 }, { "template", "assistant" }, { "content", content } };
    const auto key = "config/services/jadeleaf/desk";
    const auto read = cluster.client().get(cluster.keyValueService(), std::string("/v1/kv?key=") + key);
    const auto revision = Json::parse(read.response.body, nullptr, false).value("revision", std::int64_t { 0 });
    const Json swap { { "key", key }, { "expected", revision }, { "value", record.dump() } };
    const auto written = cluster.client().post(cluster.keyValueService(), "/v1/swap", swap.dump());
    REQUIRE(written.response.status == HttpStatus::ok);
}

const LeavingCase leavingCases[] = {
    { "drained by configuration, instance list lagging", drainEngine, { { "lag_ms", 60'000 } }, Json::object() },
    { "reported as leaving by the instance list, store down",
        [](Cluster& cluster) {
            cluster.control(cluster.instanceList(), { { "put", { { { "id", Cluster::engineId(0) }, { "state", "leaving" } } } } });
        },
        { { "lag_ms", 0 } }, { { "down", true } } },
    { "reclaim notice, instance list lagging, store down",
        [](Cluster& cluster) { announceReclaim(cluster, { Cluster::engineId(0) }, 20s); },
        { { "lag_ms", 60'000 } }, { { "down", true } } },
    { "reclaim notice, instance list down, store down",
        [](Cluster& cluster) { announceReclaim(cluster, { Cluster::engineId(0) }, 20s); },
        { { "down", true } }, { { "down", true } } },
};

TEST_CASE("a leaving engine receives no new streams from any node")
{
    for (const auto& row : leavingCases) {
        CAPTURE(std::string(row.name));
        ClusterOptions options;
        options.nodes = 3;
        Cluster cluster(options);
        REQUIRE(cluster.start());
        cluster.control(cluster.instanceList(), row.instanceList);
        cluster.control(cluster.keyValueService(), row.store);
        Callers callers;
        const auto requestFromEachNode = [&] {
            for (std::size_t node = 0; node < 3; ++node)
                addCaller(callers, cluster, { node }, 2);
            return cluster.client().waitUntil([&] { return areAllComplete(callers); }, 10s);
        };
        for (int round = 0; round < 5; ++round)
            REQUIRE(requestFromEachNode());
        REQUIRE(startedStreams(cluster, 0) > 0);

        row.announce(cluster);
        const auto end = EventLoop::now() + leavingLimit;
        while (EventLoop::now() < end)
            REQUIRE(requestFromEachNode());
        const auto before = startedStreams(cluster, 0);
        for (int round = 0; round < 20; ++round)
            REQUIRE(requestFromEachNode());

        CHECK(startedStreams(cluster, 0) == before);
        checkAnswers(callers);
    }
}

} // namespace
