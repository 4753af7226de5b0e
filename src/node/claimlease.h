#pragma once

#include "keyvaluestore.h"

#include <chrono>
#include <functional>
#include <system_error>
#include <vector>

namespace Primrosefork {

/**
 * The lease that the claims of one node are written with, so that the store
 * deletes old claims without a write for each.
 *
 * A lease is used for new claims during one period and never renewed. Its
 * duration is the period plus the retention, so that every claim is kept for at
 * least the retention.
 */
class ClaimLease {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Handler = std::function<void(std::error_code, LeaseId)>;

    ClaimLease(KeyValueStore&, std::chrono::milliseconds retention);

    /** Passes the lease of the period that contains \a now to the handler; requests a new lease from the store when there is none. */
    auto acquire(TimePoint now, Handler) -> void;

    /** Stops using \a lease, which has expired in the store. */
    auto discard(LeaseId lease) -> void;

private:
    auto leaseGranted(std::error_code, LeaseId, TimePoint requested) -> void;

    KeyValueStore& store;
    std::chrono::milliseconds retention;
    std::chrono::milliseconds period; ///< Time during which new claims use the same lease.
    LeaseId lease = 0; ///< Current lease; 0 when a new one must be requested.
    TimePoint periodEnd; ///< Time from which new claims need a new lease.
    std::vector<Handler> pendingHandlers; ///< Handlers waiting for the store to grant a lease.
};

} // namespace Primrosefork
