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
    { "an end-to-end header", { "X-Anything", "1" }, true },
    { "the host", { "Host", "a.example" }, true },
    { "the length", { "Content-Length", "5" }, false },
    { "the framing in other case", { "transfer-ENCODING", "chunked" }, false },
    { "the connection itself", { "Connection", "keep-alive, X-Listed" }, false },
    { "one that the connection lists", { "x-listed", "1" }, false },
    { "an upgrade", { "Upgrade", "h2c" }, false },
};

TEST_CASE("headers of one connection are not passed on")
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
