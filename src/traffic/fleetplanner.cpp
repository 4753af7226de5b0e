#include "fleetplanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr double targetUse = 0.45; ///< Of an engine's reading rate: short bursts nearly double the load while a new engine starts.
constexpr double targetSlotUse = 0.4; ///< Of the slots of the engines.
constexpr auto holdTime = 15s; ///< Since the need was last as high, before engines are given back.
constexpr auto refusedTime = 4s; ///< Before a zone without reclaimable engines is asked again.
constexpr std::int64_t leastEngines = 2; ///< For any load, so that one may go at any moment.
constexpr std::chrono::milliseconds startMargin = 2s; ///< For a new engine to register after its start.

} // namespace

FleetPlanner::FleetPlanner(ScalingTerms terms)
    : terms(std::move(terms))
{
}

auto FleetPlanner::reclaimableRefused(const std::string& zone, TimePoint now) -> void
{
    this->refusedUntil[zone] = now + refusedTime;
    this->shortUntil = now;
}

auto FleetPlanner::neededEngines(const ServiceDemand& demand, std::int64_t slots, std::int64_t present) const -> std::int64_t
{
    if (demand.engineTokensPerSecond <= 0)
        return std::max(leastEngines, present);
    const auto reading = demand.readTokensPerSecond / (demand.engineTokensPerSecond * targetUse);
    const auto running = static_cast<double>(demand.openRequests) / (static_cast<double>(std::max<std::int64_t>(1, slots)) * targetSlotUse);
    return std::max(leastEngines, static_cast<std::int64_t>(std::ceil(std::max(reading, running))));
}

auto FleetPlanner::damped(std::int64_t needed, TimePoint now) -> std::int64_t
{
    if (needed >= this->held || now >= this->heldUntil) {
        this->held = needed;
        this->heldUntil = now + holdTime;
    }
    return this->held;
}

auto FleetPlanner::zonesByPrice() const -> std::vector<std::string>
{
    std::vector<std::string> zones;
    for (const auto& [zone, price] : this->terms.zonePrices)
        zones.push_back(zone);
    std::stable_sort(zones.begin(), zones.end(), [this](const auto& first, const auto& second) { return this->terms.zonePrices.at(first) < this->terms.zonePrices.at(second); });
    return zones;
}

auto FleetPlanner::plan(const ServiceDemand& demand, std::int64_t slots, const std::vector<const BackendServer*>& servers, TimePoint now)
    -> std::vector<FleetTarget>
{
    std::map<std::string, ZoneCount> present;
    std::int64_t reclaimable = 0;
    std::int64_t onDemand = 0;
    for (const auto* server : servers) {
        if (server->state != InstanceState::Live)
            continue;
        auto& zone = present[server->zone];
        ++(server->isReclaimable ? zone.reclaimable : zone.onDemand);
        ++(server->isReclaimable ? reclaimable : onDemand);
    }
    const auto zones = this->zonesByPrice();
    if (zones.empty())
        return {};
    const auto needed = this->damped(this->neededEngines(demand, slots, reclaimable + onDemand), now);
    const auto isDear = this->terms.reclaimablePrice >= 1;
    const auto otherZones = std::max<std::int64_t>(1, static_cast<std::int64_t>(zones.size()) - 1);
    const auto each = isDear ? 0 : std::min(this->terms.most, (needed + otherZones - 1) / otherZones);
    if (!std::exchange(this->hasPlanned, true))
        this->shortUntil = now + this->terms.bootTime + startMargin;

    auto missing = std::max<std::int64_t>(0, needed - reclaimable);
    // Engines on demand stay until the reclaimable ones that replace them are there; new ones are not ordered while those start.
    if (now < this->shortUntil)
        missing = std::min(missing, onDemand);
    std::vector<FleetTarget> targets;
    for (const auto& zone : zones) {
        const auto refused = this->refusedUntil.find(zone);
        const auto isRefused = refused != this->refusedUntil.end() && now < refused->second;
        const auto spot = isRefused ? present[zone].reclaimable : each;
        const auto room = std::max<std::int64_t>(0, this->terms.most - std::max(spot, present[zone].reclaimable));
        const auto filled = std::min(room, std::max(missing, this->terms.least - spot));
        missing -= std::min(missing, filled);
        if (!isRefused)
            targets.push_back({ zone, true, spot });
        targets.push_back({ zone, false, std::max<std::int64_t>(0, filled) });
    }
    return targets;
}

} // namespace Primrosefork
