#include "adaptivelimit.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

struct LimitCase {
    const char* name;
    std::size_t serverPlaces; ///< Requests that the server works on at once; others wait there.
    std::size_t least;
    std::size_t most;
};

const LimitCase limitCases[] = {
    { "server with few places", 8, 4, 24 },
    { "server with many places", 100, 60, 220 },
    { "server that takes all", 100'000, 1000, 1000 },
};

TEST_CASE("the limit settles near what the server takes")
{
    constexpr std::size_t least = 4;
    constexpr std::size_t most = 1000;
    for (const auto& row : limitCases) {
        CAPTURE(std::string(row.name));
        AdaptiveLimit limit(least, most);
        constexpr int requests = 20'000;
        std::size_t settled = 0;
        for (int request = 0; request < requests; ++request) {
            const auto running = limit.value();
            // Within a round, so that the halved value at its start is passed over.
            if (request >= requests * 9 / 10)
                settled = std::max(settled, running);
            const auto rounds = 1 + (running > row.serverPlaces ? 10 * (running - row.serverPlaces) / row.serverPlaces : 0);
            limit.observe(10ms * rounds, running);
        }
        CHECK(settled >= row.least);
        CHECK(settled <= row.most);
    }
}

TEST_CASE("an idle server leaves the limit as it is")
{
    AdaptiveLimit limit(4, 1000);
    const auto before = limit.value();
    for (int request = 0; request < 1000; ++request)
        limit.observe(10ms, 1);
    CHECK(limit.value() == before);
}

} // namespace
