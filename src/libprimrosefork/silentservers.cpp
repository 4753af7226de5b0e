#include "silentservers.h"

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto avoidTime = 2s; ///< Until a silent server is tried again.

} // namespace

auto SilentServers::fellSilent(const std::string& id, TimePoint now) -> void
{
    this->silences[id] = { now, now + avoidTime };
}

auto SilentServers::tried(const std::string& id, TimePoint now) -> void
{
    const auto found = this->silences.find(id);
    if (found != this->silences.end())
        found->second.avoidUntil = now + avoidTime;
}

auto SilentServers::spoke(const std::string& id) -> void
{
    if (!this->silences.empty())
        this->silences.erase(id);
}

auto SilentServers::isFoundSilentAfter(const std::string& id, TimePoint moment) const -> bool
{
    const auto found = this->silences.find(id);
    return found != this->silences.end() && moment < found->second.found;
}

auto SilentServers::isSilent(const std::string& id, TimePoint now) const -> bool
{
    const auto found = this->silences.find(id);
    return found != this->silences.end() && now < found->second.avoidUntil;
}

auto SilentServers::addSilent(std::set<std::string>& ids, TimePoint now) const -> void
{
    for (const auto& [id, silence] : this->silences) {
        if (now < silence.avoidUntil)
            ids.insert(id);
    }
}

} // namespace Primrosefork
