#pragma once

#include "servicetemplate.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * The properties of a request on which an admission policy decides.
 */
struct AdmissionRequest {
    std::uint64_t id = 0; ///< Id of the request, unique on this node while it waits or runs.
    std::string workspace;
    std::string service;
    std::int64_t weight = 1; ///< Weight of the workspace when capacity is shared.
    WorkClass workClass = WorkClass::Short;
    std::int64_t priority = 5;
    std::int64_t tokens = 0; ///< Tokens of the prompt and of the expected answer; 0 for a call of a plain service.
    std::int64_t tokensPerSecond = 0; ///< Token rate limit of the service; 0 means no limit.
    std::chrono::steady_clock::time_point deadline;
};

/** The outcome of a submitted request. */
enum class AdmissionOutcome {
    Admitted,
    Overloaded, ///< The request cannot start before its deadline, or too many requests wait or run.
    OverLimit, ///< The service has used up its token limit or its spending limit.
};

/** The decision on one request. */
struct AdmissionVerdict {
    std::uint64_t id = 0;
    AdmissionOutcome outcome = AdmissionOutcome::Admitted;

    auto operator==(const AdmissionVerdict&) const -> bool = default;
};

/**
 * The capacity of the backend servers.
 */
struct AdmissionCapacity {
    std::int64_t slots = 0; ///< Sum of the slots of all engines; 0 when they report no limit.
    std::size_t nodes = 1; ///< Number of nodes that share the slots.
};

/**
 * Decides which requests run now, which wait and which are refused.
 *
 * Requests are submitted, and advance() returns the verdicts that are due. Each
 * request gets one verdict unless it is withdrawn first. The node calls ended()
 * when an admitted request ends.
 */
class AdmissionPolicy {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~AdmissionPolicy() = default;

    /** Sets the capacity of the backend servers. */
    virtual auto setCapacity(const AdmissionCapacity&, TimePoint) -> void { }

    virtual auto submit(const AdmissionRequest&, TimePoint now) -> void = 0;

    /** Removes the request \a id, whose verdict is no longer needed: its caller disconnected, or the node is leaving. */
    virtual auto withdraw(std::uint64_t id) -> void = 0;

    /** Records that the admitted request \a id ended after \a tokens tokens. */
    virtual auto ended(std::uint64_t id, std::int64_t tokens, TimePoint now) -> void = 0;

    /** Returns the verdicts that are due at \a now. */
    virtual auto advance(TimePoint now) -> std::vector<AdmissionVerdict> = 0;

    /** Returns how many requests wait for a verdict, or have one that advance() has not returned yet. */
    [[nodiscard]] virtual auto waitingCount() const -> std::size_t = 0;
};

/**
 * Admits requests while fewer than a fixed number run and refuses all others; the
 * baseline for comparisons.
 */
class CountAdmissionPolicy : public AdmissionPolicy {
public:
    explicit CountAdmissionPolicy(std::size_t maxRunning);

    auto submit(const AdmissionRequest&, TimePoint now) -> void override;
    auto withdraw(std::uint64_t id) -> void override;
    auto ended(std::uint64_t id, std::int64_t tokens, TimePoint now) -> void override;
    auto advance(TimePoint now) -> std::vector<AdmissionVerdict> override;
    [[nodiscard]] auto waitingCount() const -> std::size_t override { return this->verdicts.size(); }

private:
    std::size_t maxRunning;
    std::size_t running = 0;
    std::vector<AdmissionVerdict> verdicts; ///< Verdicts that the next advance() returns.
};

} // namespace Primrosefork
