#include "refusaldelay.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <optional>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

struct DelayCase {
    const char* name;
    std::optional<std::chrono::milliseconds> available;
    std::chrono::milliseconds remaining;
    std::chrono::milliseconds earliest; ///< No caller returns before.
    std::chrono::milliseconds latest; ///< No caller returns after.
    std::chrono::milliseconds spread; ///< The returns of 200 callers lie at least so far apart.
};

const DelayCase delayCases[] = {
    { "room in a second", 1s, 30s, 1s, 1'500ms, 450ms },
    { "room soon", 20ms, 30s, 20ms, 120ms, 90ms },
    { "room in long, and time for it", 6s, 30s, 6s, 7s, 900ms },
    { "the rate is not known", {}, 30s, 300ms, 450ms, 135ms },
    { "longer than callers wait", 10s, 6s, 1s, 2s, 900ms },
    { "about as long as callers wait", 950ms, 3s, 525ms, 1s, 400ms },
    { "hardly any time left", 1s, 30ms, 5ms, 10ms, 4ms },
    { "no time left", 1s, 0ms, 1ms, 1ms, 0ms },
    { "the deadline has passed", 1s, -50ms, 1ms, 1ms, 0ms },
};

// Guards against callers that are refused together and return together, and against delays that callers do not honour.
TEST_CASE("callers that are refused together return apart, and in the time that they honour")
{
    for (const auto& row : delayCases) {
        CAPTURE(row.name);
        RefusalDelay delays(7);
        std::vector<std::chrono::milliseconds> returns(200);
        std::generate(returns.begin(), returns.end(), [&delays, &row] { return delays.next(row.available, row.remaining); });
        const auto [first, last] = std::minmax_element(returns.begin(), returns.end());
        CHECK(*first >= row.earliest);
        CHECK(*last <= row.latest);
        CHECK(*last - *first >= row.spread);
        CHECK(*first > 0ms);
    }
}

} // namespace
