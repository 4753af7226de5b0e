#include "slowdowndetector.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr double newestWeight = 0.3; ///< Weight of the newest time in the smoothed time.
constexpr std::size_t minSamples = 3; ///< Number of times from which a server is compared with its peers.
constexpr double slowThreshold = 1.7; ///< Multiple of the median of the peers from which a server is slow.
constexpr double recoveryThreshold = 1.3; ///< Multiple of the median of the peers below which a slow server has recovered.
constexpr double maxSampleFactor = 10; ///< Multiple of the smoothed time to which a single time is capped.
constexpr std::size_t slowDivisor = 3; ///< At most one in this many peers is marked as slow.
constexpr auto evaluationPeriod = 100ms;
constexpr auto initialProbeInterval = 4s;
constexpr auto maxProbeInterval = 60s;
constexpr auto initialAvoidance = 1000ms; ///< Period for which a server is avoided after a failure; doubles with each further one.
constexpr auto maxAvoidance = 30'000ms;
constexpr int maxDoublings = 5;
constexpr auto recordRetention = 10min; ///< Servers without a recorded time or failure for longer are forgotten.

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
    record.lastActivity = now;
    return record;
}

auto SlowdownDetector::observe(const BackendServer& server, std::chrono::microseconds duration, TimePoint now) -> void
{
    auto& record = this->recordOf(server, now);
    const auto time = static_cast<double>(duration.count());
    if (record.samples == 0)
        record.smoothedTime = time;
    else
        record.smoothedTime += newestWeight * (std::min(time, maxSampleFactor * record.smoothedTime) - record.smoothedTime);
    ++record.samples;
    record.lastSample = now;
    auto& group = this->groups[record.group];
    if (now >= group.nextEvaluation)
        this->evaluate(group, now);
}

auto SlowdownDetector::failed(const BackendServer& server, TimePoint now) -> void
{
    auto& record = this->recordOf(server, now);
    const auto doublings = std::min(record.consecutiveFailures++, maxDoublings);
    record.avoidUntil = now + std::min<std::chrono::milliseconds>(initialAvoidance * (1 << doublings), maxAvoidance);
}

auto SlowdownDetector::succeeded(const BackendServer& server) -> void
{
    const auto found = this->records.find(server.id);
    if (found == this->records.end())
        return;
    found->second.consecutiveFailures = 0;
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
    return record && record->consecutiveFailures > 0 && now < record->avoidUntil;
}

auto SlowdownDetector::isProbeDue(const BackendServer& server, TimePoint now) const -> bool
{
    const auto* record = this->find(server);
    return record && record->slowness > 1 && now >= record->nextProbe && now - record->lastSample >= initialProbeInterval;
}

auto SlowdownDetector::probeSent(const BackendServer& server, TimePoint now) -> void
{
    auto& record = this->records[server.id];
    record.probeInterval = std::min<std::chrono::milliseconds>(record.probeInterval * 2, maxProbeInterval);
    record.nextProbe = now + record.probeInterval;
}

auto SlowdownDetector::evaluate(Group& group, TimePoint now) -> void
{
    group.nextEvaluation = now + evaluationPeriod;
    std::erase_if(group.members, [this, now](const std::string& id) {
        if (now - this->records[id].lastActivity <= recordRetention)
            return false;
        this->records.erase(id);
        return true;
    });
    std::vector<Record*> peers;
    for (const auto& id : group.members) {
        auto& record = this->records[id];
        if (record.samples >= minSamples)
            peers.push_back(&record);
    }
    if (peers.size() < 2)
        return;
    // The slowest come first; the median is in the middle.
    std::sort(peers.begin(), peers.end(), [](const Record* first, const Record* second) { return first->smoothedTime > second->smoothedTime; });
    const auto median = std::max(1.0, peers[peers.size() / 2]->smoothedTime);
    const auto maxSlow = std::max<std::size_t>(1, peers.size() / slowDivisor);
    for (std::size_t index = 0; index < peers.size(); ++index) {
        const auto ratio = peers[index]->smoothedTime / median;
        const auto threshold = peers[index]->slowness > 1 ? recoveryThreshold : slowThreshold;
        this->setSlowness(*peers[index], index < maxSlow && ratio >= threshold ? ratio : 1, now);
    }
}

auto SlowdownDetector::setSlowness(Record& record, double slowness, TimePoint now) -> void
{
    if (slowness > 1 && record.slowness <= 1) {
        record.probeInterval = initialProbeInterval;
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
