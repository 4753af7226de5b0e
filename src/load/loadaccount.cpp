#include "loadaccount.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto nodeTimeout = 3s; ///< Time after its last report at which the load of a node no longer counts; six report periods.
constexpr auto gatherTime = 1'200ms; ///< Time in which each live node has reported to a new leader at least twice.
constexpr std::size_t percent = 100;
constexpr std::size_t neededPercent = 90; ///< Part of the expected nodes whose reports a new leader awaits.

} // namespace

auto LoadAccount::ServiceTotal::meanCost() const -> double
{
    return loadCost({ 0, this->load.openRequests, this->load.pendingPrefillTokens }) / static_cast<double>(std::max<std::int64_t>(1, this->servers));
}

auto LoadAccount::begin(TimePoint now) -> void
{
    this->nodes.clear();
    this->sums.clear();
    this->totals.clear();
    this->listed.clear();
    this->zoneRooms.clear();
    this->hasEnoughReports = false;
    this->begunAt = now;
}

auto LoadAccount::setServers(const BackendServers& registered) -> void
{
    this->servers.clear();
    this->serviceByKey.clear();
    for (const auto& [id, server] : registered) {
        if (server.state != InstanceState::Live)
            continue;
        this->servers.push_back({ loadKeyOf(id), server.pool, server.zone, server.slots });
        this->serviceByKey[this->servers.back().key] = server.pool;
    }
}

auto LoadAccount::addToSums(const Node& node, std::int64_t sign) -> void
{
    for (const auto& [key, load] : node.loads) {
        auto& sum = this->sums[key];
        sum.openRequests += sign * load.openRequests;
        sum.pendingPrefillTokens += sign * load.pendingPrefillTokens;
        if (sum.openRequests == 0 && sum.pendingPrefillTokens == 0)
            this->sums.erase(key);
    }
}

auto LoadAccount::reportReceived(const std::string& nodeId, NodeLoad load, TimePoint now) -> void
{
    auto& node = this->nodes[nodeId];
    this->addToSums(node, -1);
    node.reportedAt = now;
    node.zone = std::move(load.zone);
    node.demand = std::move(load.demand);
    node.loads.clear();
    load.servers.resize(std::min(load.servers.size(), maxReportedServers));
    for (const auto& entry : load.servers) {
        auto& own = node.loads[entry.server];
        own.openRequests += std::max<std::int64_t>(0, entry.openRequests);
        own.pendingPrefillTokens += std::max<std::int64_t>(0, entry.pendingPrefillTokens);
    }
    this->addToSums(node, 1);
}

auto LoadAccount::update(std::size_t expectedNodes, TimePoint now) -> void
{
    std::erase_if(this->nodes, [this, now](const auto& entry) {
        const auto isSilent = now - entry.second.reportedAt >= nodeTimeout;
        if (isSilent)
            this->addToSums(entry.second, -1);
        return isSilent;
    });
    const auto hasNodes = expectedNodes > 0 && this->nodes.size() * percent >= expectedNodes * neededPercent;
    this->hasEnoughReports = this->hasEnoughReports || hasNodes || now - this->begunAt >= gatherTime;
    if (!this->hasEnoughReports)
        return;
    this->totals.clear();
    for (const auto& server : this->servers) {
        const auto sum = this->sumAt(server.key);
        auto& total = this->totals[server.service];
        ++total.servers;
        total.load.openRequests += sum.openRequests;
        total.load.pendingPrefillTokens += sum.pendingPrefillTokens;
    }
    this->selectBusiest();
    this->updateRooms();
}

auto LoadAccount::selectBusiest() -> void
{
    std::vector<std::pair<double, std::uint32_t>> above;
    for (const auto& [key, load] : this->sums) {
        const auto service = this->serviceByKey.find(key);
        if (service == this->serviceByKey.end())
            continue;
        if (this->totals[service->second].servers > maxSharedServers)
            continue;
        const auto excess = loadCost({ key, load.openRequests, load.pendingPrefillTokens }) - this->totals[service->second].meanCost();
        if (excess > 0)
            above.emplace_back(excess, key);
    }
    const auto kept = std::min(above.size(), maxBusiestServers);
    std::partial_sort(above.begin(), above.begin() + static_cast<std::ptrdiff_t>(kept), above.end(), std::greater<>());
    this->listed.clear();
    for (std::size_t index = 0; index < kept; ++index)
        this->listed.push_back(above[index].second);
}

auto LoadAccount::updateRooms() -> void
{
    std::map<std::pair<std::string, std::string>, ZoneRoom> rooms;
    const auto roomOf = [&rooms](const std::string& service, const std::string& zone) -> ZoneRoom& {
        auto& room = rooms[{ service, zone }];
        room.service = service;
        room.zone = zone;
        return room;
    };
    for (const auto& server : this->servers) {
        auto& room = roomOf(server.service, server.zone);
        const auto sum = this->sumAt(server.key);
        ++room.servers;
        room.slots += server.slots;
        room.openRequests += sum.openRequests;
        room.pendingPrefillTokens += sum.pendingPrefillTokens;
    }
    for (const auto& [id, node] : this->nodes) {
        for (const auto& entry : node.demand) {
            auto& room = roomOf(entry.service, node.zone);
            room.waitingRequests += entry.waitingRequests;
            room.requestsPerSecond += entry.requestsPerSecond;
        }
    }
    this->zoneRooms.clear();
    for (auto& [key, room] : rooms) {
        const auto total = this->totals.find(room.service);
        if (total != this->totals.end() && total->second.servers > maxSharedServers)
            continue;
        if (total != this->totals.end())
            total->second.requestsPerSecond += room.requestsPerSecond;
        this->zoneRooms.push_back(std::move(room));
    }
}

auto LoadAccount::sumAt(std::uint32_t key) const -> BackendLoad
{
    const auto found = this->sums.find(key);
    return found == this->sums.end() ? BackendLoad { key, 0, 0 } : BackendLoad { key, found->second.openRequests, found->second.pendingPrefillTokens };
}

auto LoadAccount::busiest(const std::string& service) const -> std::vector<BackendLoad>
{
    std::vector<BackendLoad> loads;
    for (const auto key : this->listed) {
        const auto found = this->serviceByKey.find(key);
        if (found != this->serviceByKey.end() && found->second == service)
            loads.push_back(this->sumAt(key));
    }
    return loads;
}

auto LoadAccount::roomsFor(const std::string& zone) const -> std::vector<ZoneRoom>
{
    std::vector<ZoneRoom> rooms;
    for (const auto& room : this->zoneRooms) {
        if (room.zone == zone && rooms.size() < maxAnsweredRooms)
            rooms.push_back(room);
    }
    if (this->zoneRooms.size() <= maxAnsweredRooms)
        std::copy_if(this->zoneRooms.begin(), this->zoneRooms.end(), std::back_inserter(rooms), [&zone](const ZoneRoom& room) { return room.zone != zone; });
    return rooms;
}

auto LoadAccount::othersAtBusiest(const Node& node) const -> std::vector<BackendLoad>
{
    std::vector<BackendLoad> loads;
    for (const auto key : this->listed) {
        auto load = this->sumAt(key);
        const auto own = node.loads.find(key);
        if (own != node.loads.end()) {
            load.openRequests -= own->second.openRequests;
            load.pendingPrefillTokens -= own->second.pendingPrefillTokens;
        }
        loads.push_back(load);
    }
    return loads;
}

auto LoadAccount::meansOfOthers(const Node& node) const -> std::vector<MeanLoad>
{
    std::map<std::string, Load> own;
    for (const auto& [key, load] : node.loads) {
        const auto service = this->serviceByKey.find(key);
        if (service == this->serviceByKey.end())
            continue;
        own[service->second].openRequests += load.openRequests;
        own[service->second].pendingPrefillTokens += load.pendingPrefillTokens;
    }
    std::vector<MeanLoad> means;
    for (const auto& [service, total] : this->totals) {
        if (total.servers > maxSharedServers)
            continue;
        // The total is that of the last update, and the node may have more load since.
        const auto& ownTotal = own[service];
        const auto count = static_cast<double>(total.servers);
        means.push_back({ service, static_cast<double>(std::max<std::int64_t>(0, total.load.openRequests - ownTotal.openRequests)) / count,
            static_cast<double>(std::max<std::int64_t>(0, total.load.pendingPrefillTokens - ownTotal.pendingPrefillTokens)) / count, total.requestsPerSecond });
    }
    return means;
}

auto LoadAccount::answerFor(const std::string& nodeId) const -> std::optional<LoadAnswer>
{
    const auto found = this->nodes.find(nodeId);
    if (!this->hasEnoughReports || found == this->nodes.end())
        return std::nullopt;
    const auto& node = found->second;
    LoadAnswer answer;
    answer.rooms = this->roomsFor(node.zone);
    if (this->nodes.size() < minNodes)
        return answer;
    answer.busiest = this->othersAtBusiest(node);
    answer.means = this->meansOfOthers(node);
    return answer;
}

} // namespace Primrosefork
