#include "answertimes.h"

#include <doctest/doctest.h>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

struct EstimateCase {
    const char* name;
    std::vector<std::pair<double, std::chrono::milliseconds>> answers; ///< Size and time of each answer before.
    double size;
    std::chrono::milliseconds least; ///< Range of the expected time.
    std::chrono::milliseconds most;
};

const EstimateCase estimateCases[] = {
    { "one answer", { { 1, 100ms } }, 1, 100ms, 300ms },
    { "answers that take the same time", { 40, { 1, 100ms } }, 1, 100ms, 101ms },
    { "answers that vary", { { 1, 100ms }, { 1, 300ms }, { 1, 100ms }, { 1, 300ms }, { 1, 100ms }, { 1, 300ms } }, 1, 300ms, 800ms },
    { "a size that is larger", { 40, { 10, 100ms } }, 100, 1s, 1'010ms },
    { "a size below one", { 40, { 0, 100ms } }, 0, 100ms, 101ms },
};

TEST_CASE("the time of an answer is expected to be one that few answers before exceeded")
{
    for (const auto& row : estimateCases) {
        CAPTURE(row.name);
        AnswerTimes times;
        CHECK_FALSE(times.expected("r", row.size).has_value());
        for (const auto& [size, time] : row.answers)
            times.answered("r", size, time);
        const auto expected = times.expected("r", row.size);
        REQUIRE(expected.has_value());
        CHECK(*expected >= row.least);
        CHECK(*expected <= row.most);
        CHECK_FALSE(times.expected("other", row.size).has_value());
    }
}

} // namespace
