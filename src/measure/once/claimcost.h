#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** What one kind of call cost. */
struct CallCost {
    std::string name;
    std::size_t calls = 0;
    std::size_t failed = 0;
    std::int64_t storeWrites = 0;
    std::int64_t storeReads = 0; ///< Watches too.
    std::int64_t storeLeases = 0;
    std::chrono::microseconds median { 0 };
    std::chrono::microseconds slow { 0 }; ///< 95 of 100 were faster.
    std::chrono::milliseconds processorTime { 0 }; ///< Of the node, for all calls.
};

/** What the claims of a measurement left in the store. */
struct ClaimVolume {
    std::size_t records = 0;
    std::size_t bytes = 0; ///< Of keys and values.
};

/** What measureClaimCost() found. */
struct ClaimCosts {
    std::vector<CallCost> kinds;
    ClaimVolume volume;
};

/**
 * Measures calls one after the other without faults: idempotent, not
 * idempotent, and asked again. The store answers after \a storeDelay.
 */
[[nodiscard]] auto measureClaimCost(std::size_t calls, std::chrono::milliseconds storeDelay) -> ClaimCosts;

} // namespace Primrosefork::Measure
