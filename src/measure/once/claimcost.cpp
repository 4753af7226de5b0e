#include "claimcost.h"

#include "cluster.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

using Json = nlohmann::json;
using Testkit::Cluster;

struct CallKind {
    const char* name;
    const char* route;
    const char* keyPrefix;
};

const CallKind callKinds[] = {
    { "idempotent", "bookings/read", "read" },
    { "not idempotent", "bookings/confirm", "once" },
    { "repeated", "bookings/confirm", "once" },
};

auto clusterOptions() -> Testkit::ClusterOptions
{
    Testkit::ClusterOptions options;
    options.engines = 1;
    options.plainServices = 2;
    options.plainService = { { "working_ms", 0 } };
    options.settings = { { "timeouts", { { "instance_poll", "60s" }, { "load_poll", "60s" }, { "notice_poll", "60s" }, { "watch", "10m" } } } };
    return options;
}

/** Returns the duration of one call, or no value when it was not answered successfully. */
auto measureCall(Cluster& cluster, const CallKind& kind, std::size_t index) -> std::optional<std::chrono::microseconds>
{
    auto& loop = cluster.client().eventLoop();
    HttpRequest request { "POST", std::string("/v1/services/desk/") + kind.route, "", {}, R"({"chair":1})" };
    request.headers.add("Authorization", std::string("Bearer ") + Cluster::callerKey);
    request.headers.add("Request-Key", kind.keyPrefix + std::to_string(index));
    int status = 0;
    const auto start = EventLoop::now();
    const auto call = cluster.client().httpClient().fetch(cluster.callersAddress(0), request, {}, [&](std::error_code error, const HttpResponse& response) {
        status = error ? 0 : response.status;
        loop.stop();
    });
    loop.run();
    if (status != HttpStatus::ok)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::microseconds>(EventLoop::now() - start);
}

auto storeCalls(Cluster& cluster, const std::string& name) -> std::int64_t
{
    return cluster.control(cluster.keyValueService(), Json::object())[name].get<std::int64_t>();
}

auto measureKind(Cluster& cluster, const CallKind& kind, std::size_t calls) -> CallCost
{
    CallCost cost;
    cost.name = kind.name;
    cost.calls = calls;
    cost.storeWrites = -storeCalls(cluster, "writes");
    cost.storeReads = -storeCalls(cluster, "reads") - storeCalls(cluster, "watches");
    cost.storeLeases = -storeCalls(cluster, "leases");
    const auto processorBefore = cluster.node(0).processorTime();
    std::vector<std::chrono::microseconds> durations;
    for (std::size_t index = 0; index < calls; ++index) {
        const auto duration = measureCall(cluster, kind, index);
        if (duration)
            durations.push_back(*duration);
    }
    cost.processorTime = cluster.node(0).processorTime() - processorBefore;
    cost.failed = calls - durations.size();
    cost.storeWrites += storeCalls(cluster, "writes");
    cost.storeReads += storeCalls(cluster, "reads") + storeCalls(cluster, "watches");
    cost.storeLeases += storeCalls(cluster, "leases");
    if (durations.empty())
        return cost;
    std::sort(durations.begin(), durations.end());
    cost.median = durations[durations.size() / 2];
    cost.percentile95 = durations[durations.size() * 95 / 100];
    return cost;
}

auto measureVolume(Cluster& cluster) -> ClaimVolume
{
    ClaimVolume volume;
    const auto result = cluster.client().get(cluster.keyValueService(), "/v1/list?prefix=claims/");
    const auto listing = Json::parse(result.response.body, nullptr, false);
    if (!listing.is_object())
        return volume;
    for (const auto& entry : listing["entries"]) {
        ++volume.records;
        volume.bytes += entry["key"].get<std::string>().size() + entry["value"].get<std::string>().size();
    }
    return volume;
}

} // namespace

auto measureClaimCost(std::size_t calls, std::chrono::milliseconds storeDelay) -> ClaimCosts
{
    ClaimCosts costs;
    Cluster cluster(clusterOptions());
    if (!cluster.start())
        return costs;
    cluster.control(cluster.keyValueService(), { { "delay_ms", storeDelay.count() } });
    for (const auto& kind : callKinds)
        costs.kinds.push_back(measureKind(cluster, kind, calls));
    costs.volume = measureVolume(cluster);
    return costs;
}

} // namespace Primrosefork::Measure
