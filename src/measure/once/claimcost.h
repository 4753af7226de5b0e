#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace Primrosefork::Measure {

/** Measured cost of one kind of call. */
struct CallCost {
    std::string name;
    std::size_t calls = 0;
    std::size_t failed = 0; ///< Calls without a successful answer.
    std::int64_t storeWrites = 0; ///< Writes that the store counted for all calls.
    std::int64_t storeReads = 0; ///< Reads and watches that the store counted for all calls.
    std::int64_t storeLeases = 0; ///< Lease calls that the store counted for all calls.
    std::chrono::microseconds median { 0 }; ///< Median duration of one call.
    std::chrono::microseconds percentile95 { 0 }; ///< 95th percentile of the duration of one call.
    std::chrono::milliseconds processorTime { 0 }; ///< Processor time that the node spent on all calls.
};

/** Size of the claims that a measurement left in the store. */
struct ClaimVolume {
    std::size_t records = 0;
    std::size_t bytes = 0; ///< Total size of keys and values.
};

/** Result of measureClaimCost(). */
struct ClaimCosts {
    std::vector<CallCost> kinds;
    ClaimVolume volume;
};

/**
 * Returns the cost of three kinds of calls, \a calls of each, made sequentially
 * without faults: idempotent, not idempotent, and repeated with a known key. The
 * store answers after \a storeDelay.
 */
[[nodiscard]] auto measureClaimCost(std::size_t calls, std::chrono::milliseconds storeDelay) -> ClaimCosts;

} // namespace Primrosefork::Measure
