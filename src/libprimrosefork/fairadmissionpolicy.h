#pragma once

#include "adaptivelimit.h"
#include "admissionpolicy.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/**
 * Shares the capacity of the backend servers between workspaces by weight.
 *
 * A model request holds a permit while it runs; the number of permits follows the
 * slots of the engines. Each workspace has a virtual time that grows with the tokens
 * of its admitted requests, divided by its weight; the workspace with the lowest
 * virtual time goes next. Within a workspace higher priorities go first. Short work
 * goes before long work, but a part of the permits is guaranteed to long work. Where
 * several workspaces are active, one above its share leaves a few permits free for
 * the others.
 *
 * A request is refused at once when its service exceeds its token rate, or when the
 * work ahead of it is not expected to be done by its deadline.
 */
class FairAdmissionPolicy : public AdmissionPolicy {
public:
    /** Creates a policy under which at most \a maxOpenRequests requests wait or run. */
    explicit FairAdmissionPolicy(std::size_t maxOpenRequests);

    auto setCapacity(const AdmissionCapacity&, TimePoint now) -> void override;
    auto submit(const AdmissionRequest&, TimePoint now) -> void override;
    auto withdraw(std::uint64_t id) -> void override;
    auto ended(std::uint64_t id, std::int64_t tokens, TimePoint now) -> void override;
    auto advance(TimePoint now) -> std::vector<AdmissionVerdict> override;
    [[nodiscard]] auto waitingCount() const -> std::size_t override { return this->waiting + this->verdicts.size(); }

    /** Returns how many model requests may run at once. */
    [[nodiscard]] auto permitCount() const -> std::size_t;

private:
    using Queue = std::deque<AdmissionRequest>;

    struct WorkspaceState {
        double weight = 1;
        double virtualTime = 0; ///< Admitted tokens divided by the weight.
        std::size_t running = 0;
        std::int64_t queuedTokens = 0;
        Queue shortQueue; ///< Waiting short requests, highest priority first.
        Queue longQueue; ///< Waiting long requests, highest priority first.
        TimePoint lastActive;

        /** Returns the queued tokens divided by the weight. */
        [[nodiscard]] auto backlog() const -> double { return static_cast<double>(this->queuedTokens) / this->weight; }
    };

    struct RunningRequest {
        std::string workspace;
        bool isLong = false;
        bool hasPermit = false;
        std::int64_t tokens = 0;
        TimePoint started;
    };

    /** Limits the token rate of a service. */
    struct TokenBucket {
        double tokens = 0; ///< Tokens that the service may still use; negative when overdrawn.
        TimePoint lastRefill;
    };

    auto refuse(std::uint64_t id, AdmissionOutcome) -> void;
    auto consumeTokens(const AdmissionRequest&, TimePoint now) -> bool;
    auto enqueue(const AdmissionRequest&, WorkspaceState&) -> void;
    auto shedLowestPriority(const AdmissionRequest&) -> bool;
    auto admitNext(TimePoint now) -> bool;
    auto admitFrom(WorkspaceState&, Queue WorkspaceState::*queue, TimePoint now) -> void;
    auto start(const AdmissionRequest&, bool hasPermit, TimePoint now) -> void;
    auto release(std::uint64_t id) -> RunningRequest;
    auto measureRate(std::int64_t tokens, TimePoint now) -> void;
    auto refuseExpired(TimePoint now) -> void;
    auto removeIdle(TimePoint now) -> void;
    auto remove(WorkspaceState&, Queue&, const Queue::iterator&) -> Queue::iterator;
    [[nodiscard]] auto nextWorkspace(Queue WorkspaceState::*queue) -> WorkspaceState*;
    [[nodiscard]] auto mayUseReservedPermits(const WorkspaceState&) const -> bool;
    [[nodiscard]] auto expectedWait(const AdmissionRequest&, const WorkspaceState&) const -> std::chrono::milliseconds;
    [[nodiscard]] auto maxLongPermits() const -> std::size_t;
    [[nodiscard]] auto activeWeight() const -> double;

    std::size_t maxOpenRequests;
    AdmissionCapacity capacity;
    AdaptiveLimit adaptiveLimit;
    std::map<std::string, WorkspaceState> workspaces;
    std::unordered_map<std::uint64_t, RunningRequest> runningRequests;
    std::map<std::string, TokenBucket> buckets; ///< Token buckets by workspace and service, joined by a slash.
    std::vector<AdmissionVerdict> verdicts;
    std::size_t waiting = 0;
    std::size_t usedPermits = 0;
    std::size_t usedLongPermits = 0;
    double virtualTime = 0; ///< Virtual time of the last admission; a workspace that becomes active starts no lower.
    double tokensPerSecond = 0; ///< Smoothed token rate of the requests that ended; 0 while it is unknown.
    std::int64_t endedTokens = 0; ///< Tokens of the requests that ended since windowStart.
    TimePoint windowStart;
    bool isMeasuring = false; ///< Whether requests were waiting when the last one ended.
    TimePoint nextCleanup;
};

} // namespace Primrosefork
