#include "fleetplanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr double targetUtilization = 0.45; ///< Planned part of an engine's prefill rate; short bursts nearly double the load while a new engine starts.
constexpr double targetSlotUtilization = 0.4; ///< Planned part of an engine's slots.
constexpr double shareAfterZoneLoss = 0.85; ///< Part of the needed engines that has to remain when all reclaimable engines of a zone are reclaimed.
constexpr auto stabilizationTime = 15s; ///< Time since the need was last as high, before the planned number of engines is lowered.
constexpr auto refusalBackoff = 4s; ///< Time after a refusal before reclaimable engines are ordered in that zone again.
constexpr auto shortageTime = 10s; ///< Time after that back-off in which, as during it, no reclaimable engine of any zone is released.
constexpr std::int64_t minTotalEngines = 2; ///< Engines of a service at any load, so that one may be lost at any moment.
constexpr std::chrono::milliseconds registrationMargin = 2s; ///< Time for a new engine to register after it has booted.

/** Returns how many engines are to be added because limited ones take less than their part of the requests of \a engines without a limit. */
auto enginesMissingByLimits(const ServiceDemand& demand, double engines) -> double
{
    const auto perEngine = demand.requestsPerSecond / engines;
    double missing = 0;
    for (const auto limit : demand.engineLimits)
        missing += perEngine > 0 ? std::max(0.0, 1 - limit / perEngine) : 0;
    return missing;
}

} // namespace

FleetPlanner::FleetPlanner(ScalingSettings scalingSettings)
    : settings(std::move(scalingSettings))
{
    for (const auto& [zone, price] : this->settings.zonePrices)
        this->zones[zone] = {};
}

auto FleetPlanner::reclaimableAccepted(const std::string& zone, std::int64_t count, TimePoint now) -> void
{
    auto& entry = this->zones[zone];
    entry.reclaimableOrdered = count;
    entry.startingUntil = now + this->settings.bootTime + registrationMargin;
}

auto FleetPlanner::reclaimableRefused(const std::string& zone, TimePoint now) -> void
{
    auto& entry = this->zones[zone];
    entry.refusedUntil = now + refusalBackoff;
    entry.startingUntil = now;
}

auto FleetPlanner::restoreNeeded(std::int64_t needed, TimePoint now) -> void
{
    this->stableNeed = needed;
    this->stableUntil = now + stabilizationTime;
}

auto FleetPlanner::neededEngines(const ServiceDemand& demand, std::int64_t slots, std::int64_t present) const -> std::int64_t
{
    // While the prefill rate is not known, the last known need is kept, or else the present number of engines.
    if (demand.engineTokensPerSecond <= 0)
        return this->stableNeed > 0 ? this->stableNeed : std::max(minTotalEngines, present);
    const auto enginesForPrefill = demand.prefillTokensPerSecond / (demand.engineTokensPerSecond * targetUtilization);
    const auto enginesForSlots = static_cast<double>(demand.openRequests) / (static_cast<double>(std::max<std::int64_t>(1, slots)) * targetSlotUtilization);
    const auto engines = std::max<double>(minTotalEngines, std::ceil(std::max(enginesForPrefill, enginesForSlots)));
    return static_cast<std::int64_t>(engines + std::ceil(enginesMissingByLimits(demand, engines)));
}

auto FleetPlanner::stabilized(std::int64_t needed, TimePoint now) -> std::int64_t
{
    if (needed >= this->stableNeed || now >= this->stableUntil) {
        this->stableNeed = needed;
        this->stableUntil = now + stabilizationTime;
    }
    return this->stableNeed;
}

auto FleetPlanner::zonesByPrice() const -> std::vector<std::string>
{
    std::vector<std::string> zones;
    for (const auto& [zone, price] : this->settings.zonePrices)
        zones.push_back(zone);
    const auto rank = [this](const std::string& zone) {
        const auto shortage = this->zoneShortages.find(zone);
        return std::pair(this->settings.zonePrices.at(zone), shortage == this->zoneShortages.end() ? 0 : -shortage->second);
    };
    std::stable_sort(zones.begin(), zones.end(), [&rank](const auto& first, const auto& second) { return rank(first) < rank(second); });
    return zones;
}

auto FleetPlanner::countEngines(const std::vector<const BackendServer*>& servers) -> void
{
    for (auto& [name, zone] : this->zones)
        zone.reclaimable = zone.onDemand = 0;
    for (const auto* server : servers) {
        const auto zone = this->zones.find(server->zone);
        if (zone != this->zones.end() && server->state == InstanceState::Live)
            ++(server->isReclaimable ? zone->second.reclaimable : zone->second.onDemand);
    }
}

auto FleetPlanner::updateOnDemand(std::int64_t needed, TimePoint now) -> void
{
    std::int64_t expected = 0;
    std::int64_t present = 0;
    std::int64_t largestZone = 0;
    for (const auto& [name, zone] : this->zones) {
        expected += zone.expected(now);
        present += zone.reclaimable;
        largestZone = std::max(largestZone, zone.expected(now));
    }
    const auto afterLoss = static_cast<std::int64_t>(std::ceil(shareAfterZoneLoss * static_cast<double>(needed)));
    const auto minimum = std::max(needed - expected, afterLoss - (expected - largestZone));
    // On-demand engines are kept until the reclaimable engines that replace them are live.
    const auto maximum = std::max(needed - present, minimum);
    this->placeOnDemand(std::max<std::int64_t>(0, minimum), std::max<std::int64_t>(0, maximum), now);
}

auto FleetPlanner::placeOnDemand(std::int64_t minimum, std::int64_t maximum, TimePoint now) -> void
{
    std::int64_t total = 0;
    for (auto& [name, zone] : this->zones) {
        if (zone.onDemandTarget < 0)
            zone.onDemandTarget = zone.onDemand;
        zone.onDemandTarget = std::max(zone.onDemandTarget, this->settings.minEngines - zone.expected(now));
        total += zone.onDemandTarget;
    }
    auto byPrice = this->zonesByPrice();
    for (const auto& name : byPrice) {
        auto& zone = this->zones[name];
        const auto room = std::max<std::int64_t>(0, this->settings.maxEngines - zone.expected(now) - zone.onDemandTarget);
        const auto added = std::clamp<std::int64_t>(minimum - total, 0, room);
        zone.onDemandTarget += added;
        total += added;
    }
    std::reverse(byPrice.begin(), byPrice.end());
    for (const auto& name : byPrice) {
        auto& zone = this->zones[name];
        const auto kept = std::max<std::int64_t>(0, this->settings.minEngines - zone.expected(now));
        const auto removed = std::clamp<std::int64_t>(total - maximum, 0, std::max<std::int64_t>(0, zone.onDemandTarget - kept));
        zone.onDemandTarget -= removed;
        total -= removed;
    }
}

auto FleetPlanner::plan(const ServiceDemand& demand, std::int64_t slots, const std::vector<const BackendServer*>& servers, TimePoint now)
    -> std::vector<FleetTarget>
{
    if (this->zones.empty())
        return {};
    this->countEngines(servers);
    std::int64_t present = 0;
    for (const auto& [name, zone] : this->zones)
        present += zone.reclaimable + zone.onDemand;
    const auto needed = this->stabilized(this->neededEngines(demand, slots, present), now);
    const auto isReclaimableTooCostly = this->settings.reclaimablePrice >= 1;
    const auto otherZones = std::max<std::int64_t>(1, static_cast<std::int64_t>(this->zones.size()) - 1);
    const auto perZone = isReclaimableTooCostly ? 0 : std::min(this->settings.maxEngines, (needed + otherZones - 1) / otherZones);
    this->updateOnDemand(needed, now);

    // While a zone has no reclaimable engines available, those released in other zones might not be available again either.
    const auto hasShortage = std::any_of(this->zones.begin(), this->zones.end(), [now](const auto& entry) { return now < entry.second.refusedUntil + shortageTime; });
    std::vector<FleetTarget> targets;
    for (const auto& [name, zone] : this->zones) {
        const auto wanted = std::min(perZone, this->settings.maxEngines - zone.onDemandTarget);
        if (now >= zone.refusedUntil)
            targets.push_back({ name, true, hasShortage ? std::max(wanted, zone.reclaimable) : wanted });
        targets.push_back({ name, false, zone.onDemandTarget });
    }
    return targets;
}

} // namespace Primrosefork
