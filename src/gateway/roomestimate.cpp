#include "roomestimate.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto reportTimeout = 3s; ///< Age of a node's last report at which its load is no longer counted.

/** Calls \a use with each live node's report and its entry about \a service. */
template <typename Use>
auto forEachEntry(const std::string& service, const NodeRecords& nodes, EventLoop::TimePoint now, Use use) -> void
{
    for (const auto& [id, node] : nodes) {
        if (now - node.receivedAt >= reportTimeout)
            continue;
        for (const auto& entry : node.report.services) {
            if (entry.service == service)
                use(node.report, entry);
        }
    }
}

} // namespace

auto estimateRooms(const TrafficService& service, const BackendServers& servers, const NodeRecords& nodes, const std::vector<OverflowShare>& shares, EventLoop::TimePoint now) -> std::vector<ZoneRoom>
{
    std::map<std::string, ZoneRoom> rooms;
    for (const auto& [id, server] : servers) {
        if (server.pool != service.name || server.state != InstanceState::Live)
            continue;
        auto& room = rooms[server.zone];
        ++room.servers;
        room.slots += service.engine ? service.engine->slots : server.slots;
    }
    forEachEntry(service.name, nodes, now, [&](const NodeReport& report, const ServiceReport& entry) {
        const auto share = std::find_if(shares.begin(), shares.end(), [&](const auto& candidate) { return candidate.service == service.name && candidate.fromZone == report.zone; });
        const auto left = share == shares.end() ? 0 : entry.openRequests * share->eighths / wholeOverflow;
        auto& room = rooms[report.zone];
        room.openRequests += entry.openRequests - left;
        room.waitingRequests += entry.waitingRequests;
        room.requestsPerSecond += entry.requestsPerSecond;
        if (left > 0)
            rooms[share->toZone].openRequests += left;
    });
    std::vector<ZoneRoom> list;
    for (auto& [zone, room] : rooms) {
        room.service = service.name;
        room.zone = zone;
        list.push_back(room);
    }
    return list;
}

auto serviceRatesOf(const std::string& service, const std::vector<ZoneRoom>& rooms, const NodeRecords& nodes, EventLoop::TimePoint now) -> ServiceRates
{
    ServiceRates rates;
    double requests = 0;
    double readTokens = 0;
    double promptTokens = 0;
    forEachEntry(service, nodes, now, [&](const NodeReport&, const ServiceReport& entry) {
        requests += entry.requestsPerSecond;
        readTokens += entry.readTokensPerSecond;
        rates.engineTokensPerSecond = std::max(rates.engineTokensPerSecond, entry.engineTokensPerSecond);
        promptTokens += entry.promptTokensPerSecond;
    });
    if (requests <= 0)
        return rates;
    rates.readTokens = readTokens / requests;
    rates.cachedTokens = std::max(0.0, promptTokens - readTokens) / requests;
    // By Little's law; requests beyond the slots wait and do not occupy one.
    double running = 0;
    for (const auto& room : rooms)
        running += static_cast<double>(std::min(room.openRequests, room.slots));
    rates.callTime = std::chrono::duration<double>(running / requests);
    return rates;
}

} // namespace Primrosefork
