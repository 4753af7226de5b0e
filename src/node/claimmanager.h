#pragma once

#include "claimrecord.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Primrosefork {

/** A call for which a claim is requested. */
struct ClaimRequest {
    std::string key; ///< Key of the claim's record in the store, from claimKey().
    std::string digest; ///< Digest of route and body, from callDigest().
    std::chrono::steady_clock::time_point deadline; ///< Time after which the node does not send the call any more.
};

/** Result of the request to claim a call. */
enum class ClaimVerdict {
    Granted, ///< The call may be sent until its deadline.
    Answered, ///< The call was answered before; the record holds the answer.
    KeyReused, ///< The key belongs to a call with another route or body.
    Unknown, ///< The call may have been run; its outcome is not known and not awaited any longer.
    GrantedLate, ///< The claim was granted only after the deadline; nothing was sent, and no other node holds a claim.
    TimedOut, ///< Another node held the claim until the deadline; the call may have been run.
    Unavailable, ///< The store did not answer in time; nothing was sent for this request.
};

/** A verdict and the record of the call in the store. */
struct ClaimResult {
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    ClaimRecord record; ///< Record of the answered call; valid only for ClaimVerdict::Answered.
};

/**
 * A request for the exclusive right to send one call and, once granted, the
 * right itself.
 */
class Claim {
public:
    virtual ~Claim() = default;

    /** Records that nothing was sent; \a done is called after the first attempt to write the record, successful or not. */
    virtual auto release(std::function<void()> done) -> void = 0;

    /** Records that the call was answered, with the answer for later repetitions. */
    virtual auto recordAnswer(KeptAnswer) -> void = 0;

    /** Records that the call was sent but no answer was received. */
    virtual auto recordUnknown() -> void = 0;

    /** Cancels the request of a call that was not sent; its handler is not called any more. */
    virtual auto abandon() -> void = 0;
};

/**
 * Grants the right to send a call; at most one node ever sends it.
 */
class ClaimManager {
public:
    using Handler = std::function<void(const ClaimResult&)>;

    virtual ~ClaimManager() = default;

    /** Requests a claim for a call; \a handler is called once with the result, from the event loop. */
    virtual auto acquire(const ClaimRequest&, Handler handler) -> std::shared_ptr<Claim> = 0;
};

} // namespace Primrosefork
