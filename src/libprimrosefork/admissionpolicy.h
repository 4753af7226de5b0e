#pragma once

#include "servicetemplate.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * What an admission policy is told of one request.
 */
struct AdmissionRequest {
    std::uint64_t id = 0; ///< Unique on this node while the request waits or runs.
    std::string workspace;
    std::string service;
    std::int64_t weight = 1; ///< Share of the workspace.
    WorkClass workClass = WorkClass::Short;
    std::int64_t priority = 5;
    std::int64_t tokens = 0; ///< Prompt and expected answer.
    std::int64_t tokensPerSecond = 0; ///< Limit of the service; 0 is none.
    std::chrono::steady_clock::time_point deadline;
};

/** What became of a request that was submitted. */
enum class AdmissionOutcome {
    Admitted,
    Overloaded, ///< No place before its deadline, or none at all.
    OverLimit, ///< The service has used up its limit of tokens or spend.
};

/** The verdict on one request. */
struct AdmissionVerdict {
    std::uint64_t id = 0;
    AdmissionOutcome outcome = AdmissionOutcome::Admitted;

    auto operator==(const AdmissionVerdict&) const -> bool = default;
};

/**
 * What the backend servers can take.
 */
struct AdmissionCapacity {
    std::int64_t slots = 0; ///< Of all engines; 0 when they give no limit.
    std::size_t nodes = 1; ///< That share them.
};

/**
 * Decides which requests run now, which wait and which are refused.
 *
 * Requests are submitted; advance() gives the verdicts that are due. Each
 * request gets one verdict, and after Admitted the node reports its end.
 */
class AdmissionPolicy {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~AdmissionPolicy() = default;

    /** Tells the policy what the backend servers can take from now on. */
    virtual auto setCapacity(const AdmissionCapacity&, TimePoint) -> void { }

    virtual auto submit(const AdmissionRequest&, TimePoint now) -> void = 0;

    /** The caller of request \a id went away while it waited. */
    virtual auto withdraw(std::uint64_t id) -> void = 0;

    /** The admitted request \a id ended after \a tokens tokens. */
    virtual auto ended(std::uint64_t id, std::int64_t tokens, TimePoint now) -> void = 0;

    /** Returns the verdicts that are due at \a now. */
    virtual auto advance(TimePoint now) -> std::vector<AdmissionVerdict> = 0;

    /** Returns how many requests wait. */
    [[nodiscard]] virtual auto waitingCount() const -> std::size_t = 0;
};

/**
 * Admits every request at once as long as fewer than a fixed number run; the
 * baseline.
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
    std::vector<AdmissionVerdict> verdicts; ///< Given by the next advance().
};

} // namespace Primrosefork
