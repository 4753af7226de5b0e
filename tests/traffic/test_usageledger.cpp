#include "usageledger.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

struct WindowCase {
    const char* name;
    std::chrono::milliseconds at;
    UsageWindow window;
};

const WindowCase windowCases[] = {
    { "start of 1970", 0ms, 0 },
    { "end of the first window", 4'999ms, 0 },
    { "start of the second window", 5'000ms, 1 },
    { "start of 2026", 1'767'225'600'000ms, 353'445'120 },
};

TEST_CASE("windows are counted from 1970")
{
    const UsageLedger ledger(5s);
    for (const auto& row : windowCases) {
        CAPTURE(row.name);
        CHECK(ledger.windowAt(row.at) == row.window);
    }
    CHECK(ledger.endOf(1) == 10'000ms);
}

TEST_CASE("requests are counted in the window in which they began, and old windows are removed")
{
    UsageLedger ledger(5s);
    ledger.requestBegan("salon", 1s);
    ledger.requestBegan("salon", 2s);
    ledger.requestBegan("tours", 6s);
    CHECK(ledger.windows().at(0).at("salon") == 2);
    CHECK(ledger.windows().at(1).at("tours") == 1);
    for (int window = 2; window < 8; ++window)
        ledger.requestBegan("salon", window * 5s);
    CHECK_FALSE(ledger.windows().contains(0));
    CHECK(ledger.windows().contains(7));
}

} // namespace
