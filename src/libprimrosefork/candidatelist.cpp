#include "candidatelist.h"

#include "hash.h"

#include <algorithm>
#include <utility>

namespace Primrosefork {

namespace {

constexpr std::size_t pointsPerServer = 16;
constexpr std::size_t longPlaceDivisor = 3; ///< One in so many servers takes long work.

} // namespace

CandidateList::CandidateList(std::vector<const BackendServer*> servers)
    : all(std::move(servers))
{
    std::vector<RingPoint> hashed;
    hashed.reserve(this->all.size());
    this->ring.reserve(this->all.size() * pointsPerServer);
    for (const auto* server : this->all) {
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
    if (const auto places = this->longPlaces(); !places.empty())
        this->lastLongPlace = hashed[places.size() - 1].hash;
    for (auto& point : this->ring)
        point.isLongPlace = this->isLongPlace(*point.server);
}

auto CandidateList::inZone(std::string_view zone) const -> std::span<const BackendServer* const>
{
    const auto found = this->zones.find(zone);
    if (found == this->zones.end())
        return {};
    return found->second;
}

auto CandidateList::count(RingPlaces places) const -> std::size_t
{
    return places == RingPlaces::All || this->all.size() < 2 ? this->all.size() : this->all.size() - this->longPlaces().size();
}

auto CandidateList::onRing(std::uint64_t key, RingPlaces places, std::size_t count) const -> std::vector<const BackendServer*>
{
    std::vector<const BackendServer*> found;
    count = std::min(count, this->count(places));
    found.reserve(count);
    const auto first = std::lower_bound(this->ring.begin(), this->ring.end(), key,
        [](const RingPoint& point, std::uint64_t value) { return point.hash < value; });
    auto place = static_cast<std::size_t>(first - this->ring.begin());
    for (std::size_t step = 0; step < this->ring.size() && found.size() < count; ++step, ++place) {
        const auto& point = this->ring[place % this->ring.size()];
        if (places == RingPlaces::ShortOnly && point.isLongPlace)
            continue;
        if (std::find(found.begin(), found.end(), point.server) == found.end())
            found.push_back(point.server);
    }
    return found;
}

auto CandidateList::longPlaces() const -> std::span<const BackendServer* const>
{
    const auto count = (this->byHash.size() + longPlaceDivisor - 1) / longPlaceDivisor;
    return std::span(this->byHash).first(count);
}

auto CandidateList::isLongPlace(const BackendServer& server) const -> bool
{
    return this->all.size() > 1 && hash64(server.id) <= this->lastLongPlace;
}

} // namespace Primrosefork
