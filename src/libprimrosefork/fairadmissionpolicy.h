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
 * Shares the places that the backend servers have between workspaces by weight.
 *
 * Each workspace has a virtual time that grows with the tokens it was admitted,
 * by its weight; the one that is furthest behind goes next. Within a workspace
 * higher priorities go first. Short work goes before long, but a part of the
 * places is always long work's. Where several workspaces are active, one above
 * its share leaves a few places free for the others.
 *
 * A request is refused at once when its service is over its token rate, or when
 * the work before it will not be done by its deadline.
 */
class FairAdmissionPolicy : public AdmissionPolicy {
public:
    /** At most \a maxOpen requests wait or run. */
    explicit FairAdmissionPolicy(std::size_t maxOpen);

    auto setCapacity(const AdmissionCapacity&, TimePoint now) -> void override;
    auto submit(const AdmissionRequest&, TimePoint now) -> void override;
    auto withdraw(std::uint64_t id) -> void override;
    auto ended(std::uint64_t id, std::int64_t tokens, TimePoint now) -> void override;
    auto advance(TimePoint now) -> std::vector<AdmissionVerdict> override;
    [[nodiscard]] auto waitingCount() const -> std::size_t override { return this->waiting + this->verdicts.size(); }

    /** Returns how many model requests may run at once. */
    [[nodiscard]] auto placeCount() const -> std::size_t;

private:
    using Queue = std::deque<AdmissionRequest>;

    struct WorkspaceState {
        double weight = 1;
        double virtualTime = 0; ///< Tokens by weight.
        std::size_t running = 0;
        std::int64_t queuedTokens = 0;
        Queue shortQueue; ///< Higher priorities in front, like the next.
        Queue longQueue;
        TimePoint lastActive;

        /** Returns how much waits by the weight. */
        [[nodiscard]] auto backlog() const -> double { return static_cast<double>(this->queuedTokens) / this->weight; }
    };

    struct Running {
        std::string workspace;
        bool isLong = false;
        bool hasPlace = false;
        std::int64_t tokens = 0;
        TimePoint started;
    };

    /** The tokens that a service may still use. */
    struct TokenBucket {
        double tokens = 0;
        TimePoint lastRefill;
    };

    auto refuse(std::uint64_t id, AdmissionOutcome) -> void;
    auto takeTokens(const AdmissionRequest&, TimePoint now) -> bool;
    auto enqueue(const AdmissionRequest&, WorkspaceState&) -> void;
    auto makeRoom(const AdmissionRequest&) -> bool;
    auto admitNext(TimePoint now) -> bool;
    auto admitFrom(WorkspaceState&, Queue WorkspaceState::*queue, TimePoint now) -> void;
    auto start(const AdmissionRequest&, bool hasPlace, TimePoint now) -> void;
    auto release(std::uint64_t id) -> Running;
    auto measureRate(std::int64_t tokens, TimePoint now) -> void;
    auto dropLate(TimePoint now) -> void;
    auto forgetIdle(TimePoint now) -> void;
    auto remove(WorkspaceState&, Queue&, const Queue::iterator&) -> Queue::iterator;
    [[nodiscard]] auto nextWorkspace(Queue WorkspaceState::*queue) -> WorkspaceState*;
    [[nodiscard]] auto mayUseLastPlaces(const WorkspaceState&) const -> bool;
    [[nodiscard]] auto expectedWait(const AdmissionRequest&, const WorkspaceState&) const -> std::chrono::milliseconds;
    [[nodiscard]] auto longPlaces() const -> std::size_t;
    [[nodiscard]] auto activeWeight() const -> double;

    std::size_t maxOpen;
    AdmissionCapacity capacity;
    AdaptiveLimit adaptive;
    std::map<std::string, WorkspaceState> workspaces;
    std::unordered_map<std::uint64_t, Running> runs;
    std::map<std::string, TokenBucket> buckets; ///< By workspace and service.
    std::vector<AdmissionVerdict> verdicts;
    std::size_t waiting = 0;
    std::size_t runningWithPlace = 0;
    std::size_t runningLong = 0;
    double virtualTime = 0; ///< Of the workspace that was admitted last.
    double tokensPerSecond = 0; ///< Of work that ended, smoothed; 0 while it is not known.
    std::int64_t endedTokens = 0; ///< Since windowStart.
    TimePoint windowStart;
    bool isMeasuring = false;
    TimePoint nextReview;
};

} // namespace Primrosefork
