#include "silentservers.h"

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto avoidancePeriod = 2s; ///< Period for which streams avoid a stalled server before one of them may try it again.

} // namespace

auto SilentServers::fellSilent(const std::string& id, TimePoint now) -> void
{
    this->stalls[id] = { now, now + avoidancePeriod };
}

auto SilentServers::tried(const std::string& id, TimePoint now) -> void
{
    const auto found = this->stalls.find(id);
    if (found != this->stalls.end())
        found->second.avoidUntil = now + avoidancePeriod;
}

auto SilentServers::spoke(const std::string& id) -> void
{
    if (!this->stalls.empty())
        this->stalls.erase(id);
}

auto SilentServers::isFoundSilentAfter(const std::string& id, TimePoint moment) const -> bool
{
    const auto found = this->stalls.find(id);
    return found != this->stalls.end() && moment < found->second.detected;
}

auto SilentServers::isSilent(const std::string& id, TimePoint now) const -> bool
{
    const auto found = this->stalls.find(id);
    return found != this->stalls.end() && now < found->second.avoidUntil;
}

auto SilentServers::addSilent(std::set<std::string>& ids, TimePoint now) const -> void
{
    for (const auto& [id, stall] : this->stalls) {
        if (now < stall.avoidUntil)
            ids.insert(id);
    }
}

} // namespace Primrosefork
