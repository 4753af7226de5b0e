#include "cluster.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;
using Testkit::Cluster;

struct ApiCase {
    std::string name;
    const char* credential; ///< Bearer credential of the request; empty for none.
    const char* method;
    const char* path;
    const char* body;
    int status;
    const char* error; ///< Value of "error" in the response; empty when the call succeeds.
    const char* findings; ///< Expected findings, each as "place: message" and a newline.
};

const ApiCase apiCases[] = {
    { "no credential", "", "GET", "/admin/v1/services", "", 401, "bad_credential", "" },
    { "services with a caller's key", Cluster::callerKey, "GET", "/admin/v1/services", "", 401, "bad_credential", "" },
    { "state with a caller's key", Cluster::callerKey, "GET", "/admin/v1/state", "", 401, "bad_credential", "" },
    { "metrics with a caller's key", Cluster::callerKey, "GET", "/metrics", "", 401, "bad_credential", "" },
    { "change with a caller's key", Cluster::callerKey, "PUT", "/admin/v1/services/jadeleaf/desk", R"({"base_revision":1,"content":{}})", 401, "bad_credential", "" },
    { "list services", Cluster::operatorKey, "GET", "/admin/v1/services", "", 200, "", "" },
    { "list templates", Cluster::operatorKey, "GET", "/admin/v1/templates", "", 200, "", "" },
    { "list workspaces", Cluster::operatorKey, "GET", "/admin/v1/workspaces", "", 200, "", "" },
    { "nodes", Cluster::operatorKey, "GET", "/admin/v1/nodes", "", 200, "", "" },
    { "backend servers", Cluster::operatorKey, "GET", "/admin/v1/backend_servers", "", 200, "", "" },
    { "state", Cluster::operatorKey, "GET", "/admin/v1/state", "", 200, "", "" },
    { "one service", Cluster::operatorKey, "GET", "/admin/v1/services/jadeleaf/desk", "", 200, "", "" },
    { "history", Cluster::operatorKey, "GET", "/admin/v1/services/jadeleaf/desk/history", "", 200, "", "" },
    { "unknown service", Cluster::operatorKey, "GET", "/admin/v1/services/jadeleaf/none", "", 404, "no_such_record", "" },
    { "service without its workspace", Cluster::operatorKey, "GET", "/admin/v1/services/desk", "", 404, "no_such_path", "" },
    { "unknown path", Cluster::operatorKey, "GET", "/admin/v1/colours", "", 404, "no_such_path", "" },
    { "wrong method", Cluster::operatorKey, "POST", "/admin/v1/services/jadeleaf/desk", "{}", 405, "method_not_allowed", "" },
    { "drain of a template", Cluster::operatorKey, "POST", "/admin/v1/templates/assistant/drain", "{}", 405, "method_not_allowed", "" },
    { "body that is not JSON", Cluster::operatorKey, "PUT", "/admin/v1/services/jadeleaf/desk", "{", 400, "bad_body", "/: not a JSON object\n" },
    { "no base revision", Cluster::operatorKey, "PUT", "/admin/v1/services/jadeleaf/desk", R"({"content":{}})", 422, "invalid", "/base_revision: missing\n" },
    { "parameters with several errors", Cluster::operatorKey, "PUT", "/admin/v1/services/jadeleaf/desk",
        R"({"base_revision":1,"content":{"backend_pools":["a"],"priority":10,"weight":"x"}})", 422, "invalid",
        "/models: the template has model routes: at least one model is needed\n/priority: out of range, expected 0 to 9\n/weight: expected a whole number\n" },
    { "parameters of an unknown service", Cluster::operatorKey, "PUT", "/admin/v1/services/jadeleaf/none", R"({"base_revision":1,"content":{}})", 404, "no_such_record", "" },
    { "base other than the revision in force", Cluster::operatorKey, "PUT", "/admin/v1/services/jadeleaf/desk", R"({"base_revision":9,"content":{}})", 409, "conflict", "" },
    { "name with a blank", Cluster::operatorKey, "PUT", "/admin/v1/templates/a%20b", R"({"base_revision":0,"content":{"routes":[]}})", 422, "invalid",
        "/: the name of the template is not valid\n/routes: at least one route is needed\n" },
};

TEST_CASE("the administration API refuses requests without an operator's credential and reports every finding")
{
    Cluster cluster({ .engines = 1, .plainServices = 1 });
    REQUIRE(cluster.start());

    for (const auto& row : apiCases) {
        CAPTURE(std::string(row.name));
        HttpHeaders headers;
        if (*row.credential)
            headers.add("Authorization", std::string("Bearer ") + row.credential);

        const auto result = cluster.client().fetch(cluster.operatorsAddress(0), { row.method, row.path, "", headers, row.body });

        INFO("answer: ", result.response.body);
        CHECK(result.response.status == row.status);
        const auto body = Json::parse(result.response.body, nullptr, false);
        REQUIRE(body.is_object());
        CHECK(body.value("error", "") == row.error);
        std::string findings;
        for (const auto& finding : body.value("findings", Json::array()))
            findings += finding["place"].get<std::string>() + ": " + finding["message"].get<std::string>() + "\n";
        if (row.status != HttpStatus::methodNotAllowed)
            CHECK(findings == row.findings);
    }
    CHECK(cluster.control(cluster.keyValueService(), Json::object())["writes"] == 3); // The writes that set up the cluster, and no other.
}

TEST_CASE("an operator's key is refused on the callers' port")
{
    Cluster cluster({ .engines = 1, .plainServices = 1 });
    REQUIRE(cluster.start());
    const HttpHeader header { "Authorization", std::string("Bearer ") + Cluster::operatorKey };
    const auto result = cluster.client().post(cluster.callersAddress(0), "/v1/services/desk/chat", R"({"prompt":"hello"})", { header });
    CHECK(result.response.status == HttpStatus::unauthorized);
}

TEST_CASE("requests with the same write id make one change")
{
    Cluster cluster({ .nodes = 2, .engines = 1, .plainServices = 1 });
    REQUIRE(cluster.start());
    const HttpHeaders headers { { "Authorization", std::string("Bearer ") + Cluster::operatorKey }, { "Write-Id", "change-7" } };
    const auto* body = R"({"base_revision":1,"backend_server":"engine-0"})";
    for (const std::size_t node : { 0U, 1U, 0U }) {
        const auto result = cluster.client().post(cluster.operatorsAddress(node), "/admin/v1/services/jadeleaf/desk/drain", body, headers);
        REQUIRE(result.response.status == HttpStatus::ok);
        const auto answer = Json::parse(result.response.body);
        CHECK(answer["revision"] == 2);
        CHECK(answer["write_id"] == "change-7");
    }
}

} // namespace
