#include "hopheaders.h"

#include <doctest/doctest.h>

using namespace Primrosefork;

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

} // namespace
