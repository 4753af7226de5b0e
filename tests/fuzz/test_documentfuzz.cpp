#include "documents.h"
#include "eventlog.h"
#include "gatewaysettings.h"
#include "metrics.h"
#include "mutator.h"
#include "nodesettings.h"
#include "quarantinecontroller.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t seeds[] = { 1, 2, 3 };
constexpr int inputsPerSeed = 8'000;
constexpr std::int64_t maxCount = 1'000'000'000'000;

const std::vector<std::string> configurations {
    R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/chat/","route-type":"streaming","timeout-ms":4000,"slo-ms":500,"priority":0,"backend":"llm","max-attempts":2,"public":false,"can-resume":true,"gap-aim-ms":250},{"name":"r2","host":"a.example","prefix":"/read/","route-type":"idempotent","timeout-ms":1000,"backends":[{"backend":"old","weight":90},{"backend":"new","weight":10}],"public":true}],"services":[{"name":"llm","health-path":"/healthz","max-conns":370,"engine":{"capacity":64,"kv-tokens":354809,"stride":3,"moves":true},"autoscale":{"min":1,"max":8,"boot-time-s":4.0,"spot-price":0.22,"zone-prices":{"a":0.85,"b":1.2}}},{"name":"old"}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"salon","api-keys":["k1","k2"],"priority":1,"unit":"token_stream","plain-tokens":200,"rate-per-s":181347,"burst":181347}]})",
    R"({"version":1,"routes":[{"name":"a","host":"h","prefix":"/","route-type":"idempotent","timeout-ms":1,"backend":"b"}],"services":[{"name":"b"}],"tenants":[]})",
};

auto isPlain(const std::string& text) -> bool
{
    return std::none_of(text.begin(), text.end(), [](unsigned char letter) { return letter < ' ' || letter == 0x7f; });
}

auto isCount(std::int64_t number) -> bool
{
    return number >= 0 && number <= maxCount;
}

auto isAmount(double number) -> bool
{
    return number >= 0 && number <= static_cast<double>(maxCount);
}

auto isTime(std::chrono::milliseconds time) -> bool
{
    return time >= 0ms && time <= 24h;
}

auto isInRange(const TrafficRoute& route) -> bool
{
    return isPlain(route.name) && isTime(route.timeout) && isTime(route.objective) && isTime(route.maxEventGap) && isCount(route.priority) && isCount(route.maxAttempts)
        && route.maxAttempts > 0 && std::all_of(route.shares.begin(), route.shares.end(), [](const RouteShare& share) { return isAmount(share.weight); });
}

auto isInRange(const TrafficService& service) -> bool
{
    const auto& engine = service.engine;
    const auto& scaling = service.scaling;
    return isPlain(service.name) && isCount(service.maxConnections) && (!engine || (engine->slots > 0 && isCount(engine->slots) && isCount(engine->kvCacheTokens) && engine->tokensPerEvent > 0 && isCount(engine->tokensPerEvent)))
        && (!scaling || (isCount(scaling->minEngines) && isCount(scaling->maxEngines) && isTime(scaling->bootTime) && scaling->reclaimablePrice >= 0));
}

auto isInRange(const TrafficWorkspace& workspace) -> bool
{
    return isPlain(workspace.name) && isCount(workspace.priority.value_or(0)) && isAmount(workspace.quota.perSecond) && isAmount(workspace.quota.burst)
        && isCount(workspace.quota.defaultRequestTokens);
}

auto isInRange(const TrafficConfiguration& configuration) -> bool
{
    const auto& limits = configuration.limits;
    return std::all_of(configuration.routes.begin(), configuration.routes.end(), [](const auto& route) { return isInRange(route); })
        && std::all_of(configuration.services.begin(), configuration.services.end(), [](const auto& entry) { return isInRange(entry.second); })
        && std::all_of(configuration.workspaces.begin(), configuration.workspaces.end(), [](const auto& workspace) { return isInRange(workspace); })
        && limits.headerBytes > 0 && limits.headerBytes <= maxCount && limits.bodyBytes <= maxCount && isTime(limits.headerTimeout) && isTime(limits.idleTimeout);
}

TEST_CASE("an altered configuration is refused with findings, or is in range")
{
    for (const auto seed : seeds) {
        CAPTURE(seed);
        Mutator mutator(seed);
        int accepted = 0;
        for (int input = 0; input < inputsPerSeed; ++input) {
            const auto text = mutator.mutate(configurations);
            Findings findings;
            const auto configuration = PlatformDocuments().decodeConfiguration(text, findings);
            REQUIRE(configuration.has_value() == findings.empty());
            if (!configuration)
                continue;
            ++accepted;
            CAPTURE(text);
            REQUIRE(isInRange(*configuration));
        }
        CHECK(accepted > inputsPerSeed / 20);
    }
}

const std::vector<std::string> registrations {
    R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","version":"v1","capacity":64,"state":"ready","stage":"both","models":[],"seq":4,"born":1760000000123,"spot":true})",
    R"({"backend":"app","address":"10.0.0.9:1","zone":"b","capacity":1,"state":"draining","leaves_ms":3000})",
};

TEST_CASE("an altered registration is refused with findings, or is in range")
{
    const std::vector<std::string> keys { "servers/i-1", "servers/zone-a-0017" };
    for (const auto seed : seeds) {
        CAPTURE(seed);
        Mutator mutator(seed);
        int accepted = 0;
        for (int input = 0; input < inputsPerSeed; ++input) {
            const auto key = mutator.mutate(keys);
            const auto text = mutator.mutate(registrations);
            Findings findings;
            const auto server = PlatformDocuments().decodeBackend(key, text, findings);
            CAPTURE(key);
            REQUIRE(server.has_value() == findings.empty());
            if (!server)
                continue;
            ++accepted;
            CAPTURE(text);
            REQUIRE_FALSE(server->id.empty());
            REQUIRE((isPlain(server->id) && isPlain(server->pool) && isPlain(server->zone) && isPlain(server->version)));
            REQUIRE((server->slots > 0 && isCount(server->slots)));
            REQUIRE(isTime(server->leavesIn.value_or(0ms)));
            REQUIRE(server->address.port != 0);
        }
        CHECK(accepted > inputsPerSeed / 20);
    }
}

TEST_CASE("an altered order of a roll-out is refused with findings, or is in range")
{
    const std::vector<std::string> orders { R"({"backend":"llm","to":"v2","over-s":90.5})", R"({"backend":"llm","to":"2026-12","over-s":600})" };
    for (const auto seed : seeds) {
        CAPTURE(seed);
        Mutator mutator(seed);
        int accepted = 0;
        for (int input = 0; input < inputsPerSeed; ++input) {
            const auto text = mutator.mutate(orders);
            Findings findings;
            const auto order = PlatformDocuments().decodeRollout("op/rollout/llm", text, findings);
            REQUIRE(order.has_value() == findings.empty());
            if (!order)
                continue;
            ++accepted;
            CAPTURE(text);
            REQUIRE((order->service == "llm" && isPlain(order->version)));
            REQUIRE((order->duration >= 1s && isTime(order->duration)));
        }
        CHECK(accepted > inputsPerSeed / 50);
    }
}

const std::vector<std::string> settingsFiles {
    R"({"interface":"gateway","node":{"id":"n1","zone":"a","region":"r","processor_share":0.12},"listen":{"callers":"127.0.0.1:1","readiness":"127.0.0.1:2","peers":"127.0.0.1:3","operators":"127.0.0.1:4"},"systems":{"key_value_service":"127.0.0.1:5","fleet_api":"127.0.0.1:6"},"bounds":{"drain":"3s","revocation":"5s","attempt_ratio":0.3,"quota_slack":110000},"log_level":"info"})",
    R"({"node":{"id":"n1","zone":"a","region":"west"},"listen":{"callers":"127.0.0.1:8080","operators":"127.0.0.1:8081","peers":"127.0.0.1:8082"},"platform":{"key_value_service":"127.0.0.1:9000","instance_list":"127.0.0.1:9001"},"peers":{"seeds":["127.0.0.1:8082"],"keys":[{"id":1,"secret":"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"}]},"limits":{"body_size":"1MiB"},"timeouts":{"store":"250ms"},"log_level":"info"})",
};

TEST_CASE("altered settings are reported, or are in range")
{
    for (const auto seed : seeds) {
        CAPTURE(seed);
        Mutator mutator(seed);
        int accepted = 0;
        for (int input = 0; input < inputsPerSeed; ++input) {
            const auto text = mutator.mutate(settingsFiles);
            CAPTURE(text);
            Findings findings;
            const auto settings = parseGatewaySettings(text, findings);
            static_cast<void>(isGatewaySettings(text));
            if (findings.empty()) {
                ++accepted;
                REQUIRE((settings.processorShare >= 0.01 && settings.processorShare <= 1'024));
                REQUIRE((settings.bounds.drain >= 100ms && settings.bounds.drain <= 10min));
                REQUIRE((settings.bounds.attemptRatio >= 0 && settings.bounds.attemptRatio <= 1));
            }
            Findings nodeFindings;
            const auto nodeSettings = parseNodeSettings(text, nodeFindings);
            if (nodeFindings.empty()) {
                ++accepted;
                REQUIRE((nodeSettings.timeouts.store >= 10ms && nodeSettings.timeouts.store <= 1min));
                REQUIRE((nodeSettings.limits.bodyBytes >= 1'024 && nodeSettings.limits.bodyBytes <= 67'108'864));
            }
        }
        CHECK(accepted > inputsPerSeed / 20);
    }
}

/** A store that is not called. */
class UnusedStore : public KeyValueStore {
public:
    auto get(const std::string& /*key*/, EntryHandler /*handler*/) -> void override { }
    auto list(const std::string& /*prefix*/, ListingHandler /*handler*/) -> void override { }
    auto compareAndSwap(const StoreSwap& /*swap*/, SwapHandler /*handler*/) -> void override { }
    auto watch(const std::string& /*prefix*/, StoreRevision /*after*/, std::chrono::milliseconds /*wait*/, ListingHandler /*handler*/) -> void override { }
    auto grantLease(std::chrono::milliseconds /*duration*/, LeaseHandler /*handler*/) -> void override { }
    auto renewLease(LeaseId /*lease*/, DoneHandler /*handler*/) -> void override { }
    auto revokeLease(LeaseId /*lease*/, DoneHandler /*handler*/) -> void override { }
};

TEST_CASE("an altered record of the quarantine gives few parts, each for a limited time")
{
    const std::vector<std::string> records { R"([{"service":"llm","part":"5c1e07a2","left_ms":600000},{"service":"llm","part":"ff","left_ms":1}])" };
    UnusedStore store;
    Metrics metrics;
    const EventLog log("error");
    for (const auto seed : seeds) {
        CAPTURE(seed);
        Mutator mutator(seed);
        const QuarantineController::TimePoint now(1h);
        for (int input = 0; input < inputsPerSeed; ++input) {
            QuarantineController controller(store, metrics, log);
            controller.applyRecord({ "record", mutator.mutate(records), 1, false }, now);
            const auto report = controller.makeReport(now);
            std::size_t parts = 0;
            for (const auto& evidence : report) {
                parts += evidence.quarantined.size();
                for (const auto& part : evidence.quarantined)
                    REQUIRE((part.left > 0ms && part.left <= 10min));
            }
            REQUIRE(parts <= maxQuarantinedParts);
        }
    }
}

} // namespace
