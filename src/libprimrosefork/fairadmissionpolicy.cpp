#include "fairadmissionpolicy.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double permitsPerSlot = 1.25; ///< Above 1, so that an engine has a request waiting when one of its slots becomes free.
constexpr std::size_t minPermits = 4;
constexpr std::size_t longPermitsDivisor = 2; ///< Long work uses at most one in this many permits.
constexpr std::size_t guaranteedLongDivisor = 8; ///< One in this many permits goes to long work even while short work waits.
constexpr std::size_t reservedDivisor = 20; ///< One in this many permits is kept for workspaces below their share.
constexpr Seconds burstPeriod { 2 }; ///< Period whose tokens, at the token rate of the service, may be used at once.
constexpr Seconds rateWindow { 1 }; ///< Minimum period over which the token rate is measured.
constexpr double rateWeight = 0.3; ///< Weight of the newest measurement in the smoothed token rate.
constexpr double waitMargin = 1.3; ///< Factor on the expected wait, so that few requests are refused only after they have waited.
constexpr std::chrono::milliseconds unknownWait = 24h; ///< Expected wait while the token rate is unknown and at least as many requests are queued as there are permits.
constexpr auto cleanupPeriod = 10s;
constexpr auto idleRetention = 60s; ///< Workspaces and token buckets that were idle for longer are removed.
constexpr std::size_t queuedDivisor = 2; ///< At most one in this many of the allowed open requests may wait.

} // namespace

FairAdmissionPolicy::FairAdmissionPolicy(std::size_t maxOpenRequests)
    : maxOpenRequests(maxOpenRequests)
    , adaptiveLimit(minPermits, std::max(minPermits, maxOpenRequests))
{
}

auto FairAdmissionPolicy::setCapacity(const AdmissionCapacity& next, TimePoint /*now*/) -> void
{
    this->capacity = next;
}

auto FairAdmissionPolicy::permitCount() const -> std::size_t
{
    if (this->capacity.slots == 0)
        return this->adaptiveLimit.value();
    const auto nodes = static_cast<double>(std::max<std::size_t>(1, this->capacity.nodes));
    const auto permits = permitsPerSlot * static_cast<double>(this->capacity.slots) / nodes;
    return std::clamp(static_cast<std::size_t>(permits), minPermits, std::max(minPermits, this->maxOpenRequests));
}

auto FairAdmissionPolicy::maxLongPermits() const -> std::size_t
{
    return std::max<std::size_t>(1, this->permitCount() / longPermitsDivisor);
}

auto FairAdmissionPolicy::submit(const AdmissionRequest& request, TimePoint now) -> void
{
    auto& workspace = this->workspaces[request.workspace];
    workspace.weight = static_cast<double>(std::max<std::int64_t>(1, request.weight));
    workspace.lastActive = now;
    if (!this->consumeTokens(request, now))
        return this->refuse(request.id, AdmissionOutcome::OverLimit);
    if (this->runningRequests.size() + this->waiting >= this->maxOpenRequests && !this->shedLowestPriority(request))
        return this->refuse(request.id, AdmissionOutcome::Overloaded);
    // A call of a plain service uses no slot of an engine and needs no permit.
    if (request.tokens == 0)
        return this->start(request, false, now);
    if (now + this->expectedWait(request, workspace) > request.deadline)
        return this->refuse(request.id, AdmissionOutcome::Overloaded);
    if (this->waiting >= this->maxOpenRequests / queuedDivisor && !this->shedLowestPriority(request))
        return this->refuse(request.id, AdmissionOutcome::Overloaded);
    this->enqueue(request, workspace);
}

auto FairAdmissionPolicy::refuse(std::uint64_t id, AdmissionOutcome outcome) -> void
{
    this->verdicts.push_back({ id, outcome });
}

auto FairAdmissionPolicy::consumeTokens(const AdmissionRequest& request, TimePoint now) -> bool
{
    if (request.tokensPerSecond == 0)
        return true;
    const auto rate = static_cast<double>(request.tokensPerSecond);
    const auto [position, isNew] = this->buckets.try_emplace(request.workspace + "/" + request.service, TokenBucket { rate * burstPeriod.count(), now });
    auto& bucket = position->second;
    const auto elapsed = std::chrono::duration_cast<Seconds>(now - bucket.lastRefill);
    bucket.tokens = std::min(rate * burstPeriod.count(), bucket.tokens + rate * elapsed.count());
    bucket.lastRefill = now;
    if (bucket.tokens <= 0)
        return false;
    // A request may overdraw the bucket, so that one larger than the burst is not refused for ever.
    bucket.tokens -= static_cast<double>(request.tokens);
    return true;
}

auto FairAdmissionPolicy::enqueue(const AdmissionRequest& request, WorkspaceState& workspace) -> void
{
    if (workspace.running == 0 && workspace.shortQueue.empty() && workspace.longQueue.empty())
        workspace.virtualTime = std::max(workspace.virtualTime, this->virtualTime);
    auto& queue = request.workClass == WorkClass::Long ? workspace.longQueue : workspace.shortQueue;
    const auto position = std::find_if(queue.begin(), queue.end(), [&request](const auto& other) { return other.priority < request.priority; });
    queue.insert(position, request);
    workspace.queuedTokens += request.tokens;
    ++this->waiting;
}

/**
 * Refuses the waiting request with the lowest priority in the workspace with the
 * largest backlog for its weight. Returns false when no request waits, or when that
 * is the workspace of \a request and none of its requests has a lower priority.
 */
auto FairAdmissionPolicy::shedLowestPriority(const AdmissionRequest& request) -> bool
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

auto FairAdmissionPolicy::remove(WorkspaceState& workspace, Queue& queue, const Queue::iterator& position) -> Queue::iterator
{
    workspace.queuedTokens -= position->tokens;
    --this->waiting;
    return queue.erase(position);
}

auto FairAdmissionPolicy::expectedWait(const AdmissionRequest& request, const WorkspaceState& workspace) const -> std::chrono::milliseconds
{
    if (this->usedPermits < this->permitCount())
        return 0ms;
    const auto& queue = request.workClass == WorkClass::Long ? workspace.longQueue : workspace.shortQueue;
    if (this->tokensPerSecond <= 0)
        return queue.size() < this->permitCount() ? 0ms : unknownWait;
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

auto FairAdmissionPolicy::release(std::uint64_t id) -> RunningRequest
{
    const auto found = this->runningRequests.find(id);
    if (found == this->runningRequests.end())
        return {};
    auto run = found->second;
    this->runningRequests.erase(found);
    if (!run.hasPermit)
        return run;
    --this->workspaces[run.workspace].running;
    --this->usedPermits;
    this->usedLongPermits -= run.isLong ? 1 : 0;
    return run;
}

auto FairAdmissionPolicy::ended(std::uint64_t id, std::int64_t /*tokens*/, TimePoint now) -> void
{
    const auto run = this->release(id);
    if (!run.hasPermit)
        return;
    this->adaptiveLimit.observe(std::chrono::duration_cast<std::chrono::microseconds>(now - run.started), this->usedPermits + 1);
    this->workspaces[run.workspace].lastActive = now;
    this->measureRate(run.tokens, now);
}

auto FairAdmissionPolicy::measureRate(std::int64_t tokens, TimePoint now) -> void
{
    // While no request waits, the rate is limited by the callers and not by the backend servers.
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
    this->refuseExpired(now);
    while (this->admitNext(now)) { }
    this->removeIdle(now);
    return std::exchange(this->verdicts, {});
}

auto FairAdmissionPolicy::admitNext(TimePoint now) -> bool
{
    const auto permits = this->permitCount();
    if (this->waiting == 0 || this->usedPermits >= permits)
        return false;
    auto* nextShort = this->nextWorkspace(&WorkspaceState::shortQueue);
    auto* nextLong = this->usedLongPermits < this->maxLongPermits() ? this->nextWorkspace(&WorkspaceState::longQueue) : nullptr;
    const auto isGuaranteed = this->usedLongPermits < std::max<std::size_t>(1, permits / guaranteedLongDivisor);
    if (nextLong && (!nextShort || isGuaranteed))
        this->admitFrom(*nextLong, &WorkspaceState::longQueue, now);
    else if (nextShort)
        this->admitFrom(*nextShort, &WorkspaceState::shortQueue, now);
    else
        return false;
    return true;
}

auto FairAdmissionPolicy::nextWorkspace(Queue WorkspaceState::*queue) -> WorkspaceState*
{
    WorkspaceState* next = nullptr;
    const auto reserved = std::max<std::size_t>(1, this->permitCount() / reservedDivisor);
    const auto hasOnlyReserved = this->usedPermits + reserved >= this->permitCount();
    for (auto& [name, workspace] : this->workspaces) {
        if ((workspace.*queue).empty() || (hasOnlyReserved && !this->mayUseReservedPermits(workspace)))
            continue;
        if (!next || workspace.virtualTime < next->virtualTime)
            next = &workspace;
    }
    return next;
}

auto FairAdmissionPolicy::mayUseReservedPermits(const WorkspaceState& workspace) const -> bool
{
    double weights = 0;
    for (const auto& [name, other] : this->workspaces)
        weights += other.weight;
    if (weights <= workspace.weight)
        return true;
    return static_cast<double>(workspace.running) < static_cast<double>(this->permitCount()) * workspace.weight / weights;
}

auto FairAdmissionPolicy::admitFrom(WorkspaceState& workspace, Queue WorkspaceState::*queue, TimePoint now) -> void
{
    const auto request = (workspace.*queue).front();
    this->remove(workspace, workspace.*queue, (workspace.*queue).begin());
    this->virtualTime = std::max(this->virtualTime, workspace.virtualTime);
    workspace.virtualTime += static_cast<double>(request.tokens) / workspace.weight;
    this->start(request, true, now);
}

auto FairAdmissionPolicy::start(const AdmissionRequest& request, bool hasPermit, TimePoint now) -> void
{
    const auto isLong = request.workClass == WorkClass::Long;
    this->runningRequests[request.id] = { request.workspace, isLong, hasPermit, request.tokens, now };
    this->verdicts.push_back({ request.id, AdmissionOutcome::Admitted });
    if (!hasPermit)
        return;
    ++this->workspaces[request.workspace].running;
    ++this->usedPermits;
    this->usedLongPermits += isLong ? 1 : 0;
}

auto FairAdmissionPolicy::refuseExpired(TimePoint now) -> void
{
    for (auto& [name, workspace] : this->workspaces) {
        for (auto queue : { &WorkspaceState::longQueue, &WorkspaceState::shortQueue }) {
            for (auto position = (workspace.*queue).begin(); position != (workspace.*queue).end();) {
                if (position->deadline > now) {
                    ++position;
                    continue;
                }
                this->refuse(position->id, AdmissionOutcome::Overloaded);
                position = this->remove(workspace, workspace.*queue, position);
            }
        }
    }
}

auto FairAdmissionPolicy::removeIdle(TimePoint now) -> void
{
    if (now < this->nextCleanup)
        return;
    this->nextCleanup = now + cleanupPeriod;
    std::erase_if(this->workspaces, [now](const auto& entry) {
        return entry.second.running == 0 && entry.second.queuedTokens == 0 && now - entry.second.lastActive > idleRetention;
    });
    std::erase_if(this->buckets, [now](const auto& entry) { return now - entry.second.lastRefill > idleRetention; });
}

} // namespace Primrosefork
