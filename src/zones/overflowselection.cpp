#include "overflowselection.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto holdTime = 2s; ///< Time since the last answer for which its shares are kept.
constexpr auto stepDownPeriod = 1s; ///< Time after which each share is then lowered by one more step.

/** Returns a number from 0 to 7 that depends on all bits of \a hash and is not related to the home server of a prefix. */
auto eighthOf(std::uint64_t hash) -> std::uint8_t
{
    // Finalizer of MurmurHash3.
    hash = (hash ^ (hash >> 33U)) * 0xFF51AFD7ED558CCD;
    hash = (hash ^ (hash >> 33U)) * 0xC4CEB9FE1A85EC53;
    return static_cast<std::uint8_t>((hash ^ (hash >> 33U)) % wholeOverflow);
}

} // namespace

OverflowSelection::OverflowSelection(std::string nodeZone, std::string nodeRegion)
    : zone(std::move(nodeZone))
    , region(std::move(nodeRegion))
{
}

auto OverflowSelection::answerReceived(const std::vector<OverflowShare>& shares, TimePoint now) -> void
{
    this->byService.clear();
    this->answered = now;
    for (const auto& share : shares) {
        if (share.fromZone == this->zone && share.toZone != this->zone)
            this->byService[share.service] = share;
    }
}

auto OverflowSelection::serversChanged(const BackendServers& servers) -> void
{
    std::map<std::string, std::map<std::string, Zone>> services;
    for (const auto& [id, server] : servers) {
        if (server.state != InstanceState::Live)
            continue;
        auto& entry = services[server.pool][server.zone];
        entry.slots += std::max<std::int64_t>(1, server.slots);
        entry.isSameRegion = entry.isSameRegion || server.region == this->region;
    }
    this->nearestZones.clear();
    for (const auto& [service, zones] : services) {
        if (zones.contains(this->zone))
            continue;
        // The registry states no distances: a zone of the same region is nearer, and among these the largest one has the most room.
        const auto nearest = std::max_element(zones.begin(), zones.end(), [](const auto& first, const auto& second) {
            return std::pair(first.second.isSameRegion, first.second.slots) < std::pair(second.second.isSameRegion, second.second.slots);
        });
        this->nearestZones[service] = nearest->first;
    }
}

auto OverflowSelection::eighthsAt(const OverflowShare& share, TimePoint now) const -> std::uint8_t
{
    const auto age = now - this->answered;
    if (age <= holdTime)
        return share.eighths;
    const auto lost = 1 + (age - holdTime - 1ns) / std::chrono::nanoseconds(stepDownPeriod);
    return static_cast<std::uint8_t>(std::max<std::int64_t>(0, share.eighths - lost));
}

auto OverflowSelection::targetFor(const std::string& service, std::uint64_t prefix, std::uint64_t requestId, TimePoint now) const -> std::string_view
{
    const auto nearest = this->nearestZones.find(service);
    if (nearest != this->nearestZones.end())
        return nearest->second;
    const auto share = this->byService.find(service);
    if (share == this->byService.end())
        return {};
    return eighthOf(prefix != 0 ? prefix : requestId) < this->eighthsAt(share->second, now) ? std::string_view(share->second.toZone) : std::string_view();
}

auto OverflowSelection::shares(TimePoint now) const -> std::vector<OverflowShare>
{
    std::vector<OverflowShare> list;
    for (const auto& [service, share] : this->byService) {
        if (const auto eighths = this->eighthsAt(share, now); eighths > 0)
            list.push_back({ service, share.fromZone, share.toZone, eighths });
    }
    return list;
}

} // namespace Primrosefork
