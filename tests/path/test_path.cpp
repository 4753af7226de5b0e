#include "cluster.h"
#include "tokentext.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

auto bearer(const std::string& key) -> HttpHeader
{
    return { "Authorization", "Bearer " + key };
}

auto expectedText(const std::string& prompt, std::int64_t first, std::int64_t last) -> std::string
{
    std::string text;
    for (auto offset = first; offset < last; ++offset)
        text += tokenText(prompt, offset);
    return text;
}

struct RequestCase {
    const char* name;
    const char* path;
    const char* credential;
    const char* key;
    const char* body;
    int status;
    const char* error; ///< Expected error code; empty when the request is answered.
};

const RequestCase requestCases[] = {
    { "model answer", "/v1/services/desk/chat", "caller-key", "", R"({"prompt":"hello","max_tokens":3})", 200, "" },
    { "plain answer", "/v1/services/desk/bookings/confirm", "caller-key", "k1", R"({"chair":1})", 200, "" },
    { "idempotent call without a key", "/v1/services/desk/bookings/read", "caller-key", "", "{}", 200, "" },
    { "call that is not idempotent without a key", "/v1/services/desk/bookings/confirm", "caller-key", "", "{}", 400, "request_key_needed" },
    { "wrong credential", "/v1/services/desk/chat", "other-key", "", R"({"prompt":"hello"})", 401, "bad_credential" },
    { "operator's credential", "/v1/services/desk/chat", "operator-key", "", R"({"prompt":"hello"})", 401, "bad_credential" },
    { "unknown service", "/v1/services/none/chat", "caller-key", "", R"({"prompt":"hello"})", 404, "no_such_service" },
    { "unknown route", "/v1/services/desk/none", "caller-key", "", R"({"prompt":"hello"})", 404, "no_such_route" },
    { "service without a route", "/v1/services/desk", "caller-key", "", R"({"prompt":"hello"})", 404, "no_such_route" },
    { "body that is not JSON", "/v1/services/desk/chat", "caller-key", "", "hello", 400, "bad_body" },
    { "body with an unknown field", "/v1/services/desk/chat", "caller-key", "", R"({"prompt":"hello","colour":1})", 400, "bad_body" },
    { "offset without the text before it", "/v1/services/desk/chat", "caller-key", "", R"({"prompt":"hello","offset":2})", 400, "bad_body" },
};

TEST_CASE("valid requests are answered by a backend server and invalid ones are refused")
{
    Testkit::Cluster cluster({});
    REQUIRE(cluster.start());

    for (const auto& row : requestCases) {
        CAPTURE(std::string(row.name));
        HttpHeaders headers { bearer(row.credential) };
        if (*row.key)
            headers.add("Request-Key", row.key);

        const auto result = cluster.client().post(cluster.callersAddress(0), row.path, row.body, headers);

        CHECK_FALSE(result.error);
        CHECK(result.response.status == row.status);
        const auto body = Json::parse(result.response.body, nullptr, false);
        REQUIRE(body.is_object());
        CHECK(body.value("error", "") == row.error);
        if (*row.error)
            CHECK(body.value("execution", "") == "not run");
    }
}

struct StreamCase {
    const char* name;
    std::int64_t first; ///< Offset of the first requested token.
    std::int64_t tokens; ///< Number of tokens of the whole answer.
};

const StreamCase streamCases[] = {
    { "from the start", 0, 20 },
    { "resumed after a broken connection", 7, 20 },
    { "one token", 0, 1 },
};

TEST_CASE("a stream is delivered completely from the requested offset")
{
    Testkit::Cluster cluster({});
    REQUIRE(cluster.start());

    for (const auto& row : streamCases) {
        CAPTURE(std::string(row.name));
        Json body { { "prompt", "hello" }, { "max_tokens", row.tokens }, { "stream", true } };
        if (row.first > 0) {
            body["offset"] = row.first;
            body["delivered"] = expectedText("hello", 0, row.first);
        }

        const auto result = cluster.client().post(cluster.callersAddress(0), "/v1/services/desk/chat", body.dump(), { bearer(Testkit::Cluster::callerKey) });

        std::string expected;
        for (auto offset = row.first; offset < row.tokens; ++offset)
            expected += Json { { "offset", offset }, { "text", tokenText("hello", offset) } }.dump() + "\n";
        expected += Json { { "done", true }, { "tokens", row.tokens } }.dump() + "\n";
        CHECK_FALSE(result.error);
        CHECK(result.response.body == expected);
    }
}

TEST_CASE("a node that receives SIGTERM twice finishes a running stream before it exits")
{
    Testkit::Cluster cluster({});
    REQUIRE(cluster.start());
    auto& client = cluster.client();
    std::string received;
    std::error_code outcome;
    bool isDone = false;
    HttpCallHandlers handlers;
    handlers.onPiece = [&received](std::string_view piece) { received += piece; };
    handlers.onDone = [&](std::error_code error) {
        outcome = error;
        isDone = true;
    };
    const Json body { { "prompt", "hello" }, { "max_tokens", 150 }, { "stream", true } };
    const auto call = client.httpClient().send(cluster.callersAddress(0),
        { "POST", "/v1/services/desk/chat", "", { bearer(Testkit::Cluster::callerKey) }, body.dump() }, {}, std::move(handlers));
    REQUIRE(client.waitUntil([&received] { return !received.empty(); }, 5s));

    cluster.node(0).sendSignal(SIGTERM);
    cluster.node(0).sendSignal(SIGTERM);

    REQUIRE(client.waitUntil([&isDone] { return isDone; }, 20s));
    CHECK_FALSE(outcome);
    CHECK(received.ends_with("{\"done\":true,\"tokens\":150}\n"));
    CHECK(cluster.node(0).waitForExit(10s) == 0);
}

} // namespace
