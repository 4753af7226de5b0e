#include "observerselection.h"

#include "hash.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>
#include <utility>

namespace Primrosefork {

auto selectObservers(const std::vector<Address>& current, std::vector<ObserverCandidate> candidates) -> std::vector<Address>
{
    std::vector<Address> chosen;
    std::map<std::string, std::size_t> chosenInZone;
    std::erase_if(candidates, [&current, &chosen, &chosenInZone](const auto& candidate) {
        if (chosen.size() >= observerCount || std::find(current.begin(), current.end(), candidate.address) == current.end())
            return false;
        chosen.push_back(candidate.address);
        ++chosenInZone[candidate.zone];
        return true;
    });
    while (chosen.size() < observerCount && !candidates.empty()) {
        const auto best = std::min_element(candidates.begin(), candidates.end(), [&chosenInZone](const auto& first, const auto& second) {
            return std::make_tuple(chosenInZone[first.zone], -first.processorShare, hash64(first.address.toString()))
                < std::make_tuple(chosenInZone[second.zone], -second.processorShare, hash64(second.address.toString()));
        });
        chosen.push_back(best->address);
        ++chosenInZone[best->zone];
        candidates.erase(best);
    }
    std::sort(chosen.begin(), chosen.end());
    return chosen;
}

auto observersByPreference(const std::vector<Address>& observers, const std::string& nodeId) -> std::vector<Address>
{
    std::vector<std::pair<std::uint64_t, Address>> ranked;
    ranked.reserve(observers.size());
    for (const auto& observer : observers)
        ranked.emplace_back(hash64(nodeId + "/" + observer.toString()), observer);
    std::sort(ranked.begin(), ranked.end());
    std::vector<Address> ordered;
    ordered.reserve(ranked.size());
    for (auto& [rank, observer] : ranked)
        ordered.push_back(std::move(observer));
    return ordered;
}

} // namespace Primrosefork
