#include "fleetplanner.h"

#include <algorithm>
#include <cmath>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr double targetUse = 0.45; ///< Of an engine's reading rate: short bursts nearly double the load while a new engine starts.
constexpr double targetSlotUse = 0.4; ///< Of the slots of the engines.
constexpr double lossPart = 0.85; ///< Of the engines needed, that are to be left when the reclaimable ones of a zone are taken.
constexpr auto holdTime = 15s; ///< Since the need was last as high, before engines are given back.
constexpr auto refusedTime = 4s; ///< Before a zone without reclaimable engines is asked again.
constexpr auto shortTime = 10s; ///< After a refusal, in which no reclaimable engine is given back.
constexpr std::int64_t leastEngines = 2; ///< For any load, so that one may go at any moment.
constexpr std::chrono::milliseconds startMargin = 2s; ///< For a new engine to register after its start.

} // namespace

FleetPlanner::FleetPlanner(ScalingTerms scalingTerms)
    : terms(std::move(scalingTerms))
{
    for (const auto& [zone, price] : this->terms.zonePrices)
        this->zones[zone] = {};
}

auto FleetPlanner::reclaimableAccepted(const std::string& zone, std::int64_t count, TimePoint now) -> void
{
    auto& entry = this->zones[zone];
    entry.starting = count;
    entry.startingUntil = now + this->terms.bootTime + startMargin;
}

auto FleetPlanner::reclaimableRefused(const std::string& zone, TimePoint now) -> void
{
    auto& entry = this->zones[zone];
    entry.refusedUntil = now + refusedTime;
    entry.startingUntil = now;
}

auto FleetPlanner::restoreNeeded(std::int64_t needed, TimePoint now) -> void
{
    this->held = needed;
    this->heldUntil = now + holdTime;
}

auto FleetPlanner::neededEngines(const ServiceDemand& demand, std::int64_t slots, std::int64_t present) const -> std::int64_t
{
    // Before anything was measured, what is there is what is needed.
    if (demand.engineTokensPerSecond <= 0)
        return this->held > 0 ? this->held : std::max(leastEngines, present);
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
    std::stable_sort(zones.begin(), zones.end(), [this](const auto& first, const auto& second) {
        return this->terms.zonePrices.at(first) < this->terms.zonePrices.at(second);
    });
    return zones;
}

auto FleetPlanner::count(const std::vector<const BackendServer*>& servers) -> void
{
    for (auto& [name, zone] : this->zones)
        zone.reclaimable = zone.onDemand = 0;
    for (const auto* server : servers) {
        const auto zone = this->zones.find(server->zone);
        if (zone != this->zones.end() && server->state == InstanceState::Live)
            ++(server->isReclaimable ? zone->second.reclaimable : zone->second.onDemand);
    }
}

auto FleetPlanner::setOnDemand(std::int64_t needed, TimePoint now) -> void
{
    std::int64_t expected = 0;
    std::int64_t present = 0;
    std::int64_t largest = 0;
    for (const auto& [name, zone] : this->zones) {
        expected += zone.expected(now);
        present += zone.reclaimable;
        largest = std::max(largest, zone.expected(now));
    }
    const auto afterLoss = static_cast<std::int64_t>(std::ceil(lossPart * static_cast<double>(needed)));
    const auto least = std::max(needed - expected, afterLoss - (expected - largest));
    // What is there stays until the reclaimable engines that replace it are there too.
    const auto most = std::max(needed - present, least);
    this->placeOnDemand(std::max<std::int64_t>(0, least), std::max<std::int64_t>(0, most), now);
}

auto FleetPlanner::placeOnDemand(std::int64_t least, std::int64_t most, TimePoint now) -> void
{
    std::int64_t total = 0;
    for (auto& [name, zone] : this->zones) {
        if (zone.ordered < 0)
            zone.ordered = zone.onDemand;
        zone.ordered = std::max(zone.ordered, this->terms.least - zone.expected(now));
        total += zone.ordered;
    }
    auto byPrice = this->zonesByPrice();
    for (const auto& name : byPrice) {
        auto& zone = this->zones[name];
        const auto room = std::max<std::int64_t>(0, this->terms.most - zone.expected(now) - zone.ordered);
        const auto added = std::clamp<std::int64_t>(least - total, 0, room);
        zone.ordered += added;
        total += added;
    }
    std::reverse(byPrice.begin(), byPrice.end());
    for (const auto& name : byPrice) {
        auto& zone = this->zones[name];
        const auto kept = std::max<std::int64_t>(0, this->terms.least - zone.expected(now));
        const auto removed = std::clamp<std::int64_t>(total - most, 0, std::max<std::int64_t>(0, zone.ordered - kept));
        zone.ordered -= removed;
        total -= removed;
    }
}

auto FleetPlanner::plan(const ServiceDemand& demand, std::int64_t slots, const std::vector<const BackendServer*>& servers, TimePoint now)
    -> std::vector<FleetTarget>
{
    if (this->zones.empty())
        return {};
    this->count(servers);
    std::int64_t present = 0;
    for (const auto& [name, zone] : this->zones)
        present += zone.reclaimable + zone.onDemand;
    const auto needed = this->damped(this->neededEngines(demand, slots, present), now);
    const auto isDear = this->terms.reclaimablePrice >= 1;
    const auto otherZones = std::max<std::int64_t>(1, static_cast<std::int64_t>(this->zones.size()) - 1);
    const auto each = isDear ? 0 : std::min(this->terms.most, (needed + otherZones - 1) / otherZones);
    this->setOnDemand(needed, now);

    // While a zone has none to give, what is left elsewhere can't be had again either.
    const auto isShort = std::any_of(this->zones.begin(), this->zones.end(), [now](const auto& entry) { return now < entry.second.refusedUntil + shortTime; });
    std::vector<FleetTarget> targets;
    for (const auto& [name, zone] : this->zones) {
        const auto wanted = std::min(each, this->terms.most - zone.ordered);
        if (now >= zone.refusedUntil)
            targets.push_back({ name, true, isShort ? std::max(wanted, zone.reclaimable) : wanted });
        targets.push_back({ name, false, zone.ordered });
    }
    return targets;
}

} // namespace Primrosefork
