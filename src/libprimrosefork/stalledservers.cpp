#include "stalledservers.h"

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto avoidancePeriod = 2s; ///< Period for which streams avoid a stalled server before one of them may try it again.

} // namespace

auto StalledServers::recordStall(const std::string& id, TimePoint now) -> void
{
    this->stalls[id] = { now, now + avoidancePeriod };
}

auto StalledServers::recordAttempt(const std::string& id, TimePoint now) -> void
{
    const auto found = this->stalls.find(id);
    if (found != this->stalls.end())
        found->second.avoidUntil = now + avoidancePeriod;
}

auto StalledServers::recordActivity(const std::string& id) -> void
{
    if (!this->stalls.empty())
        this->stalls.erase(id);
}

auto StalledServers::hasStalledSince(const std::string& id, TimePoint moment) const -> bool
{
    const auto found = this->stalls.find(id);
    return found != this->stalls.end() && moment < found->second.detected;
}

auto StalledServers::isAvoided(const std::string& id, TimePoint now) const -> bool
{
    const auto found = this->stalls.find(id);
    return found != this->stalls.end() && now < found->second.avoidUntil;
}

auto StalledServers::addAvoided(std::set<std::string>& ids, TimePoint now) const -> void
{
    for (const auto& [id, stall] : this->stalls) {
        if (now < stall.avoidUntil)
            ids.insert(id);
    }
}

} // namespace Primrosefork
