#include "candidatelist.h"

#include "hash.h"

#include <algorithm>
#include <utility>

namespace Primrosefork {

namespace {

constexpr std::size_t pointsPerServer = 16; ///< Points of each server on the hash ring.
constexpr std::size_t longWorkDivisor = 3; ///< One in this many servers, rounded up, takes long work.

} // namespace

CandidateList::CandidateList(std::vector<const BackendServer*> servers)
    : allServers(std::move(servers))
{
    std::vector<RingPoint> hashed;
    hashed.reserve(this->allServers.size());
    this->ring.reserve(this->allServers.size() * pointsPerServer);
    for (const auto* server : this->allServers) {
        this->zones[server->zone].push_back(server);
        hashed.push_back({ hash64(server->id), server, false });
        for (std::size_t point = 0; point < pointsPerServer; ++point)
            this->ring.push_back({ hash64(server->id + "#" + std::to_string(point)), server, false });
    }
    const auto isBefore = [](const RingPoint& first, const RingPoint& second) { return first.hash < second.hash; };
    std::sort(this->ring.begin(), this->ring.end(), isBefore);
    std::sort(hashed.begin(), hashed.end(), isBefore);
    for (const auto& point : hashed)
        this->byHash.push_back(point.server);
    if (const auto forLongWork = this->longWorkServers(); !forLongWork.empty())
        this->lastLongWorkHash = hashed[forLongWork.size() - 1].hash;
    for (auto& point : this->ring)
        point.isLongWorkServer = this->isLongWorkServer(*point.server);
}

auto CandidateList::inZone(std::string_view zone) const -> std::span<const BackendServer* const>
{
    const auto found = this->zones.find(zone);
    if (found == this->zones.end())
        return {};
    return found->second;
}

auto CandidateList::count(RingFilter filter) const -> std::size_t
{
    return filter == RingFilter::All || this->allServers.size() < 2 ? this->allServers.size() : this->allServers.size() - this->longWorkServers().size();
}

auto CandidateList::ringSuccessors(std::uint64_t key, RingFilter filter, std::size_t count) const -> std::vector<const BackendServer*>
{
    std::vector<const BackendServer*> found;
    count = std::min(count, this->count(filter));
    found.reserve(count);
    const auto first = std::lower_bound(this->ring.begin(), this->ring.end(), key,
        [](const RingPoint& point, std::uint64_t value) { return point.hash < value; });
    auto position = static_cast<std::size_t>(first - this->ring.begin());
    for (std::size_t step = 0; step < this->ring.size() && found.size() < count; ++step, ++position) {
        const auto& point = this->ring[position % this->ring.size()];
        if (filter == RingFilter::ShortWorkOnly && point.isLongWorkServer)
            continue;
        if (std::find(found.begin(), found.end(), point.server) == found.end())
            found.push_back(point.server);
    }
    return found;
}

auto CandidateList::longWorkServers() const -> std::span<const BackendServer* const>
{
    const auto count = (this->byHash.size() + longWorkDivisor - 1) / longWorkDivisor;
    return std::span(this->byHash).first(count);
}

auto CandidateList::isLongWorkServer(const BackendServer& server) const -> bool
{
    return this->allServers.size() > 1 && hash64(server.id) <= this->lastLongWorkHash;
}

} // namespace Primrosefork
