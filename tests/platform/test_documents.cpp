#include "documents.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr auto configurationText = R"({"version":7,"routes":[
{"name":"r1","host":"a.example","prefix":"/chat/","route-type":"streaming","timeout-ms":4000,"slo-ms":500,"priority":0,"backend":"llm","max-attempts":2,"public":false,"affinity":true,"can-resume":true,"gap-aim-ms":250,"later-field":{"x":1}},
{"name":"r2","host":"a.example","prefix":"/read/","route-type":"idempotent","timeout-ms":1000,"backends":[{"backend":"old","weight":90},{"backend":"new","weight":10}],"public":true}],
"services":[{"name":"llm","health-path":"/healthz","max-conns":370,"engine":{"capacity":64,"kv-tokens":354809,"stride":3,"moves":true},"autoscale":{"min":1,"max":8,"boot-time-s":4.0,"spot-price":0.22,"zone-prices":{"a":0.85,"b":1.2}}},{"name":"old","health-path":"/h","max-conns":110}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"tenants":[{"name":"salon","api-keys":["k1","k2"],"priority":1,"unit":"token_stream","plain-tokens":200,"rate-per-s":181347,"burst":181347}]})";

TEST_CASE("a configuration becomes the product's own")
{
    Findings findings;
    const auto configuration = PlatformDocuments().decodeConfiguration(configurationText, findings);
    REQUIRE_MESSAGE(configuration.has_value(), formatFindings(findings));
    CHECK(configuration->version == 7);
    REQUIRE(configuration->routes.size() == 2);
    const auto& chat = configuration->routes[0];
    CHECK(chat.repeat == RouteRepeat::Stream);
    CHECK(chat.isResumable);
    CHECK(chat.timeout == 4s);
    CHECK(chat.objective == 500ms);
    CHECK(chat.eventGap == 250ms);
    CHECK(chat.maxAttempts == 2);
    CHECK(chat.shares.front().service == "llm");
    const auto& read = configuration->routes[1];
    CHECK(read.repeat == RouteRepeat::Idempotent);
    CHECK(read.isPublic);
    CHECK(read.shares.size() == 2);
    const auto& llm = configuration->services.at("llm");
    REQUIRE(llm.engine.has_value());
    CHECK(llm.engine->slots == 64);
    REQUIRE(llm.scaling.has_value());
    CHECK(llm.scaling->bootTime == 4s);
    CHECK(llm.scaling->zonePrices.at("b") == doctest::Approx(1.2));
    CHECK_FALSE(configuration->services.at("old").engine.has_value());
    CHECK(configuration->limits.idleTimeout == 15s);
    CHECK(configuration->workspaces.front().quota.countsTokens);
    CHECK(configuration->workspaces.front().priority == 1);
}

struct ForeignCase {
    const char* name;
    const char* key;
    const char* text;
    bool isRead;
};

constexpr auto soundServer
    = R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","version":"v1","capacity":64,"state":"ready","cold-left-ms":0,"stage":"both","models":[],"seq":4,"born":1760000000123,"new-field":[1]})";

const ForeignCase foreignCases[] = {
    { "as it should be", "servers/i-1", soundServer, true },
    { "outside the registrations", "other/i-1", soundServer, false },
    { "no id", "servers/", soundServer, false },
    { "torn", "servers/i-1", R"({"backend":"llm","addr)", false },
    { "no JSON", "servers/i-1", "\x01\x02", false },
    { "a list", "servers/i-1", "[]", false },
    { "no service", "servers/i-1", R"({"address":"10.0.0.9:8080","zone":"a","capacity":64,"state":"ready"})", false },
    { "a service of another type", "servers/i-1", R"({"backend":7,"address":"10.0.0.9:8080","zone":"a","capacity":64,"state":"ready"})", false },
    { "an address that is none", "servers/i-1", R"({"backend":"llm","address":"host:80","zone":"a","capacity":64,"state":"ready"})", false },
    { "slots as text", "servers/i-1", R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","capacity":"64","state":"ready"})", false },
    { "an unknown state", "servers/i-1", R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","capacity":64,"state":"resting"})", false },
    { "a start that is no whole number", "servers/i-1", R"({"backend":"llm","address":"10.0.0.9:8080","zone":"a","capacity":64,"state":"ready","born":1.5})", false },
};

TEST_CASE("a registration that is not sound names no server")
{
    for (const auto& row : foreignCases) {
        CAPTURE(row.name);
        Findings findings;
        const auto server = PlatformDocuments().decodeBackend(row.key, row.text, findings);
        CHECK(server.has_value() == row.isRead);
        if (server)
            CHECK(findings.empty());
    }
}

TEST_CASE("a registration becomes a backend server")
{
    Findings findings;
    const auto server = PlatformDocuments().decodeBackend("servers/i-1", soundServer, findings);
    REQUIRE(server.has_value());
    CHECK(server->id == "i-1");
    CHECK(server->pool == "llm");
    CHECK(server->address == Address { "10.0.0.9", 8080 });
    CHECK(server->state == InstanceState::Live);
    CHECK(server->kind == BackendKind::Engine);
    CHECK_FALSE(server->isReclaimable);
    CHECK(server->startedAt == 1'760'000'000'123);
}

} // namespace
