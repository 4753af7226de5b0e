#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Primrosefork {

/** A request that waits for room at a service. */
struct WaitingRequest {
    using TimePoint = std::chrono::steady_clock::time_point;

    std::uint64_t id = 0;
    std::string requestId; ///< The caller's own id of the request, for the log.
    std::string service;
    std::string workspace;
    std::int64_t priority = 0; ///< From 0 (first).
    std::int64_t tokens = 0; ///< Size of its work in tokens; 0 when it is not known.
    std::size_t bytes = 0; ///< Memory that it holds.
    TimePoint received;
    TimePoint deadline;
    TimePoint objectiveStart; ///< Latest start with which the objective of its route is met.
    TimePoint latestStart; ///< Latest start with which it can be served before its deadline.
};

/**
 * Requests that wait for room, in bounded memory.
 *
 * The order is by priority, then by workspaces in turns (deficit round robin over
 * tokens), and within a workspace by benefit: requests that can still meet their
 * objective, then the others, oldest first. A request that has waited for a quarter
 * of the time between its arrival and its deadline takes part in the turns of
 * the highest priority that waits, before the others of its workspace.
 */
class AdmissionQueue {
public:
    using TimePoint = WaitingRequest::TimePoint;

    /** Result of add(). */
    struct Added {
        bool isAdded = false;
        std::vector<WaitingRequest> displaced; ///< Requests that were removed to make place.
    };

    AdmissionQueue(std::size_t maxRequests, std::size_t maxBytes);

    /** Adds a request. When the queue is full, a request of a lower priority or of a workspace with more waiting requests is displaced, if there is one. */
    auto add(const WaitingRequest&, TimePoint now) -> Added;

    /** Removes the request that starts next at \a service, or returns nothing if none waits. */
    auto take(const std::string& service, TimePoint now) -> std::optional<WaitingRequest>;

    /** Adds a request again that take() returned and that could not start; its workspace gets its turn back. */
    auto putBack(const WaitingRequest&, TimePoint now) -> void;

    /** Removes the request \a id. Returns whether it was waiting. */
    auto remove(std::uint64_t id) -> bool;

    /** Removes the requests that can no longer be served before their deadline, and returns them. */
    auto takeExpired(TimePoint now) -> std::vector<WaitingRequest>;

    [[nodiscard]] auto contains(std::uint64_t id) const -> bool { return this->entries.contains(id); }

    /** Returns the number of requests at \a service. */
    [[nodiscard]] auto count(const std::string& service) const -> std::size_t;

    /**
     * Returns about how many requests at \a service start before a new one of \a workspace with \a priority: those of
     * higher priorities, those of its workspace, and of each other workspace as many as get their turn meanwhile.
     */
    [[nodiscard]] auto countAhead(const std::string& service, const std::string& workspace, std::int64_t priority) const -> std::size_t;

    /** Returns the services at which requests wait. */
    [[nodiscard]] auto services() const -> std::vector<std::string>;

    [[nodiscard]] auto size() const -> std::size_t { return this->entries.size(); }
    [[nodiscard]] auto bytes() const -> std::size_t { return this->totalBytes; }

private:
    using Key = std::pair<TimePoint, std::uint64_t>;
    using Rank = std::tuple<std::int64_t, TimePoint, std::uint64_t>; ///< Priority, time of arrival, id.

    struct Class {
        std::set<Key> timely; ///< Requests that can still meet their objective, by arrival.
        std::set<Key> late; ///< The others.

        [[nodiscard]] auto size() const -> std::size_t { return this->timely.size() + this->late.size(); }
        [[nodiscard]] auto isEmpty() const -> bool { return this->timely.empty() && this->late.empty(); }
        [[nodiscard]] auto first() const -> std::uint64_t { return this->timely.empty() ? this->late.begin()->second : this->timely.begin()->second; }
    };

    /** The waiting requests of one workspace at one service. */
    struct Turn {
        std::int64_t deficit = 0; ///< Tokens that the workspace may still start in its turn.
        std::set<Key> overdue; ///< Requests that were deferred for as long as they may be, by arrival.
        std::map<std::int64_t, Class> classes; ///< The others, by priority.
    };

    struct ServiceQueue {
        std::map<std::string, Turn> turns; ///< By workspace.
        std::map<std::int64_t, std::size_t> counts; ///< Number of requests by priority.
        std::string current; ///< Workspace whose turn it is.
        std::size_t size = 0;
    };

    struct Entry {
        WaitingRequest request;
        bool isOverdue = false;
        bool isLate = false;
    };

    auto insert(const WaitingRequest&, TimePoint now) -> void;
    auto erase(std::unordered_map<std::uint64_t, Entry>::iterator) -> void;
    auto place(Entry&, TimePoint now) -> void;
    auto unplace(const Entry&) -> void;

    /** Moves requests whose objective or deferral has passed. */
    auto reorder(TimePoint now) -> void;

    /** Returns the request that starts next, and the rounds of turns until then. */
    [[nodiscard]] auto nextTurn(const ServiceQueue&) const -> std::optional<std::pair<std::uint64_t, std::int64_t>>;
    [[nodiscard]] auto victimFor(const WaitingRequest&) const -> std::optional<std::uint64_t>;
    [[nodiscard]] static auto headOf(const Turn&, std::int64_t priority) -> std::optional<std::uint64_t>;
    [[nodiscard]] static auto nextChange(const Entry&) -> std::optional<TimePoint>;

    std::size_t maxRequests;
    std::size_t maxBytes;
    std::size_t totalBytes = 0;
    std::unordered_map<std::uint64_t, Entry> entries;
    std::map<std::string, ServiceQueue> queues; ///< By service.
    std::map<std::string, std::set<Rank>> ranks; ///< Requests by workspace, in the reverse order of their displacement.
    std::set<Key> changes; ///< Times at which requests are reordered.
    std::set<Key> expiries; ///< Latest starts.
};

} // namespace Primrosefork
