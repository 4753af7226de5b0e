#include "nodesettings.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace Primrosefork;

namespace {

using Json = nlohmann::json;

auto validSettings() -> Json
{
    return Json::parse(R"({
        "node": { "id": "n1", "zone": "a", "region": "west" },
        "listen": { "callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081" },
        "platform": { "key_value_service": "127.0.0.1:9000", "instance_list": "127.0.0.1:9001" }
    })");
}

struct SettingsCase {
    const char* name;
    const char* patch; ///< JSON merge patch that is applied to valid settings.
    std::vector<Finding> findings;
};

const SettingsCase settingsCases[] = {
    { "valid settings", "{}", {} },
    { "unknown key at the top level", R"({"colour": 1})", { { "/colour", "unknown key" } } },
    { "unknown key in a nested object", R"({"node": {"colour": 1}})", { { "/node/colour", "unknown key" } } },
    { "missing object", R"({"node": null})", { { "/node", "missing" } } },
    { "wrong type", R"({"node": {"id": 7}})", { { "/node/id", "expected a string" } } },
    { "host name instead of a numeric address", R"({"listen": {"callers": "localhost:80"}})",
        { { "/listen/callers", "expected a numeric address such as \"127.0.0.1:8080\"" } } },
    { "duration without its unit", R"({"timeouts": {"store": 5}})",
        { { "/timeouts/store", "missing unit, write a duration as \"250ms\", \"5s\", \"2m\" or \"1h\"" } } },
    { "size without its unit", R"({"limits": {"body_size": 5000}})",
        { { "/limits/body_size", "missing unit, write a size as \"512B\", \"64KiB\" or \"1MiB\"" } } },
    { "duration out of range", R"({"timeouts": {"store": "2h"}})",
        { { "/timeouts/store", "out of range, expected 10 to 60000 ms" } } },
    { "duration beyond the range of its type", R"({"timeouts": {"store": "18446744073709552s"}})",
        { { "/timeouts/store", "out of range, expected 10 to 60000 ms" } } },
    { "negative duration beyond the range of its type", R"({"timeouts": {"store": "-18446744073709551s"}})",
        { { "/timeouts/store", "out of range, expected 10 to 60000 ms" } } },
    { "size beyond the range of its type", R"({"limits": {"answer_size": "17592186044417MiB"}})",
        { { "/limits/answer_size", "out of range, expected 1024 to 67108864 B" } } },
    { "same address for callers and operators", R"({"listen": {"operators": "127.0.0.1:8080"}})",
        { { "/listen/operators", "clashes with /listen/callers: the same address" } } },
    { "connect timeout longer than the first-byte timeout", R"({"timeouts": {"backend_connect": "40s"}})",
        { { "/timeouts/backend_connect", "clashes with /timeouts/backend_first_byte: must not be longer" } } },
    { "address for peers without a peer key", R"({"listen": {"peers": "127.0.0.1:8082"}})",
        { { "/peers/keys", "needed when /listen/peers is set" } } },
    { "unknown routing policy", R"({"routing_policy": "best"})",
        { { "/routing_policy", "expected one of product round-robin least-outstanding least-reported-load" } } },
    { "claim retention without its unit", R"({"claims": {"retention": 24}})",
        { { "/claims/retention", "missing unit, write a duration as \"250ms\", \"5s\", \"2m\" or \"1h\"" } } },
    { "claim retention out of range", R"({"claims": {"retention": "200h"}})",
        { { "/claims/retention", "out of range, expected 1000 to 604800000 ms" } } },
    { "claim wait shorter than the store timeout", R"({"claims": {"wait": "1s"}})",
        { { "/claims/wait", "clashes with /timeouts/store: must not be shorter" } } },
    { "several findings in one run", R"({"node": {"id": 7}, "log_level": "loud", "extra": true})",
        { { "/node/id", "expected a string" }, { "/log_level", "expected one of debug info warn error" }, { "/extra", "unknown key" } } },
};

TEST_CASE("parsing settings reports all findings of the document")
{
    for (const auto& row : settingsCases) {
        CAPTURE(std::string(row.name));
        auto json = validSettings();
        json.merge_patch(Json::parse(row.patch));
        Findings findings;

        static_cast<void>(parseNodeSettings(json.dump(), findings));

        INFO("findings: ", formatFindings(findings));
        CHECK(findings == row.findings);
    }
}

TEST_CASE("parsing text that is not JSON reports a single finding")
{
    Findings findings;
    static_cast<void>(parseNodeSettings("{", findings));
    CHECK(findings == Findings { { "", "not valid JSON" } });
}

} // namespace
