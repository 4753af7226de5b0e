#include "cluster.h"
#include "gatewayfixture.h"
#include "process.h"

#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

constexpr auto reportTime = 1s; ///< Two report periods.

/** Two gateway nodes of one fleet on one loop. */
struct SettingsFixture : GatewayFixture {
    SettingsFixture()
    {
        this->configure(7);
        this->registerServer("i-1", "app", 18321);
        REQUIRE(this->start());
        this->startOther();
    }

    auto startOther() -> void
    {
        this->otherSettings = this->settings;
        this->otherSettings.id = "node-2";
        this->otherSettings.callers.port = 18331;
        this->otherSettings.readiness.port = 18332;
        this->otherSettings.peers.port = 18333;
        this->otherSettings.operators.port = 18334;
        this->other = std::make_unique<GatewayNode>(this->loop, this->otherSettings, makePlatformSystems(this->client, this->otherSettings));
        REQUIRE_FALSE(this->other->begin());
        REQUIRE(this->runUntil([this] { return this->other->board().lifecycle.value() == Lifecycle::Serving; }));
    }

    auto state(const Address& operators) -> Json
    {
        Json result;
        this->client.fetch(operators, { "GET", "/state", "", {}, "" }, {},
            [&result](std::error_code, const HttpResponse& response) { result = Json::parse(response.body, nullptr, false); });
        REQUIRE(this->runUntil([&result] { return !result.is_null(); }));
        return result;
    }

    /** Runs `primrosefork gateway settings` with \a arguments while the nodes run. */
    auto runCommand(const std::vector<std::string>& arguments) -> ProgramResult
    {
        auto pattern = (std::filesystem::temp_directory_path() / "primrosefork-settings-XXXXXX").string();
        const std::string folder = mkdtemp(pattern.data()) ? pattern : "";
        std::vector<std::string> words { "gateway", "settings", "--timeout=500ms" };
        words.insert(words.end(), arguments.begin(), arguments.end());
        Process process(Cluster::cliProgram(), words, folder + "/output");
        this->runUntil([&process] { return !process.isRunning(); }, 5s);
        ProgramResult result { process.waitForExit(0ms).value_or(-1), process.output() };
        std::filesystem::remove_all(folder);
        return result;
    }

    GatewaySettings otherSettings;
    std::unique_ptr<GatewayNode> other;
};

struct ReloadCase {
    const char* name;
    void (*edit)(GatewaySettings&);
    bool isNewDigest;
    std::vector<std::string> unapplied;
};

const ReloadCase reloadCases[] = {
    { "the same settings", [](GatewaySettings&) {}, false, {} },
    { "another bound", [](GatewaySettings& next) { next.bounds.drain += 1s; }, true, {} },
    { "another address", [](GatewaySettings& next) { next.callers.port = 1; }, false, { "/listen/callers" } },
    { "another log level and another bound",
        [](GatewaySettings& next) {
            next.logLevel = "debug";
            next.bounds.quotaSlack = 5;
        },
        true, { "/log_level" } },
};

TEST_CASE("a node shows which settings it runs after a reload, and which fields need a restart")
{
    for (const auto& row : reloadCases) {
        INFO(std::string(row.name));
        SettingsFixture fixture;
        const auto before = fixture.state(fixture.settings.operators)["settings"];
        CHECK(before["digest"].get<std::string>().size() == 16);
        CHECK(before["in_force"]["bounds"]["drain"] == 2'000);
        fixture.runFor(50ms);
        auto next = fixture.settings;
        row.edit(next);
        fixture.node->settingsReloaded(next);
        const auto after = fixture.state(fixture.settings.operators)["settings"];
        CHECK((after["digest"] != before["digest"]) == row.isNewDigest);
        CHECK((after["in_force_ms"] < before["in_force_ms"]) == row.isNewDigest);
        CHECK(after["in_force"]["bounds"]["drain"] == next.bounds.drain.count());
        CHECK(after["unapplied"] == Json(row.unapplied));
    }
}

TEST_CASE("a rejected file leaves the settings in force, and the reason is shown until a file is accepted")
{
    SettingsFixture fixture;
    const auto before = fixture.state(fixture.settings.operators)["settings"];
    CHECK(before["rejected"].is_null());
    fixture.node->settingsRejected({ { "/bounds/drain", "expected a duration" } });
    const auto after = fixture.state(fixture.settings.operators)["settings"];
    CHECK(after["digest"] == before["digest"]);
    CHECK(after["rejected"]["findings"].get<std::string>().find("/bounds/drain: expected a duration") != std::string::npos);
    CHECK(after["rejected"]["ms_ago"] >= 0);
    fixture.node->settingsReloaded(fixture.settings);
    CHECK(fixture.state(fixture.settings.operators)["settings"]["rejected"].is_null());
}

TEST_CASE("the leader shows how many nodes run which settings and which configuration")
{
    SettingsFixture fixture;
    fixture.runFor(reportTime);
    auto fleet = fixture.state(fixture.settings.operators)["coordination"];
    REQUIRE(fleet["settings"].size() == 1);
    CHECK(fleet["settings"][0]["nodes"] == 2);
    CHECK(fleet["settings"][0]["ids"] == Json({ "node-1", "node-2" }));
    REQUIRE(fleet["configurations"].size() == 1);
    CHECK(fleet["configurations"][0]["nodes"] == 2);
    auto next = fixture.otherSettings;
    next.bounds.drain += 1s;
    fixture.other->settingsReloaded(next);
    fixture.runFor(reportTime);
    fleet = fixture.state(fixture.settings.operators)["coordination"];
    REQUIRE(fleet["settings"].size() == 2);
    // Groups of the same size are in the order of their digests.
    const auto other = fleet["settings"][0]["ids"] == Json::array({ "node-2" }) ? 0 : 1;
    CHECK(fleet["settings"][1 - other]["ids"] == Json::array({ "node-1" }));
    CHECK(fleet["settings"][other]["ids"] == Json::array({ "node-2" }));
    CHECK(fleet["settings"][other]["digest"] == fixture.state(fixture.otherSettings.operators)["settings"]["digest"]);
    CHECK_FALSE(fixture.state(fixture.otherSettings.operators)["coordination"].contains("settings"));
}

struct CommandCase {
    const char* name;
    void (*prepare)(SettingsFixture&);
    std::vector<std::string> arguments;
    int exitCode;
    std::vector<std::string> output; ///< Texts that the command must print.
};

const CommandCase commandCases[] = {
    { "all agree", [](SettingsFixture&) {}, { "127.0.0.1:18314", "127.0.0.1:18334" }, 0, { "ADDRESS", "node-1", "node-2", "7" } },
    { "as JSON", [](SettingsFixture&) {}, { "127.0.0.1:18314", "--json" }, 0, { R"("id": "node-1")", R"("configuration": "7")" } },
    { "one runs other settings",
        [](SettingsFixture& fixture) {
            auto next = fixture.otherSettings;
            next.bounds.drain += 1s;
            fixture.other->settingsReloaded(next);
        },
        { "127.0.0.1:18314", "127.0.0.1:18334" }, 1, { "node-1", "node-2" } },
    { "one has rejected its file", [](SettingsFixture& fixture) { fixture.other->settingsRejected({ { "/bounds/drain", "expected a duration" } }); },
        { "127.0.0.1:18314", "127.0.0.1:18334" }, 1, { "rejected the file", "/bounds/drain: expected a duration" } },
    { "one needs a restart",
        [](SettingsFixture& fixture) {
            auto next = fixture.settings;
            next.zone = "b";
            fixture.node->settingsReloaded(next);
        },
        { "127.0.0.1:18314" }, 1, { "needs a restart: /node/zone" } },
    { "one does not answer", [](SettingsFixture&) {}, { "127.0.0.1:18314", "127.0.0.1:9" }, 5, { "node-1", "did not answer" } },
    { "an address that is none", [](SettingsFixture&) {}, { "localhost:1" }, 2, { "localhost:1 is not a numeric address" } },
    { "no address", [](SettingsFixture&) {}, {}, 2, { "expected the operators' addresses" } },
};

TEST_CASE("the command line shows which settings nodes run, and its exit code tells whether they agree")
{
    for (const auto& row : commandCases) {
        INFO(std::string(row.name));
        SettingsFixture fixture;
        row.prepare(fixture);
        const auto result = fixture.runCommand(row.arguments);
        INFO("output: ", result.output);
        CHECK(result.exitCode == row.exitCode);
        for (const auto& text : row.output)
            CHECK(result.output.find(text) != std::string::npos);
    }
}

} // namespace
