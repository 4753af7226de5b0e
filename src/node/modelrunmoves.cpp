#include "modelrun.h"

#include "blackboard.h"
#include "hash.h"
#include "metrics.h"
#include "nodesettings.h"

#include <algorithm>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::milliseconds moveStallLimit = 1s; ///< Wait for the first token of a move; after it the move is abandoned if there is time for another one before the reclaim.
constexpr std::chrono::milliseconds moveRetryPeriod = 250ms; ///< Time until a move that found no server or was abandoned is tried again.

/** Returns the policy for moves to another engine: in the first half of the notice, so that a failed move can be retried. */
auto engineMovePolicy() -> const StreamMovePolicy&
{
    static const SpreadMovePolicy policy({ 0, 500 });
    return policy;
}

/** Returns the policy for answers that are handed back because this node leaves: in the second half of the notice, so that most of them finish before. */
auto handBackPolicy() -> const StreamMovePolicy&
{
    static const SpreadMovePolicy policy({ 500, 1000 });
    return policy;
}

} // namespace

auto ModelRun::describeStream(const ReclaimNotice& notice) -> MovingStream
{
    MovingStream stream;
    stream.hash = hash64(this->streamId);
    stream.tokensLeft = this->request.maxTokens - this->nextOffset;
    stream.tokenGap = this->first ? this->first->pace().tokenGap() : StreamPace({}, 0).tokenGap();
    stream.deadline = notice.deadline;
    stream.abandonedMoves = this->abandonedMoves;
    return stream;
}

auto ModelRun::planMove() -> void
{
    if (this->hasEnded || !this->first || this->second)
        return;
    const auto& notices = this->context.blackboard.reclaimNotices.value();
    const auto notice = notices.find(this->first->backendServer().id);
    if (notice == notices.end())
        return;
    const auto now = EventLoop::now();
    auto stream = this->describeStream(notice->second);
    stream.noticed = this->engineNoticeTime.value_or(now);
    this->engineNoticeTime = stream.noticed;
    const auto decision = engineMovePolicy().decide(stream, now);
    if (decision.action != MoveAction::MoveNow)
        return this->moveTimer.start(timerDelay(decision.when - now));
    this->moveTimer.start(this->startSecond(SecondReason::Reclaim) ? moveStallLimit : moveRetryPeriod);
}

auto ModelRun::moveTimerFired() -> void
{
    if (this->second && this->secondReason == SecondReason::Reclaim && this->first) {
        const auto& notices = this->context.blackboard.reclaimNotices.value();
        const auto notice = notices.find(this->first->backendServer().id);
        if (notice == notices.end() || !engineMovePolicy().mayAbandon(this->describeStream(notice->second), EventLoop::now()))
            return;
        this->context.metrics.count("moves_abandoned_total");
        ++this->abandonedMoves;
        this->failedServers.insert(this->second->backendServer().id);
        this->dropSecond();
        this->deliverReady();
        return this->moveTimer.start(moveRetryPeriod);
    }
    if (this->second)
        return this->moveTimer.start(moveRetryPeriod);
    this->planMove();
}

auto ModelRun::planHandBack() -> void
{
    const auto& notices = this->context.blackboard.reclaimNotices.value();
    const auto notice = notices.find(this->context.settings.id);
    if (this->hasEnded || notice == notices.end())
        return;
    const auto now = EventLoop::now();
    auto stream = this->describeStream(notice->second);
    stream.noticed = this->nodeNoticeTime.value_or(now);
    this->nodeNoticeTime = stream.noticed;
    const auto decision = handBackPolicy().decide(stream, now);
    if (decision.action == MoveAction::MoveNow)
        return this->handBack();
    this->handBackTimer.start(timerDelay(decision.when - now));
}

} // namespace Primrosefork
