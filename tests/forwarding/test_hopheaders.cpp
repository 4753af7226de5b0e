#include "hopheaders.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

struct HopCase {
    const char* name;
    HttpHeader header;
    bool isKept;
};

const HopCase hopCases[] = {
    { "end-to-end header", { "X-Anything", "1" }, true },
    { "Host header", { "Host", "a.example" }, true },
    { "Content-Length header", { "Content-Length", "5" }, false },
    { "Transfer-Encoding header in mixed case", { "transfer-ENCODING", "chunked" }, false },
    { "Connection header", { "Connection", "keep-alive, X-Listed" }, false },
    { "header listed in Connection", { "x-listed", "1" }, false },
    { "Upgrade header", { "Upgrade", "h2c" }, false },
};

TEST_CASE("hop-by-hop headers are removed and end-to-end headers are kept")
{
    HttpHeaders headers;
    for (const auto& row : hopCases)
        headers.add(row.header.name, row.header.value);
    const auto kept = withoutHopHeaders(headers);
    for (const auto& row : hopCases) {
        CAPTURE(row.name);
        CHECK(kept.get(row.header.name).has_value() == row.isKept);
    }
}

struct RetryAfterCase {
    std::chrono::milliseconds wait;
    const char* value;
};

const RetryAfterCase retryAfterCases[] = {
    { 0ms, "0.00" },
    { 1ms, "0.01" },
    { 50ms, "0.05" },
    { 300ms, "0.30" },
    { 1'990ms, "1.99" },
    { 1'991ms, "2.00" },
    { 61'234ms, "61.24" },
};

// A truncated value brought callers back before the time.
TEST_CASE("a Retry-After header is never earlier than the time it states")
{
    for (const auto& row : retryAfterCases) {
        CAPTURE(row.value);
        CHECK(retryAfterValue(row.wait) == row.value);
    }
}

} // namespace
