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
constexpr std::chrono::milliseconds maxClaimRetryDelay = 1s; ///< Longest delay between retries while a caller waits.
constexpr std::chrono::milliseconds maxOutcomeRetryDelay = 10s; ///< Longest delay between retries when no caller waits.
constexpr std::chrono::milliseconds recordingLimit = 10min; ///< Time after which writing an outcome or releasing an abandoned claim is given up and the record stays unchanged.
constexpr std::chrono::milliseconds outcomeGracePeriod = 1s; ///< Time allowed for an outcome to reach the store after the deadline of its call.
constexpr std::chrono::milliseconds maxWatchDuration = 10s;

} // namespace

StoreClaim::StoreClaim(const StoreClaimContext& context, ClaimRequest request, ClaimManager::Handler handler, std::function<void()> onFinished)
    : context(context)
    , request(std::move(request))
    , handler(std::move(handler))
    , onFinished(std::move(onFinished))
    , limitTimer(context.loop, [this] { this->timeLimitReached(); })
    , retryTimer(context.loop, [this] { this->retryNow(); })
{
    this->record.node = context.node;
    this->record.writeId = randomHex(writeIdBytes);
    this->record.digest = this->request.digest;
    this->record.remaining = this->timeUntil(this->request.deadline);
}

auto StoreClaim::begin() -> void
{
    this->limitTimer.start(std::min(this->context.claimTimeout, this->timeUntil(this->request.deadline)));
    this->acquireLease();
}

auto StoreClaim::refuse() -> void
{
    this->context.loop.post([self = this->shared_from_this()] { self->reportVerdict(ClaimVerdict::Unavailable, {}); });
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
        self->writeClaim();
    });
}

auto StoreClaim::writeClaim() -> void
{
    if (this->isAbandoned)
        return this->retry();
    this->isWriting = true;
    this->context.store.compareAndSwap({ this->request.key, this->revision, encodeClaim(this->record), this->lease },
        [self = this->shared_from_this()](std::error_code error, const StoreSwapResult& result) { self->claimWritten(error, result); });
}

auto StoreClaim::claimWritten(std::error_code error, const StoreSwapResult& result) -> void
{
    this->isWriting = false;
    if (this->phase != Phase::Claiming)
        return;
    if (error) {
        this->mayHaveWritten = this->mayHaveWritten || error != Error::ConnectionFailed;
        return this->retry();
    }
    if (result.isSwapped)
        return this->claimGranted(result.current);
    if (result.current.revision == this->revision) {
        // The write was refused although the revision matches, so the lease has expired.
        this->context.lease.discard(this->lease);
        this->lease = 0;
        return this->retry();
    }
    this->evaluateRecord(result.current);
}

auto StoreClaim::readBack() -> void
{
    this->context.store.get(this->request.key, [self = this->shared_from_this()](std::error_code error, const std::optional<StoreEntry>& entry) {
        if (self->phase != Phase::Claiming)
            return;
        if (error)
            return self->retry();
        if (entry)
            return self->evaluateRecord(*entry);
        self->revision = 0;
        self->writeClaim();
    });
}

auto StoreClaim::evaluateRecord(const StoreEntry& entry) -> void
{
    if (entry.revision == 0) {
        this->revision = 0;
        return this->retry();
    }
    const auto found = decodeClaim(entry.value);
    const auto decision = decideClaim(found, this->record.writeId, this->request.digest);
    if (decision == ClaimDecision::Own)
        return this->claimGranted(entry);
    if (this->isAbandoned)
        return this->finish();
    switch (decision) {
    case ClaimDecision::TakeOver:
        this->phase = Phase::Claiming;
        this->revision = entry.revision;
        this->limitTimer.start(std::min(this->context.claimTimeout, this->timeUntil(this->request.deadline)));
        return this->lease == 0 ? this->acquireLease() : this->writeClaim();
    case ClaimDecision::Wait:
        return this->waitForOutcome(entry, *found);
    case ClaimDecision::Replay:
        return this->reportVerdict(ClaimVerdict::Answered, *found);
    case ClaimDecision::Refuse:
        return this->reportVerdict(ClaimVerdict::KeyReused, *found);
    case ClaimDecision::Own:
    case ClaimDecision::Undecided:
        break;
    }
    if (!found)
        this->context.log.write(Event::ClaimUnreadable, { { "key", entry.key } });
    this->reportVerdict(ClaimVerdict::Unknown, {});
}

auto StoreClaim::claimGranted(const StoreEntry& entry) -> void
{
    this->limitTimer.stop();
    this->revision = entry.revision;
    this->phase = Phase::Held;
    if (this->isAbandoned)
        return this->beginRecording(ClaimState::NotRun);
    const auto notify = std::exchange(this->handler, nullptr);
    // The deadline is checked again because the process may have been paused since the claim was written.
    if (EventLoop::now() >= this->request.deadline) {
        this->beginRecording(ClaimState::NotRun);
        return notify({ ClaimVerdict::GrantedLate, this->record });
    }
    notify({ ClaimVerdict::Granted, this->record });
}

auto StoreClaim::waitForOutcome(const StoreEntry& entry, const ClaimRecord& found) -> void
{
    if (this->phase != Phase::Waiting)
        this->ownerExpiry = EventLoop::now() + found.remaining + outcomeGracePeriod;
    this->phase = Phase::Waiting;
    this->revision = entry.revision;
    this->limitTimer.start(std::min(this->timeUntil(this->request.deadline), this->timeUntil(this->ownerExpiry)));
    this->watchOutcome();
}

auto StoreClaim::watchOutcome() -> void
{
    const auto wait = std::min(maxWatchDuration, this->timeUntil(std::min(this->request.deadline, this->ownerExpiry)));
    this->context.store.watch(this->request.key, this->revision, wait,
        [self = this->shared_from_this()](std::error_code error, const StoreListing& listing) {
            if (self->phase != Phase::Waiting)
                return;
            if (!error && !listing.entries.empty())
                return self->evaluateRecord(listing.entries.front());
            self->retry();
        });
}

auto StoreClaim::retry() -> void
{
    const auto longest = this->handler ? maxClaimRetryDelay : maxOutcomeRetryDelay;
    this->retryDelay = std::clamp(this->retryDelay * 2, firstRetryDelay, longest);
    this->retryTimer.start(this->retryDelay);
}

auto StoreClaim::retryNow() -> void
{
    switch (this->phase) {
    case Phase::Claiming:
        if (this->mayHaveWritten)
            return this->readBack();
        return this->lease == 0 ? this->acquireLease() : this->writeClaim();
    case Phase::Waiting:
        return this->watchOutcome();
    case Phase::Recording:
        return this->writeOutcome();
    case Phase::Held:
    case Phase::Finished:
        break;
    }
}

auto StoreClaim::timeLimitReached() -> void
{
    if (this->phase == Phase::Recording || this->isAbandoned) {
        this->context.log.write(Event::OutcomeNotKept, { { "key", this->request.key } });
        return this->finish();
    }
    if (this->phase == Phase::Waiting) {
        const auto isLate = this->request.deadline <= this->ownerExpiry;
        return this->reportVerdict(isLate ? ClaimVerdict::TimedOut : ClaimVerdict::Unknown, {});
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
        return this->beginRecording(ClaimState::NotRun);
    this->mayHaveWritten = this->mayHaveWritten || this->isWriting;
    if (this->phase != Phase::Claiming || !this->mayHaveWritten)
        return this->finish();
    this->limitTimer.start(recordingLimit);
    this->retry();
}

auto StoreClaim::release(std::function<void()> done) -> void
{
    this->releaseDone = std::move(done);
    this->beginRecording(ClaimState::NotRun);
}

auto StoreClaim::recordAnswer(KeptAnswer answer) -> void
{
    this->record.answer = std::move(answer);
    this->beginRecording(ClaimState::Answered);
}

auto StoreClaim::recordUnknown() -> void
{
    this->beginRecording(ClaimState::Unknown);
}

auto StoreClaim::beginRecording(ClaimState state) -> void
{
    this->phase = Phase::Recording;
    this->record.state = state;
    this->retryDelay = 0ms;
    this->retryTimer.stop();
    this->limitTimer.start(recordingLimit);
    this->writeOutcome();
}

auto StoreClaim::writeOutcome() -> void
{
    this->context.store.compareAndSwap({ this->request.key, this->revision, encodeClaim(this->record), this->lease },
        [self = this->shared_from_this()](std::error_code error, const StoreSwapResult& result) { self->outcomeWritten(error, result); });
}

auto StoreClaim::outcomeWritten(std::error_code error, const StoreSwapResult& result) -> void
{
    if (this->phase != Phase::Recording)
        return;
    if (const auto done = std::exchange(this->releaseDone, nullptr))
        done();
    if (error)
        return this->retry();
    // A record that differs after a release is no fault: an earlier write of the release may have taken effect, and another node may have claimed the call since.
    if (!result.isSwapped && this->record.state != ClaimState::NotRun && !this->holdsOutcome(result.current))
        this->context.log.write(Event::OutcomeNotKept, { { "key", this->request.key } });
    this->finish();
}

auto StoreClaim::holdsOutcome(const StoreEntry& entry) const -> bool
{
    const auto found = decodeClaim(entry.value);
    return found && found->writeId == this->record.writeId && found->state == this->record.state;
}

auto StoreClaim::reportVerdict(ClaimVerdict verdict, const ClaimRecord& found) -> void
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
    this->phase = Phase::Finished;
    if (const auto ended = std::exchange(this->onFinished, nullptr))
        ended();
}

} // namespace Primrosefork
