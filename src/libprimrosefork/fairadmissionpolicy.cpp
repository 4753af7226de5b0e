#include "fairadmissionpolicy.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double placesPerSlot = 1.25; ///< So that an engine finds work waiting when a slot gets free.
constexpr std::size_t leastPlaces = 4;
constexpr std::size_t longPlacesDivisor = 2; ///< Long work has one place in so many at most.
constexpr std::size_t guaranteedDivisor = 8; ///< And one in so many even before short work.
constexpr std::size_t reservedDivisor = 20; ///< One place in so many is kept for workspaces below their share.
constexpr Seconds burst { 2 }; ///< Of the token rate that a service may use at once.
constexpr Seconds rateWindow { 1 };
constexpr double rateWeight = 0.3;
constexpr double waitMargin = 1.3; ///< On the expected wait, so that few requests are refused late.
constexpr std::chrono::milliseconds unknownWait = 24h; ///< Behind many requests before any has ended.
constexpr auto reviewPeriod = 10s;
constexpr auto idleLimit = 60s;
constexpr std::size_t queuedDivisor = 2; ///< One in so many open requests may wait.

} // namespace

FairAdmissionPolicy::FairAdmissionPolicy(std::size_t maxOpen)
    : maxOpen(maxOpen)
    , adaptive(leastPlaces, std::max(leastPlaces, maxOpen))
{
}

auto FairAdmissionPolicy::setCapacity(const AdmissionCapacity& next, TimePoint /*now*/) -> void
{
    this->capacity = next;
}

auto FairAdmissionPolicy::placeCount() const -> std::size_t
{
    if (this->capacity.slots == 0)
        return this->adaptive.value();
    const auto nodes = static_cast<double>(std::max<std::size_t>(1, this->capacity.nodes));
    const auto places = placesPerSlot * static_cast<double>(this->capacity.slots) / nodes;
    return std::clamp(static_cast<std::size_t>(places), leastPlaces, std::max(leastPlaces, this->maxOpen));
}

auto FairAdmissionPolicy::longPlaces() const -> std::size_t
{
    return std::max<std::size_t>(1, this->placeCount() / longPlacesDivisor);
}

auto FairAdmissionPolicy::submit(const AdmissionRequest& request, TimePoint now) -> void
{
    auto& workspace = this->workspaces[request.workspace];
    workspace.weight = static_cast<double>(std::max<std::int64_t>(1, request.weight));
    workspace.lastActive = now;
    if (!this->takeTokens(request, now))
        return this->refuse(request.id, AdmissionOutcome::OverLimit);
    if (this->runs.size() + this->waiting >= this->maxOpen && !this->makeRoom(request))
        return this->refuse(request.id, AdmissionOutcome::Overloaded);
    // A call of a plain service takes no slot of an engine.
    if (request.tokens == 0)
        return this->start(request, false, now);
    if (now + this->expectedWait(request, workspace) > request.deadline)
        return this->refuse(request.id, AdmissionOutcome::Overloaded);
    if (this->waiting >= this->maxOpen / queuedDivisor && !this->makeRoom(request))
        return this->refuse(request.id, AdmissionOutcome::Overloaded);
    this->enqueue(request, workspace);
}

auto FairAdmissionPolicy::refuse(std::uint64_t id, AdmissionOutcome outcome) -> void
{
    this->verdicts.push_back({ id, outcome });
}

auto FairAdmissionPolicy::takeTokens(const AdmissionRequest& request, TimePoint now) -> bool
{
    if (request.tokensPerSecond == 0)
        return true;
    const auto rate = static_cast<double>(request.tokensPerSecond);
    const auto [place, isNew] = this->buckets.try_emplace(request.workspace + "/" + request.service, TokenBucket { rate * burst.count(), now });
    auto& bucket = place->second;
    const auto elapsed = std::chrono::duration_cast<Seconds>(now - bucket.lastRefill);
    bucket.tokens = std::min(rate * burst.count(), bucket.tokens + rate * elapsed.count());
    bucket.lastRefill = now;
    if (bucket.tokens <= 0)
        return false;
    // The last request may take more than is left, so that a large one is not kept out for ever.
    bucket.tokens -= static_cast<double>(request.tokens);
    return true;
}

auto FairAdmissionPolicy::enqueue(const AdmissionRequest& request, WorkspaceState& workspace) -> void
{
    if (workspace.running == 0 && workspace.shortQueue.empty() && workspace.longQueue.empty())
        workspace.virtualTime = std::max(workspace.virtualTime, this->virtualTime);
    auto& queue = request.workClass == WorkClass::Long ? workspace.longQueue : workspace.shortQueue;
    const auto place = std::find_if(queue.begin(), queue.end(), [&request](const auto& other) { return other.priority < request.priority; });
    queue.insert(place, request);
    workspace.queuedTokens += request.tokens;
    ++this->waiting;
}

/**
 * Refuses a waiting request of the workspace whose queue is the longest by its
 * weight, the lowest priority first. Returns false when that is the workspace of
 * \a request and has nothing below its priority.
 */
auto FairAdmissionPolicy::makeRoom(const AdmissionRequest& request) -> bool
{
    WorkspaceState* owner = nullptr;
    for (auto& [name, workspace] : this->workspaces) {
        if (workspace.queuedTokens > 0 && (!owner || workspace.backlog() > owner->backlog()))
            owner = &workspace;
    }
    if (!owner)
        return false;
    const auto longIsLower = !owner->longQueue.empty()
        && (owner->shortQueue.empty() || owner->longQueue.back().priority <= owner->shortQueue.back().priority);
    const auto lowest = longIsLower ? &WorkspaceState::longQueue : &WorkspaceState::shortQueue;
    const auto isOwn = owner == &this->workspaces[request.workspace];
    if (isOwn && (owner->*lowest).back().priority >= request.priority)
        return false;
    auto& queue = owner->*lowest;
    this->refuse(queue.back().id, AdmissionOutcome::Overloaded);
    this->remove(*owner, queue, std::prev(queue.end()));
    return true;
}

auto FairAdmissionPolicy::remove(WorkspaceState& workspace, Queue& queue, const Queue::iterator& place) -> Queue::iterator
{
    workspace.queuedTokens -= place->tokens;
    --this->waiting;
    return queue.erase(place);
}

auto FairAdmissionPolicy::expectedWait(const AdmissionRequest& request, const WorkspaceState& workspace) const -> std::chrono::milliseconds
{
    if (this->runningWithPlace < this->placeCount())
        return 0ms;
    const auto& queue = request.workClass == WorkClass::Long ? workspace.longQueue : workspace.shortQueue;
    if (this->tokensPerSecond <= 0)
        return queue.size() < this->placeCount() ? 0ms : unknownWait;
    std::int64_t ahead = 0;
    for (const auto& other : queue)
        ahead += other.priority >= request.priority ? other.tokens : 0;
    const auto share = workspace.weight / std::max(workspace.weight, this->activeWeight());
    return std::chrono::duration_cast<std::chrono::milliseconds>(waitMargin * Seconds(static_cast<double>(ahead) / (share * this->tokensPerSecond)));
}

auto FairAdmissionPolicy::activeWeight() const -> double
{
    double weight = 0;
    for (const auto& [name, workspace] : this->workspaces) {
        if (workspace.running > 0 || workspace.queuedTokens > 0)
            weight += workspace.weight;
    }
    return weight;
}

auto FairAdmissionPolicy::withdraw(std::uint64_t id) -> void
{
    const auto isOfRequest = [id](const auto& entry) { return entry.id == id; };
    for (auto& [name, workspace] : this->workspaces) {
        for (auto queue : { &WorkspaceState::longQueue, &WorkspaceState::shortQueue }) {
            const auto found = std::find_if((workspace.*queue).begin(), (workspace.*queue).end(), isOfRequest);
            if (found != (workspace.*queue).end()) {
                this->remove(workspace, workspace.*queue, found);
                return;
            }
        }
    }
    const auto verdict = std::find_if(this->verdicts.begin(), this->verdicts.end(), isOfRequest);
    if (verdict == this->verdicts.end())
        return;
    const auto wasAdmitted = verdict->outcome == AdmissionOutcome::Admitted;
    this->verdicts.erase(verdict);
    if (wasAdmitted)
        this->release(id);
}

auto FairAdmissionPolicy::release(std::uint64_t id) -> Running
{
    const auto found = this->runs.find(id);
    if (found == this->runs.end())
        return {};
    auto run = found->second;
    this->runs.erase(found);
    if (!run.hasPlace)
        return run;
    --this->workspaces[run.workspace].running;
    --this->runningWithPlace;
    this->runningLong -= run.isLong ? 1 : 0;
    return run;
}

auto FairAdmissionPolicy::ended(std::uint64_t id, std::int64_t /*tokens*/, TimePoint now) -> void
{
    const auto run = this->release(id);
    if (!run.hasPlace)
        return;
    this->adaptive.observe(std::chrono::duration_cast<std::chrono::microseconds>(now - run.started), this->runningWithPlace + 1);
    this->workspaces[run.workspace].lastActive = now;
    this->measureRate(run.tokens, now);
}

auto FairAdmissionPolicy::measureRate(std::int64_t tokens, TimePoint now) -> void
{
    // While nothing waits, the rate is that of the callers and not that of the backend servers.
    const auto wasMeasuring = std::exchange(this->isMeasuring, this->waiting > 0);
    if (!wasMeasuring || !this->isMeasuring) {
        this->endedTokens = 0;
        this->windowStart = now;
        return;
    }
    this->endedTokens += tokens;
    const auto elapsed = std::chrono::duration_cast<Seconds>(now - this->windowStart);
    if (elapsed < rateWindow)
        return;
    const auto rate = static_cast<double>(this->endedTokens) / elapsed.count();
    this->tokensPerSecond = this->tokensPerSecond <= 0 ? rate : this->tokensPerSecond + rateWeight * (rate - this->tokensPerSecond);
    this->endedTokens = 0;
    this->windowStart = now;
}

auto FairAdmissionPolicy::advance(TimePoint now) -> std::vector<AdmissionVerdict>
{
    this->dropLate(now);
    while (this->admitNext(now)) { }
    this->forgetIdle(now);
    return std::exchange(this->verdicts, {});
}

auto FairAdmissionPolicy::admitNext(TimePoint now) -> bool
{
    const auto places = this->placeCount();
    if (this->waiting == 0 || this->runningWithPlace >= places)
        return false;
    auto* shortest = this->nextWorkspace(&WorkspaceState::shortQueue);
    auto* longest = this->runningLong < this->longPlaces() ? this->nextWorkspace(&WorkspaceState::longQueue) : nullptr;
    const auto isGuaranteed = this->runningLong < std::max<std::size_t>(1, places / guaranteedDivisor);
    if (longest && (!shortest || isGuaranteed))
        this->admitFrom(*longest, &WorkspaceState::longQueue, now);
    else if (shortest)
        this->admitFrom(*shortest, &WorkspaceState::shortQueue, now);
    else
        return false;
    return true;
}

auto FairAdmissionPolicy::nextWorkspace(Queue WorkspaceState::*queue) -> WorkspaceState*
{
    WorkspaceState* next = nullptr;
    const auto reserved = std::max<std::size_t>(1, this->placeCount() / reservedDivisor);
    const auto hasOnlyReserved = this->runningWithPlace + reserved >= this->placeCount();
    for (auto& [name, workspace] : this->workspaces) {
        if ((workspace.*queue).empty() || (hasOnlyReserved && !this->mayUseLastPlaces(workspace)))
            continue;
        if (!next || workspace.virtualTime < next->virtualTime)
            next = &workspace;
    }
    return next;
}

auto FairAdmissionPolicy::mayUseLastPlaces(const WorkspaceState& workspace) const -> bool
{
    double weights = 0;
    for (const auto& [name, other] : this->workspaces)
        weights += other.weight;
    if (weights <= workspace.weight)
        return true;
    return static_cast<double>(workspace.running) < static_cast<double>(this->placeCount()) * workspace.weight / weights;
}

auto FairAdmissionPolicy::admitFrom(WorkspaceState& workspace, Queue WorkspaceState::*queue, TimePoint now) -> void
{
    const auto request = (workspace.*queue).front();
    this->remove(workspace, workspace.*queue, (workspace.*queue).begin());
    this->virtualTime = std::max(this->virtualTime, workspace.virtualTime);
    workspace.virtualTime += static_cast<double>(request.tokens) / workspace.weight;
    this->start(request, true, now);
}

auto FairAdmissionPolicy::start(const AdmissionRequest& request, bool hasPlace, TimePoint now) -> void
{
    const auto isLong = request.workClass == WorkClass::Long;
    this->runs[request.id] = { request.workspace, isLong, hasPlace, request.tokens, now };
    this->verdicts.push_back({ request.id, AdmissionOutcome::Admitted });
    if (!hasPlace)
        return;
    ++this->workspaces[request.workspace].running;
    ++this->runningWithPlace;
    this->runningLong += isLong ? 1 : 0;
}

auto FairAdmissionPolicy::dropLate(TimePoint now) -> void
{
    for (auto& [name, workspace] : this->workspaces) {
        for (auto queue : { &WorkspaceState::longQueue, &WorkspaceState::shortQueue }) {
            for (auto place = (workspace.*queue).begin(); place != (workspace.*queue).end();) {
                if (place->deadline > now) {
                    ++place;
                    continue;
                }
                this->refuse(place->id, AdmissionOutcome::Overloaded);
                place = this->remove(workspace, workspace.*queue, place);
            }
        }
    }
}

auto FairAdmissionPolicy::forgetIdle(TimePoint now) -> void
{
    if (now < this->nextReview)
        return;
    this->nextReview = now + reviewPeriod;
    std::erase_if(this->workspaces, [now](const auto& entry) {
        return entry.second.running == 0 && entry.second.queuedTokens == 0 && now - entry.second.lastActive > idleLimit;
    });
    std::erase_if(this->buckets, [now](const auto& entry) { return now - entry.second.lastRefill > idleLimit; });
}

} // namespace Primrosefork
