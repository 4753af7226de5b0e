#include "storeclaim.h"

#include "claimdecision.h"
#include "claimlease.h"
#include "errors.h"
#include "eventlog.h"
#include "hash.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t writeIdBytes = 16;
constexpr std::chrono::milliseconds firstRetryDelay = 20ms;
constexpr std::chrono::milliseconds longestRetryDelay = 1s; ///< While a caller waits.
constexpr std::chrono::milliseconds longestSettlingDelay = 10s;
constexpr std::chrono::milliseconds settlingLimit = 10min; ///< After which a record stays as it is.
constexpr std::chrono::milliseconds ownerGrace = 1s; ///< For an outcome to reach the store after its call's deadline.
constexpr std::chrono::milliseconds longestWatch = 10s;

} // namespace

StoreClaim::StoreClaim(const StoreClaimContext& context, ClaimRequest request, ClaimKeeper::Handler handler, std::function<void()> over)
    : context(context)
    , request(std::move(request))
    , handler(std::move(handler))
    , over(std::move(over))
    , limitTimer(context.loop, [this] { this->limitReached(); })
    , retryTimer(context.loop, [this] { this->retryNow(); })
{
    this->record.node = context.node;
    this->record.writeId = randomHex(writeIdBytes);
    this->record.digest = this->request.digest;
    this->record.remaining = this->timeUntil(this->request.deadline);
}

auto StoreClaim::begin() -> void
{
    this->limitTimer.start(std::min(this->context.wait, this->timeUntil(this->request.deadline)));
    this->acquireLease();
}

auto StoreClaim::refuse() -> void
{
    this->context.loop.post([self = this->shared_from_this()] { self->conclude(ClaimVerdict::Unavailable, {}); });
}

auto StoreClaim::timeUntil(EventLoop::TimePoint moment) const -> std::chrono::milliseconds
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(moment - EventLoop::now());
    return std::max(remaining, 1ms);
}

auto StoreClaim::acquireLease() -> void
{
    this->context.lease.acquire(EventLoop::now(), [self = this->shared_from_this()](std::error_code error, LeaseId granted) {
        if (self->phase != Phase::Claiming)
            return;
        if (error)
            return self->retry();
        self->lease = granted;
        self->write();
    });
}

auto StoreClaim::write() -> void
{
    if (this->isAbandoned)
        return this->retry();
    this->isWriting = true;
    this->context.store.compareAndSwap({ this->request.key, this->revision, encodeClaim(this->record), this->lease },
        [self = this->shared_from_this()](std::error_code error, const StoreSwapResult& result) { self->written(error, result); });
}

auto StoreClaim::written(std::error_code error, const StoreSwapResult& result) -> void
{
    this->isWriting = false;
    if (this->phase != Phase::Claiming)
        return;
    if (error) {
        this->mayHaveWritten = this->mayHaveWritten || error != Error::ConnectionFailed;
        return this->retry();
    }
    if (result.isSwapped)
        return this->granted(result.current);
    if (result.current.revision == this->revision) {
        // Refused though the revision is the one expected: the lease has ended.
        this->context.lease.forget(this->lease);
        this->lease = 0;
        return this->retry();
    }
    this->examine(result.current);
}

auto StoreClaim::readBack() -> void
{
    this->context.store.get(this->request.key, [self = this->shared_from_this()](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (self->phase != Phase::Claiming)
            return;
        if (error)
            return self->retry();
        if (entry)
            return self->examine(*entry);
        self->revision = 0;
        self->write();
    });
}

auto StoreClaim::examine(const StoreEntry& entry) -> void
{
    if (entry.revision == 0) {
        this->revision = 0;
        return this->retry();
    }
    const auto found = decodeClaim(entry.value);
    const auto decision = decideClaim(found, this->record.writeId, this->request.digest);
    if (decision == ClaimDecision::Own)
        return this->granted(entry);
    if (this->isAbandoned)
        return this->finish();
    switch (decision) {
    case ClaimDecision::TakeOver:
        this->phase = Phase::Claiming;
        this->revision = entry.revision;
        this->limitTimer.start(std::min(this->context.wait, this->timeUntil(this->request.deadline)));
        return this->lease == 0 ? this->acquireLease() : this->write();
    case ClaimDecision::Wait:
        return this->waitForOutcome(entry, *found);
    case ClaimDecision::Replay:
        return this->conclude(ClaimVerdict::Answered, *found);
    case ClaimDecision::Refuse:
        return this->conclude(ClaimVerdict::KeyReused, *found);
    case ClaimDecision::Own:
    case ClaimDecision::Undecided:
        break;
    }
    if (!found)
        this->context.log.write(Event::ClaimUnreadable, { { "key", entry.key } });
    this->conclude(ClaimVerdict::Unknown, {});
}

auto StoreClaim::granted(const StoreEntry& entry) -> void
{
    this->limitTimer.stop();
    this->revision = entry.revision;
    this->phase = Phase::Held;
    if (this->isAbandoned)
        return this->beginSettling(ClaimState::NotRun);
    const auto notify = std::exchange(this->handler, nullptr);
    // The process may have been paused since the claim was written.
    if (EventLoop::now() >= this->request.deadline) {
        this->beginSettling(ClaimState::NotRun);
        return notify({ ClaimVerdict::Late, this->record });
    }
    notify({ ClaimVerdict::Granted, this->record });
}

auto StoreClaim::waitForOutcome(const StoreEntry& entry, const ClaimRecord& found) -> void
{
    if (this->phase != Phase::Waiting)
        this->ownerEnd = EventLoop::now() + found.remaining + ownerGrace;
    this->phase = Phase::Waiting;
    this->revision = entry.revision;
    this->limitTimer.start(std::min(this->timeUntil(this->request.deadline), this->timeUntil(this->ownerEnd)));
    this->watchOutcome();
}

auto StoreClaim::watchOutcome() -> void
{
    const auto wait = std::min(longestWatch, this->timeUntil(std::min(this->request.deadline, this->ownerEnd)));
    this->context.store.watch(this->request.key, this->revision, wait,
        [self = this->shared_from_this()](std::error_code error, const StoreListing& listing) {
            if (self->phase != Phase::Waiting)
                return;
            if (!error && !listing.entries.empty())
                return self->examine(listing.entries.front());
            self->retry();
        });
}

auto StoreClaim::retry() -> void
{
    const auto longest = this->handler ? longestRetryDelay : longestSettlingDelay;
    this->retryDelay = std::clamp(this->retryDelay * 2, firstRetryDelay, longest);
    this->retryTimer.start(this->retryDelay);
}

auto StoreClaim::retryNow() -> void
{
    switch (this->phase) {
    case Phase::Claiming:
        if (this->mayHaveWritten)
            return this->readBack();
        return this->lease == 0 ? this->acquireLease() : this->write();
    case Phase::Waiting:
        return this->watchOutcome();
    case Phase::Settling:
        return this->writeOutcome();
    case Phase::Held:
    case Phase::Over:
        break;
    }
}

auto StoreClaim::limitReached() -> void
{
    if (this->phase == Phase::Settling || this->isAbandoned) {
        this->context.log.write(Event::OutcomeNotKept, { { "key", this->request.key } });
        return this->finish();
    }
    if (this->phase == Phase::Waiting) {
        const auto isLate = this->request.deadline <= this->ownerEnd;
        return this->conclude(isLate ? ClaimVerdict::TimedOut : ClaimVerdict::Unknown, {});
    }
    const auto notify = std::exchange(this->handler, nullptr);
    this->abandon();
    notify({ ClaimVerdict::Unavailable, {} });
}

auto StoreClaim::abandon() -> void
{
    this->handler = nullptr;
    this->isAbandoned = true;
    if (this->phase == Phase::Held)
        return this->beginSettling(ClaimState::NotRun);
    this->mayHaveWritten = this->mayHaveWritten || this->isWriting;
    if (this->phase != Phase::Claiming || !this->mayHaveWritten)
        return this->finish();
    this->limitTimer.start(settlingLimit);
    this->retry();
}

auto StoreClaim::release(std::function<void()> done) -> void
{
    this->releaseDone = std::move(done);
    this->beginSettling(ClaimState::NotRun);
}

auto StoreClaim::settle(KeptAnswer answer) -> void
{
    this->record.answer = std::move(answer);
    this->beginSettling(ClaimState::Answered);
}

auto StoreClaim::settleUnknown() -> void
{
    this->beginSettling(ClaimState::Unknown);
}

auto StoreClaim::beginSettling(ClaimState state) -> void
{
    this->phase = Phase::Settling;
    this->record.state = state;
    this->retryDelay = 0ms;
    this->retryTimer.stop();
    this->limitTimer.start(settlingLimit);
    this->writeOutcome();
}

auto StoreClaim::writeOutcome() -> void
{
    this->context.store.compareAndSwap({ this->request.key, this->revision, encodeClaim(this->record), this->lease },
        [self = this->shared_from_this()](std::error_code error, const StoreSwapResult& result) { self->outcomeWritten(error, result); });
}

auto StoreClaim::outcomeWritten(std::error_code error, const StoreSwapResult& result) -> void
{
    if (this->phase != Phase::Settling)
        return;
    if (const auto done = std::exchange(this->releaseDone, nullptr))
        done();
    if (error)
        return this->retry();
    // A release that took effect before may have been followed by another node's claim.
    if (!result.isSwapped && this->record.state != ClaimState::NotRun && !this->holdsOutcome(result.current))
        this->context.log.write(Event::OutcomeNotKept, { { "key", this->request.key } });
    this->finish();
}

auto StoreClaim::holdsOutcome(const StoreEntry& entry) const -> bool
{
    const auto found = decodeClaim(entry.value);
    return found && found->writeId == this->record.writeId && found->state == this->record.state;
}

auto StoreClaim::conclude(ClaimVerdict verdict, const ClaimRecord& found) -> void
{
    const auto notify = std::exchange(this->handler, nullptr);
    this->finish();
    if (notify)
        notify({ verdict, found });
}

auto StoreClaim::finish() -> void
{
    this->limitTimer.stop();
    this->retryTimer.stop();
    this->phase = Phase::Over;
    if (const auto ended = std::exchange(this->over, nullptr))
        ended();
}

} // namespace Primrosefork
