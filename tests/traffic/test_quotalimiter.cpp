#include "quotalimiter.h"

#include <doctest/doctest.h>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = QuotaLimiter::TimePoint;

constexpr TimePoint start {};
constexpr QuotaTolerance tolerance { 8s, 0.1, 110'000 };

auto makeWorkspace(std::int64_t perSecond, std::int64_t burst) -> TrafficWorkspace
{
    TrafficWorkspace workspace;
    workspace.name = "salon";
    workspace.quota = { static_cast<double>(perSecond), static_cast<double>(burst), true, 200 };
    return workspace;
}

TEST_CASE("a workspace without a quota is never refused")
{
    QuotaLimiter limiter(tolerance, start);
    const auto workspace = makeWorkspace(0, 0);
    CHECK_FALSE(limiter.request(workspace, 1e9, start).has_value());
}

TEST_CASE("a node that has just started grants nothing until its bucket has filled")
{
    QuotaLimiter limiter(tolerance, start);
    const auto workspace = makeWorkspace(10'000, 10'000);
    CHECK(limiter.request(workspace, 6'000, start).has_value());
    CHECK_FALSE(limiter.request(workspace, 5'000, start + 1s).has_value());
}

TEST_CASE("a refused request is granted after the returned wait")
{
    QuotaLimiter limiter(tolerance, start);
    const auto workspace = makeWorkspace(1'000, 1'000);
    const auto wait = limiter.request(workspace, 4'000, start + 1s);
    REQUIRE(wait.has_value());
    CHECK_FALSE(limiter.request(workspace, 4'000, start + 1s + *wait).has_value());
}

struct WindowCase {
    const char* name;
    std::size_t nodes;
    double units; ///< Units of each request.
};

const WindowCase windowCases[] = {
    { "one node, small requests", 1, 500 },
    { "eight nodes, small requests", 8, 500 },
    { "eight nodes, requests of mean size", 8, 9'000 },
};

/** Requests \a units from every node until they are refused, in each step, and returns the most units granted in any window. */
auto peakInWindow(std::size_t nodes, double units, const TrafficWorkspace& workspace) -> double
{
    std::vector<QuotaLimiter> limiters;
    for (std::size_t node = 0; node < nodes; ++node) {
        limiters.emplace_back(tolerance, start, node + 1);
        limiters.back().setNodeCount(nodes);
    }
    std::vector<double> granted;
    constexpr auto step = 10ms;
    for (auto now = start + 10s; now < start + 40s; now += step) {
        double sum = 0;
        for (auto& limiter : limiters) {
            while (!limiter.request(workspace, units, now))
                sum += units;
        }
        granted.push_back(sum);
    }
    double peak = 0;
    const auto length = static_cast<std::size_t>(tolerance.window / step);
    for (std::size_t first = 0; first + length <= granted.size(); ++first) {
        double sum = 0;
        for (std::size_t index = first; index < first + length; ++index)
            sum += granted[index];
        peak = std::max(peak, sum);
    }
    return peak;
}

TEST_CASE("nodes that cannot reach each other stay within the quota together")
{
    const auto workspace = makeWorkspace(180'000, 180'000);
    // Units that the platform's bounds allow in a window: (rate x window + burst) x (1 + excess) + slack.
    const auto allowed = (180'000.0 * 8 + 180'000.0) * 1.1 + 110'000;
    for (const auto& row : windowCases) {
        CAPTURE(row.name);
        const auto peak = peakInWindow(row.nodes, row.units, workspace);
        CHECK(peak <= allowed);
        CHECK(peak >= 180'000.0 * 8); // The workspace gets at least its quota.
    }
}

TEST_CASE("many nodes whose shares are smaller than a request stay within the quota together")
{
    const auto workspace = makeWorkspace(29'000, 29'000);
    const auto allowed = (29'000.0 * 8 + 29'000.0) * 1.1 + 110'000;
    for (const std::size_t nodes : { 69U, 90U, 340U }) {
        CAPTURE(nodes);
        const auto peak = peakInWindow(nodes, 9'000, workspace);
        CHECK(peak <= allowed);
        CHECK(peak >= 29'000.0 * 8 / 2);
    }
}

TEST_CASE("recent use is summed by the age of the grants")
{
    QuotaLimiter limiter(tolerance, start);
    limiter.recordGranted("salon", 100, start);
    limiter.recordGranted("salon", 20, start + 6s);
    limiter.recordGranted("salon", 3, start + 7'500ms);
    const auto use = limiter.recentUse("salon", start + 8s);
    CHECK(use.inShortSpan == doctest::Approx(3));
    CHECK(use.inMiddleSpan == doctest::Approx(23));
    CHECK(use.inWindow == doctest::Approx(123));
    CHECK(limiter.ownGrants().empty());
}

TEST_CASE("a share from the leader applies until it expires")
{
    QuotaLimiter limiter(tolerance, start);
    limiter.setNodeCount(10);
    limiter.setShare("salon", 0.9, start + 20s);
    const auto workspace = makeWorkspace(10'000, 10'000);
    const auto grantsIn = [&](TimePoint from) {
        int grants = 0;
        for (auto now = from; now < from + 10s; now += 10ms)
            grants += limiter.request(workspace, 1'000, now) ? 0 : 1;
        return grants;
    };
    static_cast<void>(grantsIn(start));
    CHECK(grantsIn(start + 10s) >= 85); // Nine tenths of ten requests per second over ten seconds, less a margin.
    static_cast<void>(grantsIn(start + 20s));
    CHECK(grantsIn(start + 30s) <= 15); // The equal share of ten nodes, a tenth, with a margin.
}

TEST_CASE("demand counts all requested units and is reset by each read")
{
    QuotaLimiter limiter(tolerance, start);
    const auto workspace = makeWorkspace(1'000, 1'000);
    static_cast<void>(limiter.request(workspace, 300, start + 5s));
    static_cast<void>(limiter.request(workspace, 1e6, start + 5s));
    const auto demand = limiter.takeDemand();
    REQUIRE(demand.contains("salon"));
    CHECK(demand.at("salon").requested == doctest::Approx(1'000'300));
    CHECK(limiter.takeDemand().empty());
}

} // namespace
