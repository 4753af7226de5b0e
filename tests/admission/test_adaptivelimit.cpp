#include "adaptivelimit.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

struct LimitCase {
    const char* name;
    std::size_t serverConcurrency; ///< Requests that the server runs at once; further ones wait at the server.
    std::size_t minLimit;
    std::size_t maxLimit;
};

const LimitCase limitCases[] = {
    { "server with low concurrency", 8, 4, 24 },
    { "server with high concurrency", 100, 60, 220 },
    { "server that never queues", 100'000, 1000, 1000 },
};

TEST_CASE("the limit converges to the concurrency of the server")
{
    constexpr std::size_t minLimit = 4;
    constexpr std::size_t maxLimit = 1000;
    for (const auto& row : limitCases) {
        CAPTURE(std::string(row.name));
        AdaptiveLimit limit(minLimit, maxLimit);
        constexpr int requests = 20'000;
        std::size_t settled = 0;
        for (int request = 0; request < requests; ++request) {
            const auto running = limit.value();
            // The maximum over the last tenth, so that the halved limit at the start of a round does not count.
            if (request >= requests * 9 / 10)
                settled = std::max(settled, running);
            const auto rounds = 1 + (running > row.serverConcurrency ? 10 * (running - row.serverConcurrency) / row.serverConcurrency : 0);
            limit.observe(10ms * rounds, running);
        }
        CHECK(settled >= row.minLimit);
        CHECK(settled <= row.maxLimit);
    }
}

TEST_CASE("the limit does not change while the server is idle")
{
    AdaptiveLimit limit(4, 1000);
    const auto before = limit.value();
    for (int request = 0; request < 1000; ++request)
        limit.observe(10ms, 1);
    CHECK(limit.value() == before);
}

} // namespace
