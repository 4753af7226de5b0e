#include "cluster.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <optional>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;
using Testkit::Cluster;

constexpr std::chrono::milliseconds inForceLimit = 6s; ///< Documented time limit for an accepted change to be in force on all nodes.
constexpr auto deskPath = "/admin/v1/services/jadeleaf/desk";
constexpr auto deskKey = "config/services/jadeleaf/desk";

auto operatorHeader() -> HttpHeader
{
    return { "Authorization", std::string("Bearer ") + Cluster::operatorKey };
}

auto parameters(int priority) -> Json
{
    return { { "models", Json::array({ { { "model", "m1" }, { "version", "1" } } }) }, { "backend_pools", { "assistant", "booking" } }, { "priority", priority } };
}

auto put(Cluster& cluster, std::size_t node, int base, int priority) -> HttpResponse
{
    const Json body { { "base_revision", base }, { "content", parameters(priority) } };
    const auto result = cluster.client().fetch(cluster.operatorsAddress(node), { "PUT", deskPath, "", { operatorHeader() }, body.dump() }, 20s);
    return result.error ? HttpResponse { 0, {}, result.error.message() } : result.response;
}

/** Returns the revision of the service in force on node \a node, or 0 when it cannot be read. */
auto revisionAt(Cluster& cluster, std::size_t node) -> int
{
    const auto result = cluster.client().get(cluster.operatorsAddress(node), deskPath, { operatorHeader() });
    const auto body = Json::parse(result.response.body, nullptr, false);
    return result.error || !body.is_object() ? 0 : body.value("revision", 0);
}

auto priorityAt(Cluster& cluster, std::size_t node) -> int
{
    const auto result = cluster.client().get(cluster.operatorsAddress(node), deskPath, { operatorHeader() });
    const auto body = Json::parse(result.response.body, nullptr, false);
    return body.is_object() && body.contains("content") ? body["content"].value("priority", 0) : 0;
}

auto isInForceEverywhere(Cluster& cluster, std::size_t nodes, int revision) -> bool
{
    for (std::size_t node = 0; node < nodes; ++node) {
        if (revisionAt(cluster, node) != revision)
            return false;
    }
    return true;
}

/** Returns the revision of the service in the store, or 0 when it cannot be read. */
auto storedRevision(Cluster& cluster) -> int
{
    const auto result = cluster.client().fetch(cluster.keyValueService(), { "GET", "/v1/kv", std::string("key=") + deskKey, {}, "" });
    const auto body = Json::parse(result.response.body, nullptr, false);
    const auto record = Json::parse(body.value("value", ""), nullptr, false);
    return record.is_object() ? record.value("revision", 0) : 0;
}

struct FaultCase {
    std::string name;
    const char* control; ///< Faults that the store stand-in is set to before the change.
};

const FaultCase faultCases[] = {
    { "no fault", "{}" },
    { "the store answers after 1 s", R"({"delay_ms": 1000})" },
    { "connections with a waiting watch stay open and deliver nothing", R"({"silence_watches": true})" },
    { "the store answers after 1 s, and connections with a waiting watch deliver nothing", R"({"delay_ms": 1000, "silence_watches": true})" },
    { "the reply to the write is lost", R"({"lost_replies": 1})" },
};

TEST_CASE("an accepted change is in force on all nodes within the time limit")
{
    for (const auto& row : faultCases) {
        CAPTURE(std::string(row.name));
        Cluster cluster({ .nodes = 3, .engines = 1, .plainServices = 1 });
        REQUIRE(cluster.start());
        REQUIRE(cluster.client().waitUntil([&cluster] { return cluster.control(cluster.keyValueService(), Json::object())["waiting_watches"] == 3; }, 10s));
        cluster.control(cluster.keyValueService(), Json::parse(row.control));
        const auto writesBefore = cluster.control(cluster.keyValueService(), Json::object())["writes"].get<int>();

        const auto response = put(cluster, 0, 1, 7);

        REQUIRE(response.status == HttpStatus::ok);
        const auto accepted = EventLoop::now();
        CHECK(cluster.client().waitUntil([&cluster] { return isInForceEverywhere(cluster, 3, 2); }, inForceLimit));
        MESSAGE(row.name << ": in force everywhere after ms: " << std::chrono::duration_cast<std::chrono::milliseconds>(EventLoop::now() - accepted).count());
        CHECK(storedRevision(cluster) == 2);
        CHECK(cluster.control(cluster.keyValueService(), Json::object())["writes"].get<int>() == writesBefore + 1);
    }
}

TEST_CASE("when two operators change a service at the same time, one of them gets a conflict with both contents")
{
    Cluster cluster({ .nodes = 2, .engines = 1, .plainServices = 1 });
    REQUIRE(cluster.start());
    auto& client = cluster.client();
    std::vector<std::optional<HttpResponse>> answers(2);
    for (const std::size_t node : { 0U, 1U }) {
        const Json body { { "base_revision", 1 }, { "content", parameters(node == 0 ? 3 : 8) } };
        client.httpClient().fetch(cluster.operatorsAddress(node), { "PUT", deskPath, "", { operatorHeader() }, body.dump() }, {},
            [&answers, node](std::error_code error, const HttpResponse& response) { answers[node] = error ? HttpResponse { 0, {}, "" } : response; });
    }
    REQUIRE(client.waitUntil([&answers] { return answers[0] && answers[1]; }, 20s));

    const std::size_t winner = answers[0]->status == HttpStatus::ok ? 0 : 1;
    const auto loser = 1 - winner;
    CHECK(answers[winner]->status == HttpStatus::ok);
    REQUIRE(answers[loser]->status == HttpStatus::conflict);
    const auto conflict = Json::parse(answers[loser]->body);
    CHECK(conflict["yours"]["priority"] == (loser == 0 ? 3 : 8));
    CHECK(conflict["in_force"]["content"]["priority"] == (winner == 0 ? 3 : 8));
    CHECK(conflict["in_force"]["author"] == "ana");
    CHECK(conflict["revision"] == 2);
    CHECK(storedRevision(cluster) == 2);
}

/** Sends a PUT with \a body for \a path to node \a node; sets \a status to that of the response, or to -1 when the request fails. */
auto sendPut(Cluster& cluster, std::size_t node, const std::string& path, const Json& body, int& status) -> void
{
    cluster.client().httpClient().fetch(cluster.operatorsAddress(node), { "PUT", path, "", { operatorHeader() }, body.dump() }, {},
        [&status](std::error_code error, const HttpResponse& response) { status = error ? -1 : response.status; });
}

auto currentRevision(Cluster& cluster, const std::string& path) -> int
{
    return Json::parse(cluster.client().get(cluster.operatorsAddress(0), path, { operatorHeader() }).response.body).value("revision", 0);
}

auto putAndWait(Cluster& cluster, const std::string& path, const Json& content) -> int
{
    int status = 0;
    sendPut(cluster, 0, path, { { "base_revision", currentRevision(cluster, path) }, { "content", content } }, status);
    cluster.client().waitUntil([&status] { return status != 0; }, 20s);
    return status;
}

auto configurationState(Cluster& cluster, std::size_t node) -> Json
{
    return Json::parse(cluster.client().get(cluster.operatorsAddress(node), "/admin/v1/state", { operatorHeader() }).response.body)["configuration"];
}

TEST_CASE("a template change and a service change that clash are not both accepted")
{
    constexpr int rounds = 5;
    const std::string templatePath = "/admin/v1/templates/holds";
    const std::string servicePath = "/admin/v1/services/jadeleaf/app";
    const auto plainRoutes = Json::parse(R"({"routes": [{"path": "hold", "kind": "plain", "idempotent": false}]})");
    const auto modelRoutes = Json::parse(R"({"routes": [{"path": "hold", "kind": "model", "idempotent": true}]})");
    const auto withModels = parameters(5);
    const auto withoutModels = Json::parse(R"({"backend_pools": ["booking"]})");
    Cluster cluster({ .nodes = 2, .engines = 1, .plainServices = 1 });
    REQUIRE(cluster.start());
    REQUIRE(putAndWait(cluster, templatePath, plainRoutes) == HttpStatus::ok);
    const Json service { { "workspace", "jadeleaf" }, { "name", "app" }, { "template", "holds" }, { "content", withModels } };
    REQUIRE(cluster.client().post(cluster.operatorsAddress(0), "/admin/v1/services", service.dump(), { operatorHeader() }).response.status == HttpStatus::ok);

    // The delay lets both changes pass their checks before either of them is written.
    cluster.control(cluster.keyValueService(), { { "delay_ms", 100 } });
    for (int round = 0; round < rounds; ++round) {
        CAPTURE(round);
        int templateStatus = 0;
        int serviceStatus = 0;
        sendPut(cluster, 0, templatePath, { { "base_revision", currentRevision(cluster, templatePath) }, { "content", modelRoutes } }, templateStatus);
        sendPut(cluster, 1, servicePath, { { "base_revision", currentRevision(cluster, servicePath) }, { "content", withoutModels } }, serviceStatus);
        REQUIRE(cluster.client().waitUntil([&] { return templateStatus != 0 && serviceStatus != 0; }, 20s));

        CHECK_FALSE((templateStatus == HttpStatus::ok && serviceStatus == HttpStatus::ok));
        const auto isSettled = [&cluster] {
            const auto first = configurationState(cluster, 0);
            const auto second = configurationState(cluster, 1);
            return first["digest"] == second["digest"] && first["rejected"] == 0 && second["rejected"] == 0;
        };
        CHECK(cluster.client().waitUntil(isSettled, inForceLimit));
        REQUIRE(putAndWait(cluster, servicePath, withModels) == HttpStatus::ok);
        REQUIRE(putAndWait(cluster, templatePath, plainRoutes) == HttpStatus::ok);
    }
}

TEST_CASE("stale answers of the store do not change the configuration in force")
{
    Cluster cluster({ .nodes = 2, .engines = 1, .plainServices = 1 });
    REQUIRE(cluster.start());
    cluster.control(cluster.keyValueService(), { { "save", true } });
    REQUIRE(put(cluster, 0, 1, 7).status == HttpStatus::ok);
    REQUIRE(cluster.client().waitUntil([&cluster] { return isInForceEverywhere(cluster, 2, 2); }, inForceLimit));

    cluster.control(cluster.keyValueService(), { { "stale", true } });

    REQUIRE(cluster.client().waitUntil([&cluster] { return cluster.node(1).output().find("configurationOlderIgnored") != std::string::npos; }, 10s));
    CHECK(isInForceEverywhere(cluster, 2, 2));
    CHECK(priorityAt(cluster, 1) == 7);
    cluster.control(cluster.keyValueService(), { { "stale", false } });
    REQUIRE(put(cluster, 1, 2, 8).status == HttpStatus::ok);
    CHECK(cluster.client().waitUntil([&cluster] { return isInForceEverywhere(cluster, 2, 3); }, inForceLimit));
    CHECK(storedRevision(cluster) == 3);
}

TEST_CASE("accepted changes are written back to a store that was restored from an older copy")
{
    Cluster cluster({ .nodes = 3, .engines = 1, .plainServices = 1 });
    REQUIRE(cluster.start());
    cluster.control(cluster.keyValueService(), { { "save", true } });
    REQUIRE(put(cluster, 0, 1, 7).status == HttpStatus::ok);
    REQUIRE(cluster.client().waitUntil([&cluster] { return isInForceEverywhere(cluster, 3, 2); }, inForceLimit));

    cluster.control(cluster.keyValueService(), { { "restore", true } });

    CHECK(cluster.client().waitUntil([&cluster] { return storedRevision(cluster) == 2; }, 20s));
    CHECK(isInForceEverywhere(cluster, 3, 2));
    cluster.node(2).sendSignal(SIGKILL);
    REQUIRE(cluster.node(2).waitForExit(5s));
    cluster.startNode(2);
    REQUIRE(cluster.waitUntilReady(2, 20s));
    CHECK(priorityAt(cluster, 2) == 7);
    REQUIRE(put(cluster, 0, 2, 8).status == HttpStatus::ok);
    CHECK(cluster.client().waitUntil([&cluster] { return isInForceEverywhere(cluster, 3, 3); }, inForceLimit));
}

TEST_CASE("a paused node catches up with the changes accepted in the meantime and does not revert them")
{
    Cluster cluster({ .nodes = 2, .engines = 1, .plainServices = 1 });
    REQUIRE(cluster.start());
    cluster.node(1).sendSignal(SIGSTOP);
    REQUIRE(put(cluster, 0, 1, 7).status == HttpStatus::ok);
    REQUIRE(put(cluster, 0, 2, 8).status == HttpStatus::ok);

    cluster.node(1).sendSignal(SIGCONT);

    CHECK(cluster.client().waitUntil([&cluster] { return isInForceEverywhere(cluster, 2, 3); }, inForceLimit));
    CHECK(priorityAt(cluster, 1) == 8);
}

TEST_CASE("a node started during a store outage is not ready, and becomes ready after the outage")
{
    Cluster cluster({ .nodes = 2, .engines = 1, .plainServices = 1 });
    REQUIRE(cluster.start());
    cluster.control(cluster.keyValueService(), { { "down", true } });
    cluster.node(1).sendSignal(SIGKILL);
    REQUIRE(cluster.node(1).waitForExit(5s));

    cluster.startNode(1);

    auto& client = cluster.client();
    REQUIRE(client.waitUntil([&] { return !client.get(cluster.callersAddress(1), "/health/live").error; }, 10s));
    CHECK(client.get(cluster.callersAddress(1), "/health/ready").response.status == HttpStatus::unavailable);
    const HttpHeader caller { "Authorization", std::string("Bearer ") + Cluster::callerKey };
    const auto refused = Json::parse(client.post(cluster.callersAddress(1), "/v1/services/desk/chat", R"({"prompt":"hello"})", { caller }).response.body);
    CHECK(refused["error"] == "not_ready");
    CHECK(refused["execution"] == "not run");
    CHECK(client.post(cluster.callersAddress(0), "/v1/services/desk/chat", R"({"prompt":"hello","max_tokens":2})", { caller }).response.status == HttpStatus::ok);
    const auto change = put(cluster, 0, 1, 7);
    CHECK(change.status == HttpStatus::unavailable);
    CHECK(Json::parse(change.body)["outcome"] == "not accepted");
    cluster.control(cluster.keyValueService(), { { "down", false } });
    CHECK(client.waitUntil([&] { return client.get(cluster.callersAddress(1), "/health/ready").response.status == HttpStatus::ok; }, inForceLimit));
    CHECK(storedRevision(cluster) == 1);
}

} // namespace
