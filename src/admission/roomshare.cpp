#include "roomshare.h"

#include <algorithm>
#include <cmath>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::int64_t queueDivisor = 4; ///< The short queue of a server is its slots divided by this.
constexpr double ampleFraction = 0.5; ///< Fraction of free slots from which the service is not scarce.
constexpr double waitingPart = 0.5; ///< Part of the free slots that is shared by waiting requests; the other part is left for nodes whose demand is not reported yet.
constexpr auto reportPeriod = 500ms; ///< Period of the leader's answers; one that states the same counts as a new one after this time.

auto capacityOf(std::int64_t servers, std::int64_t slots) -> double
{
    return servers <= 0 ? 0 : static_cast<double>(slots + servers * std::max<std::int64_t>(1, slots / servers / queueDivisor));
}

} // namespace

auto requestsAtOnce(std::int64_t slots) -> std::int64_t
{
    return slots + std::max<std::int64_t>(1, slots / queueDivisor);
}

RoomShare::RoomShare(std::uint64_t seed)
    : random(static_cast<std::minstd_rand::result_type>(seed))
{
}

auto RoomShare::limit(const Input& input, TimePoint now) -> RoomLimit
{
    const auto capacity = capacityOf(input.servers, input.slots);
    const auto own = std::find_if(input.rooms.begin(), input.rooms.end(), [&input](const auto& room) { return room.zone == input.zone; });
    if (own != input.rooms.end() && input.demandShare)
        return this->reportedLimit(input, *own, capacity, now);
    return { std::max(1.0, capacity / static_cast<double>(std::max<std::size_t>(1, input.nodes))), false };
}

auto RoomShare::reportedLimit(const Input& input, const ZoneRoom& own, double capacity, TimePoint now) -> RoomLimit
{
    if (input.rooms != this->lastRooms || now - this->reportSeen >= reportPeriod) {
        this->lastRooms = input.rooms;
        this->openAtReport = input.openRequests;
        this->reportSeen = now;
        this->rounding = static_cast<double>(this->random() - std::minstd_rand::min()) / static_cast<double>(std::minstd_rand::max());
    }
    double slots = 0;
    double reportedCapacity = 0;
    double open = 0;
    double demand = 0;
    double waiting = 0;
    for (const auto& room : input.rooms) {
        slots += static_cast<double>(room.slots);
        reportedCapacity += capacityOf(room.servers, room.slots);
        open += static_cast<double>(room.openRequests);
        demand += room.requestsPerSecond;
        waiting += static_cast<double>(room.waitingRequests);
    }
    // The registry shows sooner than the leader's answer that servers are gone.
    reportedCapacity = std::min(reportedCapacity, capacity);
    slots = std::min(slots, static_cast<double>(input.slots));
    if (slots > 0 && slots - open >= ampleFraction * slots)
        return { std::nullopt, true };
    const auto zoneShare = demand > 0 ? own.requestsPerSecond / demand : 1 / static_cast<double>(input.rooms.size());
    const auto share = std::clamp(*input.demandShare * zoneShare, 0.0, 1.0);
    const auto free = reportedCapacity - open;
    const auto ownWaiting = static_cast<double>(input.waitingRequests);
    const auto waitingShare = ownWaiting > 0 && free > 0 ? waitingPart * ownWaiting / std::max(waiting, ownWaiting) : 0.0;
    const auto part = static_cast<double>(this->openAtReport) + std::max(share, waitingShare) * free;
    const auto limit = std::max(share * reportedCapacity, part);
    const auto whole = std::floor(limit);
    return { std::max(1.0, whole + (limit - whole > this->rounding ? 1 : 0)), true };
}

} // namespace Primrosefork
