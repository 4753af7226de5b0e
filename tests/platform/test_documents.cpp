#include "documents.h"

#include <doctest/doctest.h>
#include <functional>
#include <string>
#include <string_view>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr auto configurationText = R"({"version":7,"routes":[
{"name":"r1","host":"a.example","prefix":"/chat/","route-type":"streaming","timeout-ms":4000,"slo-ms":500,"priority":0,"backend":"llm","max-attempts":2,"public":false,"affinity":true,"can-resume":true,"gap-aim-ms":250,"later-field":{"x":1}},
{"name":"r2","host":"a.example","prefix":"/read/","route-type":"idempotent","timeout-ms":1000,"backends":[{"backend":"old","weight":90},{"backend":"new","weight":10}],"public":true}],
"services":[{"name":"llm","health-path":"/healthz","max-conns":370,"engine":{"capacity":64,"kv-tokens":354809,"stride":3,"moves":true},"autoscale":{"min":1,"max":8,"boot-time-s":4.0,"spot-price":0.22,"zone-prices":{"a":0.85,"b":1.2}}},{"name":"old","health-path":"/h","max-conns":110}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"salon","api-keys":["k1","k2"],"priority":1,"unit":"token_stream","plain-tokens":200,"rate-per-s":181347,"burst":181347}]})";

TEST_CASE("a configuration in the platform's format is decoded")
{
    Findings findings;
    const auto configuration = PlatformDocuments().decodeConfiguration(configurationText, findings);
    REQUIRE_MESSAGE(configuration.has_value(), formatFindings(findings));
    CHECK(configuration->version == 7);
    REQUIRE(configuration->routes.size() == 2);
    const auto& chatRoute = configuration->routes[0];
    CHECK(chatRoute.type == RouteType::Stream);
    CHECK(chatRoute.isResumable);
    CHECK(chatRoute.timeout == 4s);
    CHECK(chatRoute.objective == 500ms);
    CHECK(chatRoute.maxEventGap == 250ms);
    CHECK(chatRoute.maxAttempts == 2);
    CHECK(chatRoute.shares.front().service == "llm");
    const auto& readRoute = configuration->routes[1];
    CHECK(readRoute.type == RouteType::Idempotent);
    CHECK(readRoute.isPublic);
    CHECK(readRoute.shares.size() == 2);
    const auto& llmService = configuration->services.at("llm");
    REQUIRE(llmService.engine.has_value());
    CHECK(llmService.engine->slots == 64);
    REQUIRE(llmService.scaling.has_value());
    CHECK(llmService.scaling->bootTime == 4s);
    CHECK(llmService.scaling->zonePrices.at("b") == doctest::Approx(1.2));
    CHECK_FALSE(configuration->services.at("old").engine.has_value());
    CHECK(configuration->limits.idleTimeout == 15s);
    CHECK(configuration->workspaces.front().quota.countsTokens);
    CHECK(configuration->workspaces.front().priority == 1);
}

struct ConfigurationCase {
    const char* name;
    const char* text; ///< Text that occurs once in the valid configuration.
    const char* replacement;
    const char* place; ///< Expected place of the finding.
};

const ConfigurationCase configurationCases[] = {
    { "a weight beyond the range", R"("weight":90)", R"("weight":9223372036854775807)", "/routes/1/backends/0/weight" },
    { "a number beyond the range of the type", R"("weight":90)", R"("weight":18446744073709551615)", "/routes/1/backends/0/weight" },
    { "a timeout beyond the range", R"("timeout-ms":4000)", R"("timeout-ms":1e300)", "/routes/0/timeout-ms" },
    { "a quota beyond the range", R"("burst":181347)", R"("burst":9223372036854775807)", "/tenants/0/burst" },
    { "a workspace name with the end of a header line", R"("name":"salon")", R"("name":"salon\r\nX-Own: 1")", "/tenants/0/name" },
};

TEST_CASE("an invalid configuration is rejected with the place of the error")
{
    for (const auto& row : configurationCases) {
        CAPTURE(row.name);
        std::string text(configurationText);
        text.replace(text.find(row.text), std::string_view(row.text).size(), row.replacement);
        Findings findings;
        CHECK_FALSE(PlatformDocuments().decodeConfiguration(text, findings).has_value());
        REQUIRE(findings.size() == 1);
        CHECK(findings.front().place == row.place);
    }
}

/** A number of the configuration that is written as a fraction. */
struct FractionCase {
    const char* name;
    const char* text; ///< Text that occurs once in the valid configuration.
    const char* replacement;
    std::function<double(const TrafficConfiguration&)> value;
    double expected;
};

auto quotaOf(const TrafficConfiguration& configuration) -> const WorkspaceQuota&
{
    return configuration.workspaces.front().quota;
}

const FractionCase fractionCases[] = {
    { "version", R"("version":7)", R"("version":8.0)", [](const auto& read) { return static_cast<double>(read.version); }, 8 },
    { "version with a fraction", R"("version":7)", R"("version":8.5)", [](const auto& read) { return static_cast<double>(read.version); }, 8 },
    { "timeout", R"("timeout-ms":4000)", R"("timeout-ms":4000.9)", [](const auto& read) { return static_cast<double>(read.routes[0].timeout.count()); }, 4'000 },
    { "timeout below a millisecond, which is not without limit", R"("timeout-ms":4000)", R"("timeout-ms":0.5)", [](const auto& read) { return static_cast<double>(read.routes[0].timeout.count()); }, 1 },
    { "attempts", R"("max-attempts":2)", R"("max-attempts":2.9)", [](const auto& read) { return static_cast<double>(read.routes[0].maxAttempts); }, 2 },
    { "attempts below one", R"("max-attempts":2)", R"("max-attempts":0.5)", [](const auto& read) { return static_cast<double>(read.routes[0].maxAttempts); }, 1 },
    { "priority of a route", R"("slo-ms":500,"priority":0)", R"("slo-ms":500,"priority":1.0)", [](const auto& read) { return static_cast<double>(read.routes[0].priority); }, 1 },
    { "weight", R"("weight":10)", R"("weight":0.5)", [](const auto& read) { return read.routes[1].shares[1].weight; }, 0.5 },
    { "connections", R"("max-conns":110)", R"("max-conns":110.7)", [](const auto& read) { return static_cast<double>(read.services.at("old").maxConnections); }, 110 },
    { "connections below one, which are not unknown", R"("max-conns":110)", R"("max-conns":0.7)", [](const auto& read) { return static_cast<double>(read.services.at("old").maxConnections); }, 1 },
    { "slots", R"("capacity":64)", R"("capacity":64.5)", [](const auto& read) { return static_cast<double>(read.services.at("llm").engine->slots); }, 64 },
    { "tokens of an event", R"("stride":3)", R"("stride":2.5)", [](const auto& read) { return static_cast<double>(read.services.at("llm").engine->tokensPerEvent); }, 2 },
    { "fewest engines", R"("min":1)", R"("min":1.2)", [](const auto& read) { return static_cast<double>(read.services.at("llm").scaling->minEngines); }, 2 },
    { "most engines", R"("max":8)", R"("max":7.8)", [](const auto& read) { return static_cast<double>(read.services.at("llm").scaling->maxEngines); }, 7 },
    { "time to boot", R"("boot-time-s":4.0)", R"("boot-time-s":4.0002)", [](const auto& read) { return static_cast<double>(read.services.at("llm").scaling->bootTime.count()); }, 4'001 },
    { "size of a body", R"("max-body-bytes":4194304)", R"("max-body-bytes":4194304.5)", [](const auto& read) { return static_cast<double>(read.limits.bodyBytes); }, 4'194'304 },
    { "rate below one, which is not without limit", R"("rate-per-s":181347)", R"("rate-per-s":0.5)", [](const auto& read) { return quotaOf(read).perSecond; }, 0.5 },
    { "burst", R"("burst":181347)", R"("burst":12.5)", [](const auto& read) { return quotaOf(read).burst; }, 12.5 },
    { "tokens charged without counts", R"("plain-tokens":200)", R"("plain-tokens":199.1)", [](const auto& read) { return static_cast<double>(quotaOf(read).defaultRequestTokens); }, 200 },
    { "priority of a workspace", R"("priority":1,"unit")", R"("priority":2.0,"unit")", [](const auto& read) { return static_cast<double>(*read.workspaces.front().priority); }, 2 },
};

// Guards against a configuration that is never in force because one of its numbers is a fraction.
TEST_CASE("numbers of a configuration may be fractions, and limits are rounded to what is allowed for certain")
{
    for (const auto& row : fractionCases) {
        CAPTURE(row.name);
        std::string text(configurationText);
        REQUIRE(text.find(row.text) == text.rfind(row.text));
        text.replace(text.find(row.text), std::string_view(row.text).size(), row.replacement);
        Findings findings;
        const auto configuration = PlatformDocuments().decodeConfiguration(text, findings);
        INFO(formatFindings(findings));
        CHECK(configuration.has_value());
        if (configuration)
            CHECK(row.value(*configuration) == row.expected);
    }
}

struct RegistrationCase {
    const char* name;
    const char* key;
    const char* text;
    bool isAccepted;
};

constexpr auto validRegistration
    = R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","version":"v1","capacity":64,"state":"ready","cold-left-ms":0,"stage":"both","models":[],"seq":4,"born":1760000000123,"new-field":[1]})";

const RegistrationCase registrationCases[] = {
    { "valid", "servers/i-1", validRegistration, true },
    { "key outside the registration prefix", "other/i-1", validRegistration, false },
    { "key without a server id", "servers/", validRegistration, false },
    { "key with the end of a header line", "servers/i-1\r\nX-Own: 1", validRegistration, false },
    { "zone with a control character", "servers/i-1", R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a\u0000","capacity":64,"state":"ready"})", false },
    { "slots beyond the range", "servers/i-1", R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","capacity":9223372036854775807,"state":"ready"})", false },
    { "a time left beyond the range", "servers/i-1", R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","capacity":64,"state":"draining","leaves_ms":1e300})", false },
    { "truncated JSON", "servers/i-1", R"({"backend":"llm","addr)", false },
    { "not JSON", "servers/i-1", "\x01\x02", false },
    { "JSON list", "servers/i-1", "[]", false },
    { "missing service", "servers/i-1", R"({"address":"10.0.0.9:8080","zone":"a","capacity":64,"state":"ready"})", false },
    { "service that is a number", "servers/i-1", R"({"backend":7,"address":"10.0.0.9:8080","zone":"a","capacity":64,"state":"ready"})", false },
    { "address with a host name", "servers/i-1", R"({"backend":"llm","address":"host:80","zone":"a","capacity":64,"state":"ready"})", false },
    { "slots that are a fraction", "servers/i-1", R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","capacity":64.0,"state":"ready"})", true },
    { "a time left that is a fraction", "servers/i-1", R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","capacity":64,"state":"draining","leaves_ms":2499.5})", true },
    { "slots as text", "servers/i-1", R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","capacity":"64","state":"ready"})", false },
    { "unknown state", "servers/i-1", R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","capacity":64,"state":"resting"})", false },
    { "start time that is not an integer", "servers/i-1", R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","capacity":64,"state":"ready","born":1.5})", false },
};

TEST_CASE("an invalid registration is rejected")
{
    for (const auto& row : registrationCases) {
        CAPTURE(row.name);
        Findings findings;
        const auto server = PlatformDocuments().decodeBackend(row.key, row.text, findings);
        CHECK(server.has_value() == row.isAccepted);
        CHECK(findings.empty() == row.isAccepted);
    }
}

TEST_CASE("a valid registration is decoded to a backend server")
{
    Findings findings;
    const auto server = PlatformDocuments().decodeBackend("servers/i-1", validRegistration, findings);
    REQUIRE(server.has_value());
    CHECK(server->id == "i-1");
    CHECK(server->pool == "llm");
    CHECK(server->address == Address { "10.0.0.9", 8080 });
    CHECK(server->state == InstanceState::Live);
    CHECK(server->kind == BackendKind::Engine);
    CHECK_FALSE(server->isReclaimable);
    CHECK(server->startedAt == 1'760'000'000'123);
}

struct OrderCase {
    const char* name;
    const char* key;
    const char* text;
    bool isAccepted;
};

const OrderCase orderCases[] = {
    { "valid", "op/rollout/llm", R"({"backend":"llm","to":"v2","over-s":90})", true },
    { "further fields", "op/rollout/llm", R"({"backend":"llm","to":"v2","over-s":90.5,"by":"ops"})", true },
    { "another service than the key's", "op/rollout/app", R"({"backend":"llm","to":"v2","over-s":90})", false },
    { "no service", "op/rollout/llm", R"({"to":"v2","over-s":90})", false },
    { "no version", "op/rollout/llm", R"({"backend":"llm","over-s":90})", false },
    { "a version that is a number", "op/rollout/llm", R"({"backend":"llm","to":2,"over-s":90})", false },
    { "no time", "op/rollout/llm", R"({"backend":"llm","to":"v2"})", false },
    { "a time as text", "op/rollout/llm", R"({"backend":"llm","to":"v2","over-s":"90"})", false },
    { "no time at all", "op/rollout/llm", R"({"backend":"llm","to":"v2","over-s":0})", false },
    { "a negative time", "op/rollout/llm", R"({"backend":"llm","to":"v2","over-s":-1})", false },
    { "a time beyond the range", "op/rollout/llm", R"({"backend":"llm","to":"v2","over-s":1e300})", false },
    { "truncated JSON", "op/rollout/llm", R"({"backend":"llm","to)", false },
    { "JSON list", "op/rollout/llm", "[]", false },
};

TEST_CASE("an order of a roll-out is decoded, or rejected with findings")
{
    for (const auto& row : orderCases) {
        CAPTURE(row.name);
        Findings findings;
        const auto order = PlatformDocuments().decodeRollout(row.key, row.text, findings);
        CHECK(order.has_value() == row.isAccepted);
        CHECK(findings.empty() == row.isAccepted);
        if (order)
            CHECK(order->duration == (std::string(row.text).find("90.5") == std::string::npos ? std::chrono::milliseconds(90'000) : std::chrono::milliseconds(90'500)));
    }
    const PlatformDocuments documents;
    CHECK(documents.rolloutStatusKey("llm") == "status/rollout/llm");
    CHECK(documents.encodeRolloutStatus({ "llm", "v2", RolloutState::Running }) == R"({"state":"running","to":"v2"})");
    CHECK(documents.encodeRolloutStatus({ "llm", "v2", RolloutState::Completed }) == R"({"state":"completed","to":"v2"})");
    CHECK(documents.encodeRolloutStatus({ "llm", "v2", RolloutState::RolledBack }) == R"({"state":"rolled_back","to":"v2"})");
}

} // namespace
