#pragma once

#include "keyvaluestore.h"

#include <chrono>
#include <functional>
#include <system_error>
#include <vector>

namespace Primrosefork {

/**
 * The store's lease that the claims of one node hang on, so that old claims are
 * deleted without a write for each.
 *
 * A lease is used for one slice of time and never renewed. It lasts for the
 * slice and the retention, so that a claim is kept for the retention at least.
 */
class ClaimLease {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Handler = std::function<void(std::error_code, LeaseId)>;

    ClaimLease(KeyValueStore&, std::chrono::milliseconds retention);

    /** Gives the lease of the slice that \a now falls into, and asks the store for it when there is none. */
    auto acquire(TimePoint now, Handler) -> void;

    /** Uses \a lease no longer, which the store does not know any more. */
    auto forget(LeaseId lease) -> void;

private:
    auto granted(std::error_code, LeaseId, TimePoint asked) -> void;

    KeyValueStore& store;
    std::chrono::milliseconds retention;
    std::chrono::milliseconds slice;
    LeaseId lease = 0;
    TimePoint sliceEnd;
    std::vector<Handler> waiting; ///< For the store's answer.
};

} // namespace Primrosefork
