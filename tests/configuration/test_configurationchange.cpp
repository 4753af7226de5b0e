#include "configurationchanges.h"

#include <doctest/doctest.h>
#include <memory>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

constexpr auto deskKey = "config/services/jadeleaf/desk";
const std::string callersHash(64, 'a');
const std::string otherHash(64, 'b');

auto record(Revision revision, const char* content, const std::string& templateName = "") -> ConfigurationRecord
{
    return { { revision, "write-" + std::to_string(revision), "ana", {}, templateName, false, Json::parse(content) }, {} };
}

auto deskRecord() -> ConfigurationRecord
{
    auto desk = record(3, R"({"backend_pools": ["booking"]})", "bookings");
    desk.history.push_back({ 2, "write-2", "ben", {}, "bookings", false, Json::parse(R"({"backend_pools": ["old"]})") });
    desk.history.push_back({ 1, "write-1", "ben", {}, "bookings", false, Json::parse(R"({"backend_pools": ["oldest"], "priority": 7})") });
    return desk;
}

auto baseConfiguration() -> Configuration
{
    Configuration configuration;
    Findings findings;
    const auto put = [&](const std::string& key, const ConfigurationRecord& value) {
        REQUIRE(applyRecord(configuration, key, formatRecord(value), findings));
    };
    put("config/workspaces/jadeleaf", record(1, (R"({"key_sha256": ")" + callersHash + "\"}").c_str()));
    put("config/templates/bookings", record(1, R"({"routes": [{"path": "confirm", "kind": "plain", "idempotent": false}]})"));
    put("config/templates/spare", record(1, R"({"routes": [{"path": "read", "kind": "plain", "idempotent": true}]})"));
    put(deskKey, deskRecord());
    return configuration;
}

auto storedRecord(const Configuration& configuration, const std::string& key) -> std::optional<ConfigurationRecord>
{
    const auto found = configuration.records.find(key);
    return found == configuration.records.end() ? std::nullopt : parseRecord(*found->second);
}

struct ChangeCase {
    std::string name;
    std::shared_ptr<const ConfigurationChange> change;
    Revision base;
    const char* writeId;
    ChangeVerdict verdict;
    Revision revision; ///< Revision of the version that the change makes; 0 when it makes none.
    const char* content; ///< Content of that version.
    std::vector<Finding> findings;
};

const ServiceKey desk { "jadeleaf", "desk" };
const ServiceKey other { "jadeleaf", "other" };
const auto onePool = Json::parse(R"({"backend_pools": ["new"]})");
const auto modelRoute = Json::parse(R"({"routes": [{"path": "chat", "kind": "model", "idempotent": true}]})");

template <typename Change, typename... Arguments>
auto make(Arguments... arguments) -> std::shared_ptr<const ConfigurationChange>
{
    return std::make_shared<const Change>(arguments...);
}

const ChangeCase changeCases[] = {
    { "a new service", make<CreateService>(other, "bookings", onePool), 0, "w", ChangeVerdict::Ready, 1, R"({"backend_pools":["new"]})", {} },
    { "a service that exists", make<CreateService>(desk, "bookings", onePool), 0, "w", ChangeVerdict::Conflict, 0, "", {} },
    { "a service from an unknown template", make<CreateService>(other, "none", onePool), 0, "w", ChangeVerdict::Invalid, 0, "",
        { { "/template", "no template is called \"none\"" } } },
    { "a service in an unknown workspace", make<CreateService>(ServiceKey { "nobody", "desk" }, "bookings", onePool), 0, "w", ChangeVerdict::Invalid, 0, "",
        { { "/workspace", "no workspace is called \"nobody\"" } } },
    { "parameters at the base", make<ChangeParameters>(desk, onePool), 3, "w", ChangeVerdict::Ready, 4, R"({"backend_pools":["new"]})", {} },
    { "parameters on an older base", make<ChangeParameters>(desk, onePool), 2, "w", ChangeVerdict::Conflict, 0, "", {} },
    { "parameters on a base that does not exist yet", make<ChangeParameters>(desk, onePool), 4, "w", ChangeVerdict::Conflict, 0, "", {} },
    { "parameters of an unknown service", make<ChangeParameters>(other, onePool), 1, "w", ChangeVerdict::NotFound, 0, "", {} },
    { "parameters with several errors", make<ChangeParameters>(desk, Json::parse(R"({"priority": 12, "colour": "red"})")), 3, "w", ChangeVerdict::Invalid, 0, "",
        { { "/backend_pools", "at least one pool is needed" }, { "/priority", "out of range, expected 0 to 9" }, { "/colour", "unknown key" } } },
    { "the last write repeated", make<ChangeParameters>(desk, onePool), 2, "write-3", ChangeVerdict::AlreadyAccepted, 3, R"({"backend_pools":["booking"]})", {} },
    { "an earlier write repeated", make<ChangeParameters>(desk, onePool), 1, "write-2", ChangeVerdict::AlreadyAccepted, 2, R"({"backend_pools":["old"]})", {} },
    { "roll forward", make<RollForward>(deskKey, 1U), 3, "w", ChangeVerdict::Ready, 4, R"({"backend_pools":["oldest"],"priority":7})", {} },
    { "roll forward to a revision that is not in the history", make<RollForward>(deskKey, 9U), 3, "w", ChangeVerdict::Invalid, 0, "",
        { { "/to_revision", "the history has no such revision" } } },
    { "drain", make<DrainBackend>(desk, "plain-0", true), 3, "w", ChangeVerdict::Ready, 4, R"({"backend_pools":["booking"],"drained_backends":["plain-0"]})", {} },
    { "undrain of a backend server that is not drained", make<DrainBackend>(desk, "plain-0", false), 3, "w", ChangeVerdict::Ready, 4,
        R"({"backend_pools":["booking"],"drained_backends":[]})", {} },
    { "a template that makes one of its services invalid", make<PutTemplate>("bookings", modelRoute), 1, "w", ChangeVerdict::Invalid, 0, "",
        { { "/services/jadeleaf/desk/models", "the template has model routes: at least one model is needed" } } },
    { "a template without services", make<PutTemplate>("spare", modelRoute), 1, "w", ChangeVerdict::Ready, 2,
        R"({"routes":[{"idempotent":true,"kind":"model","path":"chat"}]})", {} },
    { "a template with a bad name", make<PutTemplate>("a b", modelRoute), 0, "w", ChangeVerdict::Invalid, 0, "",
        { { "", "the name of the template is not valid" } } },
    { "a template in use is deleted", make<DeleteRecord>("config/templates/bookings"), 1, "w", ChangeVerdict::Invalid, 0, "",
        { { "", "services use the template" } } },
    { "a template not in use is deleted", make<DeleteRecord>("config/templates/spare"), 1, "w", ChangeVerdict::Ready, 2,
        R"({"routes":[{"idempotent":true,"kind":"plain","path":"read"}]})", {} },
    { "a workspace with services is deleted", make<DeleteRecord>("config/workspaces/jadeleaf"), 1, "w", ChangeVerdict::Invalid, 0, "",
        { { "", "the workspace has the service \"desk\"" } } },
    { "a workspace with the key of another", make<PutWorkspace>("viajera", Json { { "key_sha256", callersHash } }), 0, "w", ChangeVerdict::Invalid, 0, "",
        { { "/key_sha256", "the workspace \"jadeleaf\" has the same key" } } },
    { "a new workspace", make<PutWorkspace>("viajera", Json { { "key_sha256", otherHash } }), 0, "w", ChangeVerdict::Ready, 1,
        R"({"key_sha256":"bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb"})", {} },
};

TEST_CASE("a change is applied to its base revision and the resulting configuration is validated")
{
    for (const auto& row : changeCases) {
        CAPTURE(std::string(row.name));
        const auto configuration = baseConfiguration();
        const ChangeOrigin origin { row.base, row.writeId, "cleo", std::chrono::system_clock::time_point(5s) };

        const auto prepared = prepareChange(*row.change, origin, storedRecord(configuration, row.change->key()), configuration);

        INFO("findings: ", formatFindings(prepared.findings));
        CHECK(prepared.verdict == row.verdict);
        CHECK(prepared.findings == row.findings);
        if (row.revision != 0) {
            CHECK(prepared.version.revision == row.revision);
            CHECK(prepared.version.content.dump() == row.content);
        }
    }
}

TEST_CASE("a record keeps its author, its time and its earlier versions")
{
    const auto configuration = baseConfiguration();
    const ChangeParameters change(desk, onePool);
    const auto prepared = prepareChange(change, { 3, "w", "cleo", std::chrono::system_clock::time_point(5s) }, deskRecord(), configuration);

    const auto read = parseRecord(formatRecord(prepared.record));
    REQUIRE(read);
    CHECK(read->current.author == "cleo");
    CHECK(read->current.time == std::chrono::system_clock::time_point(5s));
    CHECK(read->current.templateName == "bookings");
    REQUIRE(read->history.size() == 3);
    CHECK(read->history[0].revision == 3);
    CHECK(read->history[2].revision == 1);
}

TEST_CASE("the history of a record is bounded in number of versions and in size")
{
    auto configuration = baseConfiguration();
    std::optional<ConfigurationRecord> current = deskRecord();
    for (Revision base = 3; base < 60; ++base) {
        auto parameters = onePool;
        parameters["drained_backends"] = std::vector<std::string>(20'000, "plain-0");
        const ChangeParameters change(desk, parameters);
        const auto prepared = prepareChange(change, { base, std::to_string(base), "cleo", {} }, current, configuration);
        REQUIRE(prepared.verdict == ChangeVerdict::Ready);
        current = prepared.record;
        CHECK(formatRecord(*current).size() <= 768 * 1024);
        CHECK(current->history.size() <= maxHistoryVersions);
    }
    CHECK(current->current.revision == 60);
}

struct OlderCase {
    std::string name;
    Revision revision;
    const char* pool; ///< Pool of the service in force afterwards.
};

const OlderCase olderCases[] = {
    { "a newer revision", 4, "new" },
    { "the revision in force with another content", 3, "booking" },
    { "an older revision", 2, "booking" },
};

TEST_CASE("a record in force is never replaced by an older revision")
{
    for (const auto& row : olderCases) {
        CAPTURE(std::string(row.name));
        auto configuration = baseConfiguration();
        Findings findings;

        CHECK(applyRecord(configuration, deskKey, formatRecord(record(row.revision, R"({"backend_pools": ["new"]})", "bookings")), findings));

        CHECK(configuration.service("jadeleaf", "desk")->parameters.backendPools == std::vector<std::string> { row.pool });
    }
}

TEST_CASE("a template that makes a service in force invalid is not put in force")
{
    auto configuration = baseConfiguration();
    Findings findings;

    CHECK_FALSE(applyRecord(configuration, "config/templates/bookings", formatRecord(record(2, modelRoute.dump().c_str())), findings));

    CHECK(findings == Findings { { "/services/jadeleaf/desk/models", "the template has model routes: at least one model is needed" } });
    CHECK(configuration.revisionOf("config/templates/bookings") == 1);
    CHECK(configuration.templates.at("bookings").route("confirm") != nullptr);
}

TEST_CASE("a deletion is a revision of the record, on which a later creation builds")
{
    auto configuration = baseConfiguration();
    Findings findings;
    const auto prepared = prepareChange(DeleteRecord(deskKey), { 3, "w", "cleo", {} }, deskRecord(), configuration);
    REQUIRE(prepared.verdict == ChangeVerdict::Ready);

    CHECK(applyRecord(configuration, deskKey, formatRecord(prepared.record), findings));

    CHECK(configuration.service("jadeleaf", "desk") == nullptr);
    CHECK(configuration.revisionOf(deskKey) == 4);
    const auto again = prepareChange(CreateService(desk, "bookings", onePool), { 0, "v", "cleo", {} }, prepared.record, configuration);
    CHECK(again.verdict == ChangeVerdict::Ready);
    CHECK(again.version.revision == 5);
}

struct BadRecordCase {
    std::string name;
    const char* value;
};

const BadRecordCase badRecordCases[] = {
    { "not JSON", "{" },
    { "no revision", R"({"content": {}})" },
    { "no content", R"({"revision": 1})" },
    { "negative revision", R"({"revision": -1, "content": {}})" },
    { "author of another type", R"({"revision": 1, "content": {}, "author": 7})" },
    { "history of another type", R"({"revision": 1, "content": {}, "history": [1]})" },
};

TEST_CASE("a malformed record yields a finding and changes nothing")
{
    for (const auto& row : badRecordCases) {
        CAPTURE(std::string(row.name));
        auto configuration = baseConfiguration();
        Findings findings;

        CHECK_FALSE(applyRecord(configuration, "config/workspaces/new", row.value, findings));

        CHECK(findings == Findings { { "", "not a record with a revision and a content" } });
        CHECK(configuration.revisionOf("config/workspaces/new") == 0);
    }
}

} // namespace
