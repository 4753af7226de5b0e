#include "headers.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

TEST_CASE("a caller's headers are decoded once")
{
    const HttpHeaders headers { { "x-attempt-id", "9c41" }, { "X-Model", "m" }, { "X-Token-Counts", "1460,80" },
        { "X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410" }, { "X-Deadline-Ms", "6000" }, { "Authorization", "Token abc" }, { "Last-Event-Id", "17" } };
    const auto fields = PlatformHeaders().readCaller(headers);
    CHECK(fields.requestId == "9c41");
    CHECK(fields.deadline == 6s);
    CHECK(fields.credential == "abc");
    CHECK(fields.hasTokenCounts);
    CHECK(fields.promptTokens == 1460);
    CHECK(fields.outputTokens == 80);
    REQUIRE(fields.promptParts.size() == 2);
    CHECK(fields.promptParts[0].id == 0x5c1e07a2);
    CHECK(fields.promptParts[1].tokens == 410);
    CHECK(fields.lastEventId == "17");
}

struct CredentialCase {
    const char* name;
    const char* value;
    bool isRead;
};

const CredentialCase credentialCases[] = {
    { "the scheme", "Token abc", true },
    { "the scheme in other case", "token abc", true },
    { "another scheme", "Bearer abc", false },
    { "nothing after it", "Token ", false },
    { "empty", "", false },
};

TEST_CASE("credentials")
{
    for (const auto& row : credentialCases) {
        CAPTURE(row.name);
        CHECK(PlatformHeaders().readCaller({ { "Authorization", row.value } }).credential.has_value() == row.isRead);
    }
}

struct PassedCase {
    const char* name; ///< Of the header.
    const char* sent; ///< By the caller.
    const char* passed; ///< To the server; empty when it is left out.
};

const PassedCase passedCases[] = {
    { "X-Attempt-Id", "9c41", "9c41" },
    { "X-Prompt-Prefix", "1:2", "1:2" },
    { "X-Length-Hint", "80", "80" },
    { "X-Own", "kept", "kept" },
    { "Authorization", "Token abc", "" },
    { "X-Tenant", "forged", "salon" },
    { "x-expect-instance", "forged", "i-1" },
    { "X-Deadline-Ms", "99999", "1500" },
    { "X-Request-Priority", "0", "4" },
    { "X-Hold", "h", "" },
    { "X-Pin-Ms", "1", "" },
    { "X-Kv-Backup", "1.2.3.4:5", "" },
    { "Kv-From", "1.2.3.4:5/x", "" },
    { "Kv-Fetch", "1.2.3.4:5", "" },
    { "X-Expect-Version", "3", "" },
};

TEST_CASE("what only the node may say is not taken from callers")
{
    HttpHeaders headers;
    for (const auto& row : passedCases)
        headers.add(row.name, row.sent);
    BackendFields fields;
    fields.serverId = "i-1";
    fields.workspace = "salon";
    fields.deadline = 1500ms;
    fields.priority = 4;
    const auto passed = PlatformHeaders().toBackend(headers, fields);
    for (const auto& row : passedCases) {
        CAPTURE(row.name);
        CHECK(passed.get(row.name).value_or("") == row.passed);
        CHECK(passed.count(row.name) <= 1);
    }
}

struct ReplyCase {
    const char* name;
    int status;
    HttpHeaders headers;
    bool isNotRun;
    bool isOtherServer;
    bool isSealed;
};

const ReplyCase replyCases[] = {
    { "a success", 200, { { "X-Response-Seal", "s" }, { "X-Attempt-Id", "1" } }, false, false, true },
    { "a refusal", 503, { { "X-Not-Executed", "1" } }, true, false, false },
    { "a failure that ran", 503, { { "X-Response-Seal", "s" } }, false, false, true },
    { "another server", 421, { { "X-Instance-Id", "i-2" } }, true, true, false },
    { "an unmarked failure", 500, {}, false, false, false },
};

TEST_CASE("only the server's own word says that a request did not run")
{
    for (const auto& row : replyCases) {
        CAPTURE(row.name);
        const auto reply = PlatformHeaders().readReply(row.status, row.headers);
        CHECK(reply.isNotRun == row.isNotRun);
        CHECK(reply.isOtherServer == row.isOtherServer);
        CHECK(reply.isSealed == row.isSealed);
    }
}

TEST_CASE("the load of a server")
{
    const auto reply = PlatformHeaders().readReply(200, { { "X-Instance-Load", "3,1,8,250" } });
    REQUIRE(reply.load.has_value());
    CHECK(reply.load->running == 3);
    CHECK(reply.load->waiting == 1);
    CHECK(reply.load->slots == 8);
    CHECK(reply.load->slownessPercent == 250);
    CHECK_FALSE(PlatformHeaders().readReply(200, { { "X-Instance-Load", "3" } }).load.has_value());
}

} // namespace
