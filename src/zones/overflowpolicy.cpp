#include "overflowpolicy.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr auto stepPeriod = 1s; ///< Shortest time between two steps; nodes report every 500 ms and learn of a step within 500 ms.
constexpr auto drainTime = 4s; ///< Time between two raises while the demand already fits, so that the queue can drain.
constexpr double gainFactor = 2; ///< Gain over cost above which a share is raised; below the cost it is lowered.
constexpr double busyUtilization = 0.8; ///< Utilization above which a queue does not drain reliably.
constexpr double bytesPerToken = 4; ///< Usual length of a token as text.
constexpr double fixedBytes = 2'000; ///< Headers of a request and its answer.
constexpr double bytesPerMegabyte = 1e6;

} // namespace

auto transferCost(const ZoneCosts& costs, double bytes) -> Seconds
{
    return Seconds(costs.roundTrip) + std::chrono::duration<double, std::milli>(costs.transferPerMegabyte * bytes / bytesPerMegabyte);
}

auto estimatedBytes(double promptTokens, double answerTokens) -> double
{
    return fixedBytes + bytesPerToken * (promptTokens + answerTokens);
}

OverflowPolicy::OverflowPolicy(ZoneCosts zoneCosts)
    : costs(zoneCosts)
{
}

auto OverflowPolicy::adopt(const OverflowShare& share, TimePoint now) -> void
{
    auto& flow = this->flows[{ share.service, share.fromZone }];
    if (share.eighths <= flow.eighths)
        return;
    flow = { share.toZone, std::min(share.eighths, wholeOverflow), now, share.eighths };
}

auto OverflowPolicy::retain(const std::vector<std::string>& services) -> void
{
    std::erase_if(this->flows, [&services](const auto& entry) { return std::find(services.begin(), services.end(), entry.first.first) == services.end(); });
}

auto OverflowPolicy::shares() const -> std::vector<OverflowShare>
{
    std::vector<OverflowShare> list;
    for (const auto& [key, flow] : this->flows) {
        if (flow.eighths > 0)
            list.push_back({ key.first, key.second, flow.toZone, flow.eighths });
    }
    return list;
}

auto OverflowPolicy::costOf(const ServiceRates& rates) const -> Seconds
{
    auto cost = transferCost(this->costs, estimatedBytes(rates.readTokens + rates.cachedTokens, 0));
    if (rates.engineTokensPerSecond > 0)
        cost += Seconds(rates.cachedTokens / rates.engineTokensPerSecond);
    return cost;
}

auto OverflowPolicy::zonesOf(const std::vector<ZoneRoom>& rooms, const ServiceRates& rates) const -> Zones
{
    Zones zones;
    for (const auto& room : rooms) {
        auto& zone = zones[room.zone];
        zone.room = &room;
        const auto tokensPerSecond = static_cast<double>(room.servers) * rates.engineTokensPerSecond;
        const auto slots = static_cast<double>(room.slots);
        if (tokensPerSecond > 0) {
            zone.wait += Seconds(static_cast<double>(room.pendingPrefillTokens) / tokensPerSecond);
            if (rates.readTokens > 0)
                zone.capacity = tokensPerSecond / rates.readTokens;
        }
        if (slots > 0 && rates.callTime > 0s) {
            const auto ahead = static_cast<double>(std::max<std::int64_t>(0, room.openRequests + room.waitingRequests - room.slots));
            zone.wait += ahead / slots * rates.callTime;
            const auto bySlots = slots / rates.callTime.count();
            zone.capacity = zone.capacity > 0 ? std::min(zone.capacity, bySlots) : bySlots;
        }
    }
    for (const auto& room : rooms) {
        const auto flow = this->flows.find({ room.service, room.zone });
        auto left = 0.0;
        if (flow != this->flows.end() && zones.contains(flow->second.toZone)) {
            left = room.requestsPerSecond * flow->second.eighths / wholeOverflow;
            zones[flow->second.toZone].demand += left;
        }
        zones[room.zone].demand += room.requestsPerSecond - left;
    }
    return zones;
}

auto OverflowPolicy::targetFor(const Zone& here, const Zones& zones) const -> const Zone*
{
    const Zone* best = nullptr;
    for (const auto& [name, zone] : zones) {
        if (zone.room == here.room || zone.room->servers == 0)
            continue;
        const auto flow = this->flows.find({ zone.room->service, name });
        const auto isOverflowing = flow != this->flows.end() && flow->second.eighths > 0;
        if (isOverflowing)
            continue;
        if (!best || zone.wait < best->wait || (zone.wait == best->wait && zone.utilization() < best->utilization()))
            best = &zone;
    }
    return best;
}

auto OverflowPolicy::stepFlow(Flow& flow, const Zone& here, const Zone& there, Seconds cost, TimePoint now) -> int
{
    const auto gain = here.wait - there.wait;
    const auto moved = here.room->requestsPerSecond / wholeOverflow;
    const auto sinceStep = now - flow.steppedAt;
    if (sinceStep < stepPeriod)
        return 0;
    if (flow.eighths > 0 && gain < cost) {
        // An empty queue alone does not show that the demand fits: the share may be what keeps it empty.
        const auto isWorseThere = gain < -cost;
        const auto fitsHere = here.utilization(moved) < busyUtilization || here.utilization(moved) <= there.utilization(-moved);
        return isWorseThere || fitsHere ? -1 : 0;
    }
    if (flow.eighths >= wholeOverflow || gain <= gainFactor * cost)
        return 0;
    if (here.capacity > 0 && there.capacity > 0 && there.utilization(moved) > here.utilization(-moved))
        return 0;
    const auto isDraining = here.capacity > 0 && here.utilization() < busyUtilization;
    const auto wasRaised = flow.eighths > flow.previous;
    return isDraining && wasRaised && sinceStep < drainTime ? 0 : 1;
}

auto OverflowPolicy::update(const std::vector<ZoneRoom>& rooms, const ServiceRates& rates, TimePoint now) -> std::vector<OverflowStep>
{
    std::vector<OverflowStep> steps;
    const auto cost = this->costOf(rates);
    for (const auto& room : rooms) {
        // Computed again for each zone, so that two zones do not fill the same one at once.
        const auto zones = this->zonesOf(rooms, rates);
        const auto& here = zones.at(room.zone);
        // Without a server in the zone every node sends everything elsewhere by itself.
        if (room.servers == 0)
            continue;
        auto& flow = this->flows[{ room.service, room.zone }];
        const auto present = zones.find(flow.toZone);
        const auto* there = flow.eighths > 0 && present != zones.end() ? &present->second : this->targetFor(here, zones);
        const auto isTargetLost = flow.eighths > 0 && (present == zones.end() || present->second.room->servers == 0);
        if (!there && !isTargetLost)
            continue;
        const auto change = isTargetLost ? (now - flow.steppedAt < stepPeriod ? 0 : -1) : this->stepFlow(flow, here, *there, cost, now);
        if (change == 0)
            continue;
        if (flow.eighths == 0)
            flow.toZone = there->room->zone;
        const auto earlier = flow.eighths;
        flow = { flow.toZone, static_cast<std::uint8_t>(earlier + change), now, earlier };
        const auto moved = change * room.requestsPerSecond / wholeOverflow;
        steps.push_back({ { room.service, room.zone, flow.toZone, flow.eighths }, earlier, here.wait, there ? there->wait : Seconds(0), cost,
            here.utilization(-moved), there ? there->utilization(moved) : 0 });
    }
    return steps;
}

} // namespace Primrosefork
