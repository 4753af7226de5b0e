#include "quotaledger.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = QuotaLedger::TimePoint;

constexpr TimePoint start {};
constexpr QuotaTolerance tolerance { 8s, 0.1, 110'000 };
constexpr auto step = 10ms;

auto makeWorkspace(std::int64_t perSecond, std::int64_t burst) -> TrafficWorkspace
{
    TrafficWorkspace workspace;
    workspace.name = "salon";
    workspace.quota = { static_cast<double>(perSecond), static_cast<double>(burst), true, 200 };
    return workspace;
}

/** Requests \a units in each step until they are refused, for \a time from \a from on, and returns the units granted in each step. */
auto grantsFrom(QuotaLedger& ledger, const TrafficWorkspace& workspace, double units, TimePoint from, std::chrono::milliseconds time) -> std::vector<double>
{
    std::vector<double> grants;
    for (auto now = from; now < from + time; now += step) {
        double sum = 0;
        while (!ledger.request(workspace, units, now))
            sum += units;
        grants.push_back(sum);
    }
    return grants;
}

auto peakInWindow(const std::vector<double>& grants) -> double
{
    double peak = 0;
    const auto length = static_cast<std::size_t>(tolerance.window / step);
    for (std::size_t first = 0; first + length <= grants.size(); ++first) {
        double sum = 0;
        for (std::size_t index = first; index < first + length; ++index)
            sum += grants[index];
        peak = std::max(peak, sum);
    }
    return peak;
}

auto recentUseOf(const std::vector<double>& grants) -> RecentUse
{
    const auto grantedInLast = [&grants](std::chrono::milliseconds span) {
        double sum = 0;
        const auto count = std::min(grants.size(), static_cast<std::size_t>(span / step));
        for (auto index = grants.size() - count; index < grants.size(); ++index)
            sum += grants[index];
        return sum;
    };
    return { grantedInLast(RecentUse::shortSpan), grantedInLast(RecentUse::middleSpan), grantedInLast(tolerance.window) };
}

struct WindowCase {
    const char* name;
    std::int64_t perSecond;
    double units;
};

const WindowCase windowCases[] = {
    { "small requests", 29'000, 200 },
    { "requests of a third of a second's quota", 29'000, 9'000 },
    { "requests of more than a second's quota", 29'000, 45'000 },
    { "a large quota", 180'000, 9'000 },
};

TEST_CASE("an account grants at least the quota and stays within the tolerance")
{
    for (const auto& row : windowCases) {
        CAPTURE(row.name);
        QuotaLedger ledger(tolerance);
        const auto workspace = makeWorkspace(row.perSecond, row.perSecond);
        ledger.open(workspace, start);
        ledger.applyRecentUse(workspace, {}, 1, start);
        const auto rate = static_cast<double>(row.perSecond);
        const auto peak = peakInWindow(grantsFrom(ledger, workspace, row.units, start, 40s));
        CHECK(peak <= (rate * 8 + rate) * 1.1 + 110'000);
        CHECK(peak >= rate * 8);
    }
}

TEST_CASE("grants before and after a change of leader stay within the tolerance together")
{
    for (const auto& row : windowCases) {
        CAPTURE(row.name);
        const auto workspace = makeWorkspace(row.perSecond, row.perSecond);
        QuotaLedger before(tolerance);
        before.open(workspace, start);
        before.applyRecentUse(workspace, {}, 1, start);
        auto grants = grantsFrom(before, workspace, row.units, start, 9s);

        QuotaLedger after(tolerance);
        after.open(workspace, start + 9s);
        after.applyRecentUse(workspace, recentUseOf(grants), 1, start + 9s);
        const auto later = grantsFrom(after, workspace, row.units, start + 9s, 20s);
        grants.insert(grants.end(), later.begin(), later.end());
        const auto rate = static_cast<double>(row.perSecond);
        CHECK(peakInWindow(grants) <= (rate * 8 + rate) * 1.1 + 110'000);
    }
}

TEST_CASE("grants stay within the tolerance when a new leader learns of the recent use after its first grants")
{
    for (const auto& row : windowCases) {
        CAPTURE(row.name);
        const auto workspace = makeWorkspace(row.perSecond, row.perSecond);
        QuotaLedger before(tolerance);
        before.open(workspace, start);
        before.applyRecentUse(workspace, {}, 1, start);
        auto grants = grantsFrom(before, workspace, row.units, start, 9s);

        QuotaLedger after(tolerance);
        after.open(workspace, start + 9s);
        const auto first = grantsFrom(after, workspace, row.units, start + 9s, 1'200ms);
        grants.insert(grants.end(), first.begin(), first.end());
        after.applyRecentUse(workspace, recentUseOf(grants), 1, start + 10'200ms);
        const auto later = grantsFrom(after, workspace, row.units, start + 10'200ms, 20s);
        grants.insert(grants.end(), later.begin(), later.end());
        const auto rate = static_cast<double>(row.perSecond);
        CHECK(peakInWindow(grants) <= (rate * 8 + rate) * 1.1 + 110'000);
    }
}

TEST_CASE("an account starts empty while the recent use is not known")
{
    QuotaLedger ledger(tolerance);
    const auto workspace = makeWorkspace(29'000, 29'000);
    ledger.open(workspace, start);
    CHECK(ledger.request(workspace, 9'000, start).has_value());
    CHECK_FALSE(ledger.request(workspace, 9'000, start + 500ms).has_value());
}

TEST_CASE("nodes without a report are assumed to have granted as much as the others")
{
    QuotaLedger ledger(tolerance);
    const auto workspace = makeWorkspace(29'000, 29'000);
    const RecentUse use { 40'000, 60'000, 60'000 };
    ledger.open(workspace, start);
    ledger.applyRecentUse(workspace, use, 1, start);
    CHECK_FALSE(ledger.request(workspace, 50'000, start).has_value());
    ledger.open(workspace, start);
    ledger.applyRecentUse(workspace, use, 0.5, start);
    CHECK(ledger.request(workspace, 50'000, start).has_value());
}

TEST_CASE("units that nodes granted on their own are debited")
{
    QuotaLedger ledger(tolerance);
    const auto workspace = makeWorkspace(29'000, 29'000);
    ledger.open(workspace, start);
    ledger.applyRecentUse(workspace, {}, 1, start);
    ledger.debit("salon", 200'000);
    CHECK(ledger.request(workspace, 9'000, start + 1s).has_value());
}

TEST_CASE("accounts are refilled at the fraction of the nodes that request units")
{
    QuotaLedger ledger(tolerance);
    const auto workspace = makeWorkspace(10'000, 10'000);
    ledger.open(workspace, start);
    ledger.setServedFraction(0.25, start);
    double sum = 0;
    for (const auto grant : grantsFrom(ledger, workspace, 500, start, 10s))
        sum += grant;
    CHECK(sum == doctest::Approx(25'000).epsilon(0.05));
}

TEST_CASE("a refused request is granted after the returned wait")
{
    QuotaLedger ledger(tolerance);
    const auto workspace = makeWorkspace(1'000, 1'000);
    ledger.open(workspace, start);
    const auto wait = ledger.request(workspace, 4'000, start);
    REQUIRE(wait.has_value());
    CHECK_FALSE(ledger.request(workspace, 4'000, start + *wait).has_value());
}

} // namespace
