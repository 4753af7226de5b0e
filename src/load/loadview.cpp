#include "loadview.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto fullWeightTime = 700ms; ///< Age of the answered report up to which the answer has its full weight; a report period and the time for a late datagram.
constexpr auto lifetime = 2s; ///< Age at which it has none.

} // namespace

LoadView::LoadView(std::string zone)
    : ownZone(std::move(zone))
{
}

auto LoadView::answerReceived(const LoadAnswer& received, const std::vector<CallerDemand>& demand, TimePoint reportSent) -> bool
{
    if (this->answered && reportSent <= *this->answered)
        return false;
    this->answered = reportSent;
    this->answer = received;
    this->listed.clear();
    for (const auto& load : received.busiest)
        this->listed[load.server] = load;
    this->means.clear();
    for (const auto& mean : received.means)
        this->means[mean.service] = mean;
    this->ownPerSecond.clear();
    for (const auto& entry : demand)
        this->ownPerSecond[entry.service] = entry.requestsPerSecond;
    this->othersPerOwn.clear();
    for (const auto& [service, mean] : this->means) {
        const auto own = this->ownPerSecond.find(service);
        if (own != this->ownPerSecond.end() && own->second > 0)
            this->othersPerOwn[service] = std::max(0.0, mean.requestsPerSecond / own->second - 1);
    }
    return true;
}

auto LoadView::weight(TimePoint now) const -> double
{
    if (!this->answered)
        return 0;
    using Seconds = std::chrono::duration<double>;
    return std::clamp(Seconds(*this->answered + lifetime - now) / Seconds(lifetime - fullWeightTime), 0.0, 1.0);
}

auto LoadView::othersAt(const BackendServer& server, TimePoint now) const -> std::optional<OtherLoad>
{
    const auto weight = this->weight(now);
    if (weight <= 0)
        return std::nullopt;
    const auto mean = this->means.find(server.pool);
    if (mean == this->means.end())
        return std::nullopt;
    const auto ratio = this->othersPerOwn.find(server.pool);
    const auto othersPerOwn = ratio == this->othersPerOwn.end() ? 0 : ratio->second;
    // A server that is not listed is at most as busy as the mean, and one that was listed may have become less busy since. None is
    // shown below the mean: in a simulation of 77 nodes, all of them turned to such a server within one report period.
    OtherLoad others { mean->second.openRequests, mean->second.pendingPrefillTokens, othersPerOwn, weight, *this->answered };
    const auto load = this->listed.find(loadKeyOf(server.id));
    if (load != this->listed.end()) {
        others.openRequests = std::max(others.openRequests, static_cast<double>(load->second.openRequests));
        others.pendingPrefillTokens = std::max(others.pendingPrefillTokens, static_cast<double>(load->second.pendingPrefillTokens));
    }
    return others;
}

auto LoadView::room(const std::string& service, const std::string& zone, TimePoint now) const -> std::optional<ZoneRoom>
{
    if (this->weight(now) <= 0)
        return std::nullopt;
    const auto found = std::find_if(this->answer.rooms.begin(), this->answer.rooms.end(),
        [&service, &zone](const ZoneRoom& entry) { return entry.service == service && entry.zone == zone; });
    return found == this->answer.rooms.end() ? std::nullopt : std::optional(*found);
}

auto LoadView::demandShare(const std::string& service, TimePoint now) const -> std::optional<double>
{
    const auto total = this->room(service, this->ownZone, now);
    if (!total || total->requestsPerSecond <= 0)
        return std::nullopt;
    const auto own = this->ownPerSecond.find(service);
    return own == this->ownPerSecond.end() ? 0 : std::clamp(own->second / total->requestsPerSecond, 0.0, 1.0);
}

} // namespace Primrosefork
