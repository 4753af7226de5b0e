#include "rolloutledger.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace Primrosefork {

namespace {

constexpr double shareTolerance = 0.001; ///< Shares are rounded on their way.

/** Returns \a count less what is contained in \a unreported, which is reduced by it. */
auto newPart(std::uint64_t count, std::uint64_t& unreported) -> std::uint64_t
{
    const auto contained = std::min(count, unreported);
    unreported -= contained;
    return count - contained;
}

} // namespace

RolloutLedger::RolloutLedger(std::uint64_t received, std::uint64_t sent, TimePoint gatherEnd)
    : receivedTotal(received)
    , sentTotal(sent)
    , unreportedReceived(received)
    , unreportedSent(sent)
    , gatherEnd(gatherEnd)
{
}

auto RolloutLedger::reportReceived(const std::string& nodeId, std::uint64_t session, const RolloutReport& report, TimePoint now) -> void
{
    const auto [entry, isNew] = this->nodes.try_emplace(nodeId);
    auto& node = entry->second;
    const auto before = !isNew && node.session == session && report.received >= node.report.received ? node.report : RolloutReport {};
    auto received = report.received - before.received;
    auto sent = report.sent - std::min(report.sent, before.sent);
    if (isNew && now < this->gatherEnd) {
        received = newPart(received, this->unreportedReceived);
        sent = newPart(sent, this->unreportedSent);
    }
    this->receivedTotal += received;
    this->sentTotal += sent;
    this->addAnswers(report, before);
    this->longest = std::max(this->longest, report.longestAnswer);
    this->failed |= report.failedServers;
    node = { session, report, now };
}

auto RolloutLedger::addAnswers(const RolloutReport& report, const RolloutReport& before) -> void
{
    std::map<RouteKey, const RouteCounts*> earlier;
    for (const auto& entry : before.routes)
        earlier[{ entry.route, entry.aspect }] = &entry;
    for (const auto& entry : report.routes) {
        const RouteKey key { entry.route, entry.aspect };
        const auto found = earlier.find(key);
        auto& sum = this->answers.try_emplace(key, RouteCounts { entry.route, entry.aspect, {}, {} }).first->second;
        addTo(sum.earlier, found == earlier.end() ? entry.earlier : difference(entry.earlier, found->second->earlier));
        addTo(sum.next, found == earlier.end() ? entry.next : difference(entry.next, found->second->next));
    }
}

auto RolloutLedger::takeAnswers() -> std::vector<RouteCounts>
{
    std::vector<RouteCounts> list;
    for (const auto& [key, counts] : std::exchange(this->answers, {}))
        list.push_back(counts);
    return list;
}

auto RolloutLedger::openAtEarlier(TimePoint from) const -> std::uint64_t
{
    std::uint64_t open = 0;
    for (const auto& [id, node] : this->nodes)
        open += node.receivedAt >= from ? node.report.openAtEarlier : 0;
    return open;
}

auto RolloutLedger::failedServers() const -> int
{
    return std::popcount(this->failed);
}

auto RolloutLedger::isInForce(const std::string& nodeId, std::uint32_t step, double share) const -> bool
{
    const auto found = this->nodes.find(nodeId);
    if (found == this->nodes.end())
        return false;
    const auto& report = found->second.report;
    return report.step > step || (report.step == step && report.share >= share - shareTolerance);
}

} // namespace Primrosefork
