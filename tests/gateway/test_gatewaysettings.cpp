#include "gatewaysettings.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
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

// Guards against a deployment without the section whose requests leave their zone, and against a round trip below a millisecond that is read as 0.
TEST_CASE("the costs of other zones are read only where the section is")
{
    Findings findings;
    CHECK_FALSE(parseGatewaySettings(validSettings().dump(), findings).zones.has_value());
    auto json = validSettings();
    json["zones"] = Json::object();
    CHECK(parseGatewaySettings(json.dump(), findings).zones == ZoneCosts { 3ms, 0 });
    json["zones"] = { { "transfer_cost", 12.5 }, { "round_trip", "0.5ms" } };
    CHECK(parseGatewaySettings(json.dump(), findings).zones == ZoneCosts { 500us, 12.5 });
    CHECK(findings.empty());
}

/** A bound whose number is a fraction, with the bound that follows. */
struct FractionCase {
    const char* bound;
    const char* text;
    std::function<std::chrono::nanoseconds(const GatewayBounds&)> value;
    std::chrono::nanoseconds expected;
};

const FractionCase fractionCases[] = {
    { "drain", "2000.0ms", [](const auto& bounds) { return bounds.drain; }, 2s },
    { "drain", "1999.9ms", [](const auto& bounds) { return bounds.drain; }, 1'999ms },
    { "stop_grace", "7.5s", [](const auto& bounds) { return bounds.stopGrace; }, 7'500ms },
    { "stop_grace", "8.0s", [](const auto& bounds) { return bounds.stopGrace; }, 8s },
    { "stop_grace", "0.5s", [](const auto& bounds) { return bounds.stopGrace; }, 500ms },
    { "stop_grace", "1.0005s", [](const auto& bounds) { return bounds.stopGrace; }, 1s },
    { "stop_grace", "1.1s", [](const auto& bounds) { return bounds.stopGrace; }, 1'100ms },
    { "configuration", "1500.7ms", [](const auto& bounds) { return bounds.configuration; }, 1'500ms },
    { "revocation", "5e3ms", [](const auto& bounds) { return bounds.revocation; }, 5s },
    { "revocation", "4999.5ms", [](const auto& bounds) { return bounds.revocation; }, 4'999ms },
    { "leadership", "3000.0ms", [](const auto& bounds) { return bounds.leadership; }, 3s },
    { "leadership", "2999.99ms", [](const auto& bounds) { return bounds.leadership; }, 2'999ms },
    { "usage_window", "2.5s", [](const auto& bounds) { return bounds.usageWindow; }, 2'500ms },
    { "usage_window", "1.0000004s", [](const auto& bounds) { return bounds.usageWindow; }, 1'000'000'400ns },
    { "usage_due", "9.9s", [](const auto& bounds) { return bounds.usageDue; }, 9'900ms },
    { "attempt_window", "10.00001s", [](const auto& bounds) { return bounds.attemptWindow; }, 10'001ms },
    { "attempt_window", "4.35s", [](const auto& bounds) { return bounds.attemptWindow; }, 4'350ms },
    { "quota_window", "7.25s", [](const auto& bounds) { return bounds.quotaWindow; }, 7'250ms },
    { "heartbeat", "1200.0ms", [](const auto& bounds) { return bounds.heartbeat; }, 1'200ms },
    { "heartbeat", "1200.1ms", [](const auto& bounds) { return bounds.heartbeat; }, 1'201ms },
};

// Guards against a process that does not start because a bound is a fraction, or a whole number that is written as one.
TEST_CASE("bounds may be fractions and are rounded to their safe side")
{
    for (const auto& row : fractionCases) {
        CAPTURE(row.bound);
        CAPTURE(row.text);
        auto json = validSettings();
        json["bounds"][row.bound] = row.text;
        Findings findings;
        const auto settings = parseGatewaySettings(json.dump(), findings);
        INFO(formatFindings(findings));
        CHECK(findings.empty());
        CHECK(row.value(settings.bounds) == row.expected);
    }
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
    { "a duration that is no number", "/bounds/drain", "nans", "/bounds/drain" },
    { "a duration without end", "/bounds/drain", "infs", "/bounds/drain" },
    { "a duration with two points", "/bounds/drain", "1.5.5s", "/bounds/drain" },
    { "a duration beyond the range", "/bounds/drain", "1e300s", "/bounds/drain" },
    { "a ratio above one", "/bounds/attempt_ratio", 2, "/bounds/attempt_ratio" },
    { "an exposure above one", "/bounds/exposure_share", 1.5, "/bounds/exposure_share" },
    { "an exposure that is no number", "/bounds/exposure_share", "0.1", "/bounds/exposure_share" },
    { "an unknown field", "/bounds/colour", "red", "/bounds/colour" },
    { "a shared load that is no boolean", "/load/shared", "yes", "/load/shared" },
    { "a switch that is no boolean", "/admission/enabled", "yes", "/admission/enabled" },
    { "an unknown field of admission", "/admission/colour", "red", "/admission/colour" },
    { "a body rate without a unit", "/intake/body_rate", 16, "/intake/body_rate" },
    { "a body rate of nothing", "/intake/body_rate", "0B", "/intake/body_rate" },
    { "a body time beyond the range", "/intake/body_time", "2h", "/intake/body_time" },
    { "a number of descriptors below zero", "/intake/descriptors", -1, "/intake/descriptors" },
    { "an unknown limit on callers", "/intake/colour", 1, "/intake/colour" },
    { "a negative price of bytes between zones", "/zones", { { "transfer_cost", -1 } }, "/zones/transfer_cost" },
    { "a round trip without a unit", "/zones", { { "round_trip", 3 } }, "/zones/round_trip" },
    { "an unknown field of the zones", "/zones", { { "hue", 3 } }, "/zones/hue" },
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
    { "shared load", "/load/shared", true, true, { "/load/shared" } },
    { "the default of the shared load", "/load/shared", false, false, {} },
    { "admission", "/admission/enabled", true, true, { "/admission/enabled" } },
    { "admission that is off by default", "/admission/enabled", false, false, {} },
    { "the section for zones", "/zones", Json::object(), true, { "/zones" } },
    { "transfer cost", "/zones", { { "transfer_cost", 50 } }, true, { "/zones" } },
    { "round trip", "/zones", { { "round_trip", "1.4ms" } }, true, { "/zones" } },
    { "exposure share", "/bounds/exposure_share", 0.1, true, {} },
    { "exposure slack without a share, which has no effect", "/bounds/exposure_slack", 50, false, {} },
    { "rollback without a share, which has no effect", "/bounds/rollback", "4s", false, {} },
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
    { "body rate", "/intake/body_rate", "8KiB", false, { "/intake/body_rate" } },
    { "body time", "/intake/body_time", "60s", false, { "/intake/body_time" } },
    { "descriptors", "/intake/descriptors", 500, false, { "/intake/descriptors" } },
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
