#pragma once

#include "claimrecord.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Primrosefork {

/** A call that is to be claimed. */
struct ClaimRequest {
    std::string key; ///< Of the record, from claimKey().
    std::string digest;
    std::chrono::steady_clock::time_point deadline; ///< Its node sends nothing after this.
};

/** What became of the wish to claim a call. */
enum class ClaimVerdict {
    Granted, ///< The call may be sent until its deadline.
    Answered, ///< The call was answered before; the answer is in the record.
    KeyReused, ///< The key belongs to another call.
    Unknown, ///< The call may have been run, and this will not be told.
    Late, ///< The claim was there only after the deadline; nothing was sent and nobody else has the call.
    TimedOut, ///< Another node had the call until the deadline; it may have been run.
    Unavailable, ///< The store could not be asked; nothing was sent for this wish.
};

/** The verdict with what the store holds about the call. */
struct ClaimAnswer {
    ClaimVerdict verdict = ClaimVerdict::Unavailable;
    ClaimRecord record; ///< Of use for ClaimVerdict::Answered.
};

/**
 * The wish of one request to send its call, and when granted the right to it.
 */
class Claim {
public:
    virtual ~Claim() = default;

    /** Records that nothing was sent; \a done is called when that was tried once. */
    virtual auto release(std::function<void()> done) -> void = 0;

    /** Records that the call was answered. */
    virtual auto settle(KeptAnswer) -> void = 0;

    /** Records that the call was sent and its answer did not come. */
    virtual auto settleUnknown() -> void = 0;

    /** Forgets the wish, of which nothing was sent; no handler is called any more. */
    virtual auto abandon() -> void = 0;
};

/**
 * Gives the right to send a call to at most one node, ever.
 */
class ClaimKeeper {
public:
    using Handler = std::function<void(const ClaimAnswer&)>;

    virtual ~ClaimKeeper() = default;

    /** Wishes to send the call; \a handler is called once, from the loop. */
    virtual auto take(const ClaimRequest&, Handler handler) -> std::shared_ptr<Claim> = 0;
};

} // namespace Primrosefork
