#include "gatewaysettings.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

auto validSettings() -> Json
{
    return { { "interface", "gateway" }, { "node", { { "id", "n1" }, { "zone", "a" }, { "region", "r" } } },
        { "listen", { { "callers", "127.0.0.1:1" }, { "readiness", "127.0.0.1:2" }, { "peers", "127.0.0.1:3" }, { "operators", "127.0.0.1:4" } } },
        { "systems", { { "key_value_service", "127.0.0.1:5" }, { "fleet_api", "127.0.0.1:6" } } },
        { "bounds", { { "drain", "3s" }, { "attempt_ratio", 0.3 }, { "quota_slack", 110000 } } } };
}

TEST_CASE("valid settings are read")
{
    Findings findings;
    const auto settings = parseGatewaySettings(validSettings().dump(), findings);
    CHECK(findings.empty());
    CHECK(settings.id == "n1");
    CHECK(settings.bounds.drain == 3s);
    CHECK(settings.bounds.attemptRatio == doctest::Approx(0.3));
    CHECK(settings.bounds.quotaSlack == doctest::Approx(110'000));
    CHECK(isGatewaySettings(validSettings().dump()));
    CHECK_FALSE(isGatewaySettings("{}"));
    CHECK_FALSE(isGatewaySettings(R"({"interface":7})"));
    CHECK_FALSE(isGatewaySettings(R"({"interface":{"gateway":1}})"));
    CHECK_FALSE(isGatewaySettings("[]"));
}

struct InvalidCase {
    const char* name;
    const char* pointer;
    Json value;
    const char* place; ///< Expected place of the finding.
};

const InvalidCase invalidCases[] = {
    { "an invalid address", "/listen/callers", "host:1", "/listen/callers" },
    { "a duration without a unit", "/bounds/drain", 3, "/bounds/drain" },
    { "a ratio above one", "/bounds/attempt_ratio", 2, "/bounds/attempt_ratio" },
    { "an unknown field", "/bounds/colour", "red", "/bounds/colour" },
    { "an unknown log level", "/log_level", "loud", "/log_level" },
    { "a revocation time that is shorter than the time for changes", "/bounds/revocation", "1s", "/bounds/revocation" },
};

TEST_CASE("each error is reported with its place")
{
    for (const auto& row : invalidCases) {
        CAPTURE(row.name);
        auto json = validSettings();
        json[Json::json_pointer(row.pointer)] = row.value;
        Findings findings;
        static_cast<void>(parseGatewaySettings(json.dump(), findings));
        CHECK(std::any_of(findings.begin(), findings.end(), [&row](const Finding& finding) { return finding.place == row.place; }));
    }
}

struct DigestCase {
    const char* name;
    const char* pointer;
    Json value;
    bool isNewDigest;
    std::vector<std::string> fixedDifferences;
};

const DigestCase digestCases[] = {
    { "the same bound with another unit", "/bounds/drain", "3000ms", false, {} },
    { "a default that is spelled out", "/bounds/usage_window", "5s", false, {} },
    { "drain", "/bounds/drain", "4s", true, {} },
    { "stop grace", "/bounds/stop_grace", "9s", true, {} },
    { "configuration", "/bounds/configuration", "1s", true, {} },
    { "revocation", "/bounds/revocation", "6s", true, {} },
    { "leadership", "/bounds/leadership", "4s", true, {} },
    { "usage window", "/bounds/usage_window", "6s", true, {} },
    { "usage due", "/bounds/usage_due", "11s", true, {} },
    { "attempt window", "/bounds/attempt_window", "11s", true, {} },
    { "attempt ratio", "/bounds/attempt_ratio", 0.25, true, {} },
    { "attempt slack", "/bounds/attempt_slack", 51, true, {} },
    { "quota window", "/bounds/quota_window", "9s", true, {} },
    { "quota excess", "/bounds/quota_excess", 0.2, true, {} },
    { "quota slack", "/bounds/quota_slack", 0, true, {} },
    { "heartbeat", "/bounds/heartbeat", "2s", true, {} },
    { "log level", "/log_level", "warn", true, { "/log_level" } },
    { "id", "/node/id", "n2", false, { "/node/id" } },
    { "zone", "/node/zone", "b", false, { "/node/zone" } },
    { "region", "/node/region", "s", false, { "/node/region" } },
    { "processor share", "/node/processor_share", 0.5, false, { "/node/processor_share" } },
    { "callers", "/listen/callers", "127.0.0.1:9", false, { "/listen/callers" } },
    { "readiness", "/listen/readiness", "127.0.0.1:9", false, { "/listen/readiness" } },
    { "peers", "/listen/peers", "127.0.0.1:9", false, { "/listen/peers" } },
    { "operators", "/listen/operators", "127.0.0.1:9", false, { "/listen/operators" } },
    { "store", "/systems/key_value_service", "127.0.0.1:9", false, { "/systems/key_value_service" } },
    { "fleet API", "/systems/fleet_api", "127.0.0.1:9", false, { "/systems/fleet_api" } },
};

TEST_CASE("the digest tells whether two files mean the same, and what differs for the life of a process is named")
{
    Findings findings;
    const auto current = parseGatewaySettings(validSettings().dump(), findings);
    for (const auto& row : digestCases) {
        CAPTURE(row.name);
        auto json = validSettings();
        json[Json::json_pointer(row.pointer)] = row.value;
        const auto next = parseGatewaySettings(json.dump(2), findings);
        REQUIRE(findings.empty());
        CHECK((settingsDigest(next) != settingsDigest(current)) == row.isNewDigest);
        CHECK(fixedDifferences(current, next) == row.fixedDifferences);
    }
    CHECK(digestText(0x1f) == "000000000000001f");
}

} // namespace
