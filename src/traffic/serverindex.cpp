#include "serverindex.h"

#include "hash.h"

#include <algorithm>
#include <utility>

namespace Primrosefork {

namespace {

constexpr std::size_t matchingSample = 48; ///< Servers of the wanted kind in a sample.
constexpr std::size_t otherSample = 16; ///< Servers of the other kind, which serve when all of the wanted kind are busy.

} // namespace

auto homeWeight(std::uint64_t serverHash, std::uint64_t prefix) -> std::uint64_t
{
    // Finalizer of SplitMix64, which spreads every bit of the input over the result.
    auto weight = serverHash ^ prefix;
    weight = (weight ^ (weight >> 30)) * 0xBF58476D1CE4E5B9;
    weight = (weight ^ (weight >> 27)) * 0x94D049BB133111EB;
    return weight ^ (weight >> 31);
}

ServerIndex::ServerIndex(const std::vector<const BackendServer*>& servers)
    : all(servers)
{
    this->entries.reserve(servers.size());
    for (const auto* server : servers)
        this->entries.push_back({ server, hash64(server->id) });
    this->otherServers = this->entries;
}

auto ServerIndex::setStreamEngines(const std::set<std::string>& ids) -> void
{
    this->streamEngines.clear();
    this->otherServers.clear();
    for (const auto& entry : this->entries)
        (ids.contains(entry.server->id) ? this->streamEngines : this->otherServers).push_back(entry);
}

auto ServerIndex::candidates(std::uint64_t prefix, bool isLongStream, std::minstd_rand& random, std::string_view homeZone) const -> std::vector<const BackendServer*>
{
    if (this->all.size() <= maxCandidates)
        return this->all;
    const auto hasReserved = !this->streamEngines.empty();
    const auto& matching = isLongStream && hasReserved ? this->streamEngines : this->otherServers;
    const auto& others = isLongStream && hasReserved ? this->otherServers : this->streamEngines;
    std::vector<const BackendServer*> sample;
    sample.reserve(matchingSample + otherSample + 1);
    if (prefix != 0 && !matching.empty()) {
        const auto home = std::max_element(matching.begin(), matching.end(),
            [prefix, homeZone](const Entry& first, const Entry& second) {
                const auto rank = [prefix, homeZone](const Entry& entry) { return std::pair(!homeZone.empty() && entry.server->zone == homeZone, homeWeight(entry.hash, prefix)); };
                return rank(first) < rank(second);
            });
        sample.push_back(home->server);
    }
    addSample(sample, matching, matchingSample, random);
    addSample(sample, others, otherSample, random);
    return sample;
}

auto ServerIndex::addSample(std::vector<const BackendServer*>& sample, const Entries& from, std::size_t count, std::minstd_rand& random) -> void
{
    if (from.empty())
        return;
    // A run of neighbours from a random place is as good as single draws, since the order of the ids says nothing about the servers.
    const auto begin = random() % from.size();
    for (std::size_t index = 0; index < std::min(count, from.size()); ++index) {
        const auto* server = from[(begin + index) % from.size()].server;
        if (sample.empty() || server != sample.front())
            sample.push_back(server);
    }
}

} // namespace Primrosefork
