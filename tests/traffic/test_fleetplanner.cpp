#include "fleetplanner.h"

#include <doctest/doctest.h>
#include <map>
#include <numeric>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = FleetPlanner::TimePoint;

constexpr TimePoint start = TimePoint {} + 1h;
constexpr std::int64_t slots = 64;

auto makeSettings() -> ScalingSettings
{
    ScalingSettings settings;
    settings.minEngines = 1;
    settings.maxEngines = 8;
    settings.bootTime = 4s;
    settings.reclaimablePrice = 0.22;
    settings.zonePrices = { { "a", 0.85 }, { "b", 1.2 }, { "c", 1.0 } };
    return settings;
}

/** Live engines by zone and kind. */
class Engines {
public:
    auto set(const std::string& zone, bool isReclaimable, int count) -> void
    {
        std::erase_if(this->all, [&](const BackendServer& server) { return server.zone == zone && server.isReclaimable == isReclaimable; });
        for (int index = 0; index < count; ++index) {
            BackendServer server;
            server.id = zone + (isReclaimable ? "r" : "d") + std::to_string(index);
            server.zone = zone;
            server.isReclaimable = isReclaimable;
            this->all.push_back(server);
        }
    }

    [[nodiscard]] auto pointers() const -> std::vector<const BackendServer*>
    {
        std::vector<const BackendServer*> result;
        for (const auto& server : this->all)
            result.push_back(&server);
        return result;
    }

private:
    std::vector<BackendServer> all;
};

auto total(const std::vector<FleetTarget>& targets, bool isReclaimable) -> std::int64_t
{
    return std::accumulate(targets.begin(), targets.end(), std::int64_t { 0 },
        [isReclaimable](std::int64_t sum, const FleetTarget& target) { return sum + (target.isReclaimable == isReclaimable ? target.count : 0); });
}

/** Returns a demand that takes the whole prefill rate of \a engines engines. */
auto demandOf(double engines) -> ServiceDemand
{
    return { engines * 10'000, 10'000, 0 };
}

TEST_CASE("on-demand engines are kept until the reclaimable engines that replace them are live")
{
    FleetPlanner planner(makeSettings());
    Engines engines;
    for (const auto* zone : { "a", "b", "c" })
        engines.set(zone, false, 4);
    const auto first = planner.plan(demandOf(3), slots, engines.pointers(), start);
    CHECK(total(first, true) >= 7); // Demand for the whole rate of 3 engines, at a target utilization of 0.45.
    CHECK(total(first, false) >= 7);
    for (const auto* zone : { "a", "b", "c" })
        engines.set(zone, true, 4);
    const auto second = planner.plan(demandOf(3), slots, engines.pointers(), start + 5s);
    CHECK(total(second, false) == 0);
}

struct LossCase {
    const char* name;
    int remaining; ///< Reclaimable engines that remain in each of the two other zones.
    std::int64_t minOnDemand;
};

const LossCase lossCases[] = {
    { "enough engines remain, also after another loss", 8, 0 },
    { "enough engines remain, but not after another loss", 4, 2 },
    { "too few engines remain", 2, 3 },
    { "no engines remain", 0, 7 },
};

TEST_CASE("on-demand engines are ordered for the capacity missing after the loss of a zone")
{
    for (const auto& row : lossCases) {
        CAPTURE(row.name);
        FleetPlanner planner(makeSettings());
        Engines engines;
        for (const auto* zone : { "a", "b", "c" })
            engines.set(zone, true, 4);
        static_cast<void>(planner.plan(demandOf(3), slots, engines.pointers(), start));
        engines.set("a", true, row.remaining);
        engines.set("b", true, row.remaining);
        engines.set("c", true, 0);
        planner.reclaimableRefused("c", start + 1s);
        const auto targets = planner.plan(demandOf(3), slots, engines.pointers(), start + 1s);
        CHECK(total(targets, false) >= row.minOnDemand);
    }
}

struct LimitedCase {
    const char* name;
    std::vector<double> limits; ///< Limits that engines name.
    std::int64_t needed;
};

const LimitedCase limitedCases[] = {
    { "no engine names a limit", {}, 7 },
    { "four engines take half of their part", { 5, 5, 5, 5 }, 9 },
    { "four engines take nothing", { 0, 0, 0, 0 }, 11 },
    { "four engines name more than their part", { 50, 50, 50, 50 }, 7 },
};

TEST_CASE("engines are ordered in place of what limited ones do not take")
{
    for (const auto& row : limitedCases) {
        CAPTURE(row.name);
        FleetPlanner planner(makeSettings());
        const Engines engines;
        auto demand = demandOf(3);
        demand.requestsPerSecond = 70; // Ten for each of the seven engines that are needed without limits.
        demand.engineLimits = row.limits;
        static_cast<void>(planner.plan(demand, slots, engines.pointers(), start));
        CHECK(planner.lastNeededEngines() == row.needed);
    }
}

TEST_CASE("refused orders do not move on-demand engines between zones")
{
    FleetPlanner planner(makeSettings());
    Engines engines;
    engines.set("a", true, 2);
    std::map<std::string, std::int64_t> ordered;
    for (int step = 0; step < 40; ++step) {
        const auto now = start + step * 500ms;
        for (const auto& target : planner.plan(demandOf(3), slots, engines.pointers(), now)) {
            if (target.isReclaimable) {
                if (target.zone != "a")
                    planner.reclaimableRefused(target.zone, now);
                continue;
            }
            if (step > 0)
                CHECK(target.count >= ordered[target.zone]);
            ordered[target.zone] = target.count;
        }
    }
}

TEST_CASE("reclaimable engines are not released while a zone has none available")
{
    FleetPlanner planner(makeSettings());
    Engines engines;
    for (const auto* zone : { "a", "b", "c" })
        engines.set(zone, true, 6);
    static_cast<void>(planner.plan(demandOf(5), slots, engines.pointers(), start));
    planner.reclaimableRefused("c", start + 19s);
    engines.set("c", true, 0);
    // The higher need is longer ago than the delay before engines are released.
    for (const auto& target : planner.plan(demandOf(1), slots, engines.pointers(), start + 20s)) {
        if (target.isReclaimable && target.zone != "c")
            CHECK(target.count == 6);
    }
}

TEST_CASE("each zone has at least the minimum and at most the maximum number of engines")
{
    FleetPlanner planner(makeSettings());
    const Engines none;
    for (int step = 0; step < 20; ++step) {
        std::map<std::string, std::int64_t> sums;
        for (const auto& target : planner.plan(demandOf(50), slots, none.pointers(), start + step * 500ms))
            sums[target.zone] += target.count;
        for (const auto& entry : sums) {
            CAPTURE(entry.first);
            CHECK(entry.second >= 1);
            CHECK(entry.second <= 8);
        }
    }
}

TEST_CASE("a new leader starts with the number of engines that the previous leader needed")
{
    FleetPlanner planner(makeSettings());
    planner.restoreNeeded(9, start);
    Engines engines;
    engines.set("a", false, 1);
    const auto targets = planner.plan({}, slots, engines.pointers(), start);
    CHECK(planner.lastNeededEngines() == 9);
    CHECK(total(targets, true) >= 9);
}

struct ShortageCase {
    const char* name;
    std::map<std::string, double> prices;
    std::map<std::string, double> shortages;
    const char* expected; ///< Zone that gets the on-demand engines.
};

const ShortageCase shortageCases[] = {
    { "not known", { { "a", 1 }, { "b", 1 }, { "c", 1 } }, {}, "a" },
    { "the same price", { { "a", 1 }, { "b", 1 }, { "c", 1 } }, { { "a", 0 }, { "b", 0.2 }, { "c", 0.7 } }, "c" },
    { "no zone lacks room", { { "a", 1 }, { "b", 1 }, { "c", 1 } }, { { "a", 0 }, { "b", 0 }, { "c", 0 } }, "a" },
    { "a lower price", { { "a", 1 }, { "b", 1 }, { "c", 1.1 } }, { { "a", 0 }, { "b", 0.2 }, { "c", 0.7 } }, "b" },
};

// Guards against engines that are ordered where there is room while requests of another zone have to leave it.
TEST_CASE("among zones with the same price on-demand engines are ordered where room is lacking")
{
    for (const auto& row : shortageCases) {
        CAPTURE(row.name);
        auto settings = makeSettings();
        settings.minEngines = 0;
        settings.zonePrices = row.prices;
        FleetPlanner planner(settings);
        planner.setShortages(row.shortages);
        for (const std::string zone : { "a", "b", "c" })
            planner.reclaimableRefused(zone, start);
        Engines engines;
        // The demand needs four engines, and no reclaimable ones are to be had.
        for (const auto& target : planner.plan({ 50'000, 30'000, 0 }, slots, engines.pointers(), start)) {
            if (!target.isReclaimable)
                CHECK((target.count > 0) == (target.zone == row.expected));
        }
    }
}

} // namespace
