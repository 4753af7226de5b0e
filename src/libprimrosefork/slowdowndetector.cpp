#include "slowdowndetector.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr double smoothing = 0.3; ///< Weight of the newest time.
constexpr std::size_t leastSamples = 3;
constexpr double slowFrom = 1.7; ///< Times the median of the peers.
constexpr double recoveredBelow = 1.3;
constexpr double longestTime = 10; ///< Times the smoothed one that a single time may count for.
constexpr std::size_t ejectedDivisor = 3; ///< One in so many peers may be called slow.
constexpr auto reviewPeriod = 100ms;
constexpr auto firstProbe = 4s;
constexpr auto longestProbe = 60s;
constexpr auto firstAvoidance = 1000ms; ///< After a failure; doubles with each further one.
constexpr auto longestAvoidance = 30'000ms;
constexpr int maxDoublings = 5;
constexpr auto memory = 10min; ///< A server that showed nothing for so long is forgotten.

auto groupOf(const BackendServer& server) -> std::string
{
    return std::to_string(static_cast<int>(server.kind)) + "/" + server.pool + "/" + server.model + "/" + server.version + "/" + server.machineClass;
}

} // namespace

auto SlowdownDetector::recordOf(const BackendServer& server, TimePoint now) -> Record&
{
    auto& record = this->records[server.id];
    if (record.group.empty()) {
        record.group = groupOf(server);
        this->groups[record.group].members.push_back(server.id);
    }
    record.lastSeen = now;
    return record;
}

auto SlowdownDetector::observe(const BackendServer& server, std::chrono::microseconds duration, TimePoint now) -> void
{
    auto& record = this->recordOf(server, now);
    const auto time = static_cast<double>(duration.count());
    if (record.samples == 0)
        record.smoothed = time;
    else
        record.smoothed += smoothing * (std::min(time, longestTime * record.smoothed) - record.smoothed);
    ++record.samples;
    record.lastSample = now;
    auto& group = this->groups[record.group];
    if (now >= group.nextReview)
        this->review(group, now);
}

auto SlowdownDetector::failed(const BackendServer& server, TimePoint now) -> void
{
    auto& record = this->recordOf(server, now);
    const auto doublings = std::min(record.failures++, maxDoublings);
    record.avoidUntil = now + std::min<std::chrono::milliseconds>(firstAvoidance * (1 << doublings), longestAvoidance);
}

auto SlowdownDetector::succeeded(const BackendServer& server) -> void
{
    const auto found = this->records.find(server.id);
    if (found == this->records.end())
        return;
    found->second.failures = 0;
    found->second.avoidUntil = {};
}

auto SlowdownDetector::slowness(const BackendServer& server) const -> double
{
    const auto* record = this->find(server);
    return record ? record->slowness : 1;
}

auto SlowdownDetector::isFailing(const BackendServer& server, TimePoint now) const -> bool
{
    const auto* record = this->find(server);
    return record && record->failures > 0 && now < record->avoidUntil;
}

auto SlowdownDetector::isProbeDue(const BackendServer& server, TimePoint now) const -> bool
{
    const auto* record = this->find(server);
    return record && record->slowness > 1 && now >= record->nextProbe && now - record->lastSample >= firstProbe;
}

auto SlowdownDetector::probeSent(const BackendServer& server, TimePoint now) -> void
{
    auto& record = this->records[server.id];
    record.probeInterval = std::min<std::chrono::milliseconds>(record.probeInterval * 2, longestProbe);
    record.nextProbe = now + record.probeInterval;
}

auto SlowdownDetector::review(Group& group, TimePoint now) -> void
{
    group.nextReview = now + reviewPeriod;
    std::erase_if(group.members, [this, now](const std::string& id) {
        if (now - this->records[id].lastSeen <= memory)
            return false;
        this->records.erase(id);
        return true;
    });
    std::vector<Record*> peers;
    for (const auto& id : group.members) {
        auto& record = this->records[id];
        if (record.samples >= leastSamples)
            peers.push_back(&record);
    }
    if (peers.size() < 2)
        return;
    // The slowest come first, so that the median stands in the middle.
    std::sort(peers.begin(), peers.end(), [](const Record* first, const Record* second) { return first->smoothed > second->smoothed; });
    const auto median = std::max(1.0, peers[peers.size() / 2]->smoothed);
    const auto mostSlow = std::max<std::size_t>(1, peers.size() / ejectedDivisor);
    for (std::size_t place = 0; place < peers.size(); ++place) {
        const auto times = peers[place]->smoothed / median;
        const auto bound = peers[place]->slowness > 1 ? recoveredBelow : slowFrom;
        this->setSlowness(*peers[place], place < mostSlow && times >= bound ? times : 1, now);
    }
}

auto SlowdownDetector::setSlowness(Record& record, double slowness, TimePoint now) -> void
{
    if (slowness > 1 && record.slowness <= 1) {
        record.probeInterval = firstProbe;
        record.nextProbe = now + record.probeInterval;
    }
    record.slowness = slowness;
}

auto SlowdownDetector::find(const BackendServer& server) const -> const Record*
{
    const auto found = this->records.find(server.id);
    return found == this->records.end() ? nullptr : &found->second;
}

} // namespace Primrosefork
