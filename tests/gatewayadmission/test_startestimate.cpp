#include "startestimate.h"

#include <doctest/doctest.h>
#include <optional>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using Time = std::optional<std::chrono::milliseconds>;

const StartEstimate::TimePoint start { 1h };

auto measured(int answers, std::chrono::milliseconds duration) -> StartEstimate
{
    StartEstimate estimate;
    for (int answer = 0; answer < answers; ++answer)
        estimate.answered(duration, start);
    return estimate;
}

struct SlotCase {
    const char* name;
    int answers; ///< Answers measured before, of 120 ms each.
    std::chrono::milliseconds age; ///< Time since the last of them.
    double requests;
    double slots;
    Time expected;
};

const SlotCase slotCases[] = {
    { "nothing measured", 0, 0ms, 100, 6, {} },
    { "too few answers", 7, 0ms, 100, 6, {} },
    { "the answers are too old", 20, 30s, 100, 6, {} },
    { "a free slot", 20, 0ms, 5, 6, 0ms },
    { "an idle server", 20, 0ms, 0, 6, 0ms },
    { "the first to wait", 20, 0ms, 6, 6, 20ms },
    { "double load of a plain service with 6 slots", 20, 0ms, 12, 6, 140ms },
    { "no slots known", 20, 0ms, 12, 0, {} },
    { "an absurd queue", 20, 0ms, 1e300, 6, 24h },
};

// Guards against requests that are refused on a guess, and against a wait that is misjudged for a plain service under double load.
TEST_CASE("the start at a plain server follows from the requests ahead, its slots and the measured time")
{
    for (const auto& row : slotCases) {
        CAPTURE(row.name);
        CHECK(measured(row.answers, 120ms).slotDelay(row.requests, row.slots, start + row.age) == row.expected);
    }
}

struct PrefillCase {
    const char* name;
    double tokens;
    double perSecond;
    Time expected;
};

const PrefillCase prefillCases[] = {
    { "unknown rate", 50'000, 0, {} },
    { "nothing to prefill", 0, 20'000, 0ms },
    { "a short prompt behind a burst of long ones", 200'500, 20'000, 10'025ms },
    { "a long prompt alone", 40'000, 20'000, 2s },
};

// Guards against a short prompt that is held to be quick behind a burst of long ones.
TEST_CASE("the start at an engine follows from the tokens ahead and its own")
{
    for (const auto& row : prefillCases) {
        CAPTURE(row.name);
        CHECK(StartEstimate::prefillTime(row.tokens, row.perSecond) == row.expected);
    }
}

// Guards against an estimate that one slow answer dominates, and one that never follows the service.
TEST_CASE("the times follow the latest answers")
{
    auto estimate = measured(20, 100ms);
    CHECK(estimate.queueDelay(30, 3, start) == Time(1s));
    CHECK(estimate.queueDelay(30, 0, start) == Time());
    estimate.answered(1s, start);
    CHECK(estimate.meanTime() == 190ms);
    CHECK(estimate.quickTime() == 100ms);
    for (int answer = 0; answer < 64; ++answer)
        estimate.answered(400ms, start);
    CHECK(estimate.quickTime() == 400ms);
    CHECK(estimate.meanTime() >= 398ms);
}

} // namespace
