#include "headers.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

TEST_CASE("a caller's headers are decoded")
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

struct CountCase {
    const char* name;
    const char* value;
    bool hasCounts;
    std::int64_t promptTokens;
    std::int64_t outputTokens;
};

const CountCase countCases[] = {
    { "two numbers", "1460,80", true, 1'460, 80 },
    { "spaces around the numbers", " 1460 , 80 ", true, 1'460, 80 },
    { "negative numbers", "-1460,-80", true, 0, 0 },
    { "the largest number of the type", "9223372036854775807,9223372036854775807", true, 1'000'000'000, 1'000'000'000 },
    { "a number beyond the range of the type", "99999999999999999999,80", true, 1'000'000'000, 80 },
    { "text instead of a number", "many,80", false, 0, 0 },
    { "an empty number", ",80", false, 0, 0 },
    { "one number", "1460", false, 0, 0 },
    { "three numbers", "1,2,3", false, 0, 0 },
};

TEST_CASE("token counts are not negative and limited, and are missing if one of them is unreadable")
{
    for (const auto& row : countCases) {
        CAPTURE(row.name);
        const auto fields = PlatformHeaders().readCaller({ { "X-Token-Counts", row.value } });
        CHECK(fields.hasTokenCounts == row.hasCounts);
        CHECK(fields.promptTokens == row.promptTokens);
        CHECK(fields.outputTokens == row.outputTokens);
    }
}

struct DeadlineCase {
    const char* name;
    const char* value;
    std::optional<std::chrono::milliseconds> deadline;
};

const DeadlineCase deadlineCases[] = {
    { "a number", "6000", 6s },
    { "zero", "0", 0ms },
    { "a negative number", "-1", 0ms },
    { "the smallest number of the type", "-9223372036854775808", 0ms },
    { "the largest number of the type", "9223372036854775807", 24h },
    { "a number beyond the range of the type", "99999999999999999999", 24h },
    { "text", "soon", {} },
    { "a fraction", "1.5", {} },
};

TEST_CASE("a deadline is between now and a day")
{
    for (const auto& row : deadlineCases) {
        CAPTURE(row.name);
        CHECK(PlatformHeaders().readCaller({ { "X-Deadline-Ms", row.value } }).deadline == row.deadline);
    }
}

TEST_CASE("the sizes of prompt parts are not negative and limited")
{
    const auto parts = PlatformHeaders().readCaller({ { "X-Prompt-Prefix", "1:-5,2:9223372036854775807,3:x,4:7" } }).promptParts;
    REQUIRE(parts.size() == 3);
    CHECK(parts[0].tokens == 0);
    CHECK(parts[1].tokens == 1'000'000'000);
    CHECK(parts[2].id == 4);
}

struct CredentialCase {
    const char* name;
    const char* value;
    bool isAccepted;
};

const CredentialCase credentialCases[] = {
    { "expected scheme", "Token abc", true },
    { "expected scheme in lower case", "token abc", true },
    { "other scheme", "Bearer abc", false },
    { "scheme without a credential", "Token ", false },
    { "empty value", "", false },
};

TEST_CASE("a credential is read only with the expected scheme and a value")
{
    for (const auto& row : credentialCases) {
        CAPTURE(row.name);
        CHECK(PlatformHeaders().readCaller({ { "Authorization", row.value } }).credential.has_value() == row.isAccepted);
    }
}

struct ForwardedHeaderCase {
    const char* name; ///< Name of the header.
    const char* sent; ///< Value that the caller sends.
    const char* forwarded; ///< Value that the backend server gets; empty when the header is removed.
};

const ForwardedHeaderCase forwardedHeaderCases[] = {
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

TEST_CASE("headers reserved for the node are not forwarded from callers")
{
    HttpHeaders headers;
    for (const auto& row : forwardedHeaderCases)
        headers.add(row.name, row.sent);
    BackendFields fields;
    fields.serverId = "i-1";
    fields.workspace = "salon";
    fields.deadline = 1500ms;
    fields.priority = 4;
    const auto forwarded = PlatformHeaders().backendHeaders(headers, fields);
    for (const auto& row : forwardedHeaderCases) {
        CAPTURE(row.name);
        CHECK(forwarded.get(row.name).value_or("") == row.forwarded);
        CHECK(forwarded.count(row.name) <= 1);
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
    { "success", 200, { { "X-Response-Seal", "s" }, { "X-Attempt-Id", "1" } }, false, false, true },
    { "refusal", 503, { { "X-Not-Executed", "1" } }, true, false, false },
    { "failure of a request that ran", 503, { { "X-Response-Seal", "s" } }, false, false, true },
    { "other server at the address", 421, { { "X-Instance-Id", "i-2" } }, true, true, false },
    { "failure without a seal or a statement", 500, {}, false, false, false },
};

TEST_CASE("a request counts as not run only if the server states it")
{
    for (const auto& row : replyCases) {
        CAPTURE(row.name);
        const auto reply = PlatformHeaders().readReply(row.status, row.headers);
        CHECK(reply.isNotRun == row.isNotRun);
        CHECK(reply.isMisdirected == row.isOtherServer);
        CHECK(reply.isSealed == row.isSealed);
    }
}

struct LeavingCase {
    const char* name;
    HttpHeaders headers;
    bool isServerLeaving;
};

const LeavingCase leavingCases[] = {
    { "no header", {}, false },
    { "the defined value", { { "Server-Leaving", "1" } }, true },
    { "a name in lower case", { { "server-leaving", "1" } }, true },
    { "zero", { { "Server-Leaving", "0" } }, false },
    { "text", { { "Server-Leaving", "yes" } }, false },
    { "an empty value", { { "Server-Leaving", "" } }, false },
    { "a longer number", { { "Server-Leaving", "10" } }, false },
    { "the defined value in one of two headers", { { "Server-Leaving", "0" }, { "Server-Leaving", "1" } }, true },
};

TEST_CASE("a server leaves when one of its headers has the defined value, whatever the status")
{
    for (const auto& row : leavingCases) {
        CAPTURE(row.name);
        for (const auto status : { 200, 421, 429, 500, 503 })
            CHECK(PlatformHeaders().readReply(status, row.headers).isServerLeaving == row.isServerLeaving);
    }
}

struct PauseCase {
    const char* name;
    int status;
    HttpHeaders headers;
    std::optional<std::chrono::milliseconds> pause;
};

const PauseCase pauseCases[] = {
    { "no header", 503, {}, {} },
    { "a whole number", 503, { { "Retry-After", "2" } }, 2s },
    { "a fraction, rounded up", 503, { { "retry-after", "0.2501" } }, 251ms },
    { "the longest of several headers", 503, { { "Retry-After", "1" }, { "Retry-After", "3" }, { "Retry-After", "2" } }, 3s },
    { "an unreadable header beside another one", 503, { { "Retry-After", "soon" }, { "Retry-After", "2" } }, 2s },
    { "a huge number", 503, { { "Retry-After", "1e99" } }, 24h },
    { "a number beyond the range", 503, { { "Retry-After", "1e999" } }, {} },
    { "zero", 503, { { "Retry-After", "0" } }, {} },
    { "a negative number", 503, { { "Retry-After", "-5" } }, {} },
    { "not a number", 503, { { "Retry-After", "nan" } }, {} },
    { "infinity", 503, { { "Retry-After", "inf" } }, {} },
    { "text", 503, { { "Retry-After", "soon" } }, {} },
    { "a number with a unit", 503, { { "Retry-After", "2s" } }, {} },
    { "an empty value", 503, { { "Retry-After", "" } }, {} },
    { "another refusal", 429, { { "Retry-After", "2" } }, {} },
    { "a success", 200, { { "Retry-After", "2" } }, {} },
};

TEST_CASE("a pause is read from a 503 only, and unreadable values ask for none")
{
    for (const auto& row : pauseCases) {
        CAPTURE(row.name);
        CHECK(PlatformHeaders().readReply(row.status, row.headers).retryAfter == row.pause);
    }
}

struct LimitHeaderCase {
    const char* name;
    HttpHeaders headers;
    std::optional<double> perSecond;
    bool isUnreadable;
};

const LimitHeaderCase limitHeaderCases[] = {
    { "a decimal number", { { "Server-Limit", "2.6" } }, 2.6, false },
    { "zero", { { "Server-Limit", "0" } }, 0, false },
    { "no limit", {}, {}, false },
    { "the lowest of several", { { "Server-Limit", "7" }, { "Server-Limit", "3" } }, 3, false },
    { "several, one of them unreadable", { { "Server-Limit", "x" }, { "Server-Limit", "3" } }, 3, true },
    { "text", { { "Server-Limit", "few" } }, {}, true },
    { "an empty value", { { "Server-Limit", "" } }, {}, true },
    { "a negative number", { { "Server-Limit", "-1" } }, {}, true },
    { "not a number", { { "Server-Limit", "nan" } }, {}, true },
    { "infinity", { { "Server-Limit", "inf" } }, {}, true },
};

TEST_CASE("a limit of requests is read from answers of any status, and unreadable values name none")
{
    for (const auto& row : limitHeaderCases) {
        for (const int status : { 200, 500, 503 }) {
            CAPTURE(row.name);
            const auto reply = PlatformHeaders().readReply(status, row.headers);
            CHECK(reply.rateLimit == row.perSecond);
            CHECK(reply.hasUnreadableRateLimit == row.isUnreadable);
        }
    }
}

TEST_CASE("the load of a server is decoded, and ignored when it is incomplete")
{
    const auto reply = PlatformHeaders().readReply(200, { { "X-Instance-Load", "3,1,8,250" } });
    REQUIRE(reply.load.has_value());
    CHECK(reply.load->running == 3);
    CHECK(reply.load->waiting == 1);
    CHECK(reply.load->slots == 8);
    CHECK(reply.load->slownessPercent == 250);
    CHECK_FALSE(PlatformHeaders().readReply(200, { { "X-Instance-Load", "3" } }).load.has_value());
}

TEST_CASE("the load of a server is not negative and limited")
{
    const auto reply = PlatformHeaders().readReply(200, { { "X-Instance-Load", "-3,9223372036854775807,9223372036854775807,9223372036854775807" } });
    REQUIRE(reply.load.has_value());
    CHECK(reply.load->running == 0);
    CHECK(reply.load->waiting == 1'000'000'000);
    CHECK(reply.load->slots == 1'000'000'000);
    CHECK(reply.load->slownessPercent == 1'000'000'000);
}

} // namespace
