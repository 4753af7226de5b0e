#include "admissionqueue.h"

#include <algorithm>
#include <limits>

namespace Primrosefork {

namespace {

constexpr std::int64_t quantum = 1'000; ///< Tokens that a workspace gets with each turn, and the least charge for a request, as each takes a slot.
constexpr int deferralDivisor = 4; ///< A request is deferred behind others for at most the time between its arrival and its deadline divided by this.

auto costOf(const WaitingRequest& request) -> std::int64_t
{
    return std::max(quantum, request.tokens);
}

auto overdueFrom(const WaitingRequest& request) -> WaitingRequest::TimePoint
{
    return request.received + (request.deadline - request.received) / deferralDivisor;
}

} // namespace

AdmissionQueue::AdmissionQueue(std::size_t maxRequests, std::size_t maxBytes)
    : maxRequests(maxRequests)
    , maxBytes(maxBytes)
{
}

auto AdmissionQueue::add(const WaitingRequest& request, TimePoint now) -> Added
{
    Added result;
    if (request.bytes > this->maxBytes || this->maxRequests == 0)
        return result;
    std::vector<WaitingRequest> displaced;
    while (this->entries.size() >= this->maxRequests || this->totalBytes + request.bytes > this->maxBytes) {
        const auto victim = this->victimFor(request);
        if (!victim) {
            for (const auto& earlier : displaced)
                this->insert(earlier, now);
            return result;
        }
        displaced.push_back(this->entries.find(*victim)->second.request);
        this->remove(*victim);
    }
    this->insert(request, now);
    result.isAdded = true;
    result.displaced = std::move(displaced);
    return result;
}

auto AdmissionQueue::victimFor(const WaitingRequest& request) const -> std::optional<std::uint64_t>
{
    std::optional<Rank> lowest;
    const std::set<Rank>* longest = nullptr;
    for (const auto& [workspace, list] : this->ranks) {
        lowest = std::max(lowest, std::optional(*list.rbegin()));
        if (!longest || list.size() > longest->size())
            longest = &list;
    }
    if (!lowest)
        return std::nullopt;
    if (std::get<0>(*lowest) > request.priority)
        return std::get<2>(*lowest);
    const auto own = this->ranks.find(request.workspace);
    const auto ownSize = own == this->ranks.end() ? 0 : own->second.size();
    if (longest->size() <= ownSize + 1 || std::get<0>(*longest->rbegin()) < request.priority)
        return std::nullopt;
    return std::get<2>(*longest->rbegin());
}

auto AdmissionQueue::insert(const WaitingRequest& request, TimePoint now) -> void
{
    auto& entry = this->entries.emplace(request.id, Entry { request }).first->second;
    auto& queue = this->queues[request.service];
    ++queue.counts[request.priority];
    ++queue.size;
    this->totalBytes += request.bytes;
    this->ranks[request.workspace].emplace(request.priority, request.received, request.id);
    this->expiries.emplace(request.latestStart, request.id);
    this->place(entry, now);
}

auto AdmissionQueue::place(Entry& entry, TimePoint now) -> void
{
    const auto& request = entry.request;
    entry.isOverdue = now >= overdueFrom(request);
    entry.isLate = now > request.objectiveStart;
    auto& turn = this->queues[request.service].turns[request.workspace];
    const Key key { request.received, request.id };
    if (entry.isOverdue) {
        turn.overdue.insert(key);
        return;
    }
    auto& list = turn.classes[request.priority];
    (entry.isLate ? list.late : list.timely).insert(key);
    if (const auto change = nextChange(entry))
        this->changes.emplace(*change, request.id);
}

auto AdmissionQueue::unplace(const Entry& entry) -> void
{
    const auto& request = entry.request;
    auto& turn = this->queues[request.service].turns[request.workspace];
    const Key key { request.received, request.id };
    if (entry.isOverdue) {
        turn.overdue.erase(key);
        return;
    }
    const auto list = turn.classes.find(request.priority);
    (entry.isLate ? list->second.late : list->second.timely).erase(key);
    if (list->second.isEmpty())
        turn.classes.erase(list);
    if (const auto change = nextChange(entry))
        this->changes.erase({ *change, request.id });
}

auto AdmissionQueue::nextChange(const Entry& entry) -> std::optional<TimePoint>
{
    if (entry.isOverdue)
        return std::nullopt;
    const auto overdue = overdueFrom(entry.request);
    // A start at the very time still meets the objective.
    return entry.isLate ? overdue : std::min(overdue, entry.request.objectiveStart + TimePoint::duration(1));
}

auto AdmissionQueue::reorder(TimePoint now) -> void
{
    while (!this->changes.empty() && this->changes.begin()->first <= now) {
        auto& entry = this->entries.find(this->changes.begin()->second)->second;
        this->unplace(entry);
        this->place(entry, now);
    }
}

auto AdmissionQueue::headOf(const Turn& turn, std::int64_t priority) -> std::optional<std::uint64_t>
{
    if (!turn.overdue.empty())
        return turn.overdue.begin()->second;
    const auto list = turn.classes.find(priority);
    return list == turn.classes.end() ? std::nullopt : std::optional(list->second.first());
}

auto AdmissionQueue::take(const std::string& service, TimePoint now) -> std::optional<WaitingRequest>
{
    this->reorder(now);
    const auto found = this->queues.find(service);
    if (found == this->queues.end())
        return std::nullopt;
    auto& queue = found->second;
    const auto next = this->nextTurn(queue);
    if (!next)
        return std::nullopt;
    const auto entry = this->entries.find(next->first);
    auto request = entry->second.request;
    const auto priority = queue.counts.begin()->first;
    for (auto& [workspace, turn] : queue.turns) {
        if (next->second > 0 && headOf(turn, priority))
            turn.deficit += next->second * quantum;
    }
    queue.turns.at(request.workspace).deficit -= costOf(request);
    queue.current = request.workspace;
    this->erase(entry);
    return request;
}

auto AdmissionQueue::nextTurn(const ServiceQueue& queue) const -> std::optional<std::pair<std::uint64_t, std::int64_t>>
{
    const auto priority = queue.counts.begin()->first;
    // Equivalent to visiting the workspaces in turns until one has enough tokens for its first request.
    const auto begin = queue.turns.lower_bound(queue.current);
    auto leastRounds = std::numeric_limits<std::int64_t>::max();
    std::optional<std::uint64_t> chosen;
    const auto visit = [&](auto first, auto last) {
        for (auto turn = first; turn != last; ++turn) {
            const auto head = headOf(turn->second, priority);
            if (!head)
                continue;
            const auto missing = costOf(this->entries.find(*head)->second.request) - turn->second.deficit;
            const auto rounds = missing <= 0 ? 0 : (missing + quantum - 1) / quantum;
            if (rounds < leastRounds) {
                leastRounds = rounds;
                chosen = head;
            }
        }
    };
    visit(begin, queue.turns.end());
    visit(queue.turns.begin(), begin);
    return chosen ? std::optional(std::pair(*chosen, leastRounds)) : std::nullopt;
}

auto AdmissionQueue::putBack(const WaitingRequest& request, TimePoint now) -> void
{
    this->insert(request, now);
    this->queues[request.service].turns[request.workspace].deficit += costOf(request);
}

auto AdmissionQueue::remove(std::uint64_t id) -> bool
{
    const auto entry = this->entries.find(id);
    if (entry == this->entries.end())
        return false;
    this->erase(entry);
    return true;
}

auto AdmissionQueue::erase(std::unordered_map<std::uint64_t, Entry>::iterator entry) -> void
{
    this->unplace(entry->second);
    const auto& request = entry->second.request;
    const auto queue = this->queues.find(request.service);
    const auto turn = queue->second.turns.find(request.workspace);
    if (turn->second.overdue.empty() && turn->second.classes.empty())
        queue->second.turns.erase(turn);
    const auto count = queue->second.counts.find(request.priority);
    if (--count->second == 0)
        queue->second.counts.erase(count);
    if (--queue->second.size == 0)
        this->queues.erase(queue);
    const auto rank = this->ranks.find(request.workspace);
    rank->second.erase({ request.priority, request.received, request.id });
    if (rank->second.empty())
        this->ranks.erase(rank);
    this->expiries.erase({ request.latestStart, request.id });
    this->totalBytes -= request.bytes;
    this->entries.erase(entry);
}

auto AdmissionQueue::takeExpired(TimePoint now) -> std::vector<WaitingRequest>
{
    std::vector<WaitingRequest> expired;
    while (!this->expiries.empty() && this->expiries.begin()->first < now) {
        const auto entry = this->entries.find(this->expiries.begin()->second);
        expired.push_back(entry->second.request);
        this->erase(entry);
    }
    return expired;
}

auto AdmissionQueue::count(const std::string& service) const -> std::size_t
{
    const auto queue = this->queues.find(service);
    return queue == this->queues.end() ? 0 : queue->second.size;
}

auto AdmissionQueue::countAhead(const std::string& service, const std::string& workspace, std::int64_t priority) const -> std::size_t
{
    const auto queue = this->queues.find(service);
    if (queue == this->queues.end())
        return 0;
    const auto& turns = queue->second.turns;
    const auto countAlike = [priority](const Turn& turn) {
        const auto list = turn.classes.find(priority);
        return turn.overdue.size() + (list == turn.classes.end() ? 0 : list->second.size());
    };
    const auto own = turns.find(workspace);
    const auto ownCount = own == turns.end() ? 0 : countAlike(own->second);
    auto ahead = ownCount;
    for (const auto& [name, turn] : turns) {
        for (auto list = turn.classes.begin(); list != turn.classes.end() && list->first < priority; ++list)
            ahead += list->second.size();
        if (name != workspace)
            ahead += std::min(countAlike(turn), ownCount + 1);
    }
    return ahead;
}

auto AdmissionQueue::services() const -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& [service, queue] : this->queues)
        names.push_back(service);
    return names;
}

} // namespace Primrosefork
