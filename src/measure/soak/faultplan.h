#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** What a fault is brought about at. */
enum class FaultTarget : std::uint8_t {
    Node,
    Server,
    Store,
    Operator, ///< The operator's configuration.
    Load, ///< What callers send.
};

/** A kind of fault that a plan can contain. */
struct FaultKind {
    const char* name;
    FaultTarget target;
    std::chrono::milliseconds shortest;
    std::chrono::milliseconds longest;
};

/** Returns all kinds of faults. */
[[nodiscard]] auto faultKinds() -> const std::vector<FaultKind>&;

/** One fault of a plan. */
struct PlannedFault {
    std::chrono::milliseconds at { 0 }; ///< Since the start of the run.
    std::string kind;
    std::size_t target = 0; ///< Index of the node or server.
    std::chrono::milliseconds duration { 0 };

    /** Returns the fault as one line of JSON. */
    [[nodiscard]] auto toJson() const -> std::string;

    auto operator==(const PlannedFault&) const -> bool = default;
};

/** What a plan is drawn from. */
struct PlanOptions {
    std::uint32_t seed = 1;
    std::chrono::milliseconds length { 0 };
    std::size_t nodes = 3;
    std::size_t servers = 8;
    std::vector<std::string> only; ///< Kinds to keep; all when empty.
    std::chrono::milliseconds until { 0 }; ///< Faults at and after this moment are left out; 0 keeps all.
};

/** Blocks of a plan begin with faults and end with a time without any. */
constexpr std::chrono::milliseconds blockLength { 36'000 };

/** Part of a block in which faults begin. */
constexpr std::chrono::milliseconds faultTime { 18'000 };

/**
 * Returns the faults of a run in the order of their beginning. The same options
 * make the same plan; "only" and "until" leave faults out of it and move none.
 */
[[nodiscard]] auto makePlan(const PlanOptions&) -> std::vector<PlannedFault>;

/** Returns a random generator for the part of a run called \a name. */
[[nodiscard]] auto makeGenerator(std::uint32_t seed, const std::string& name) -> std::mt19937;

/** Returns the first of \a names that is no kind of fault, or an empty text. */
[[nodiscard]] auto findUnknownKind(const std::vector<std::string>& names) -> std::string;

} // namespace Primrosefork::Measure
