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

constexpr std::chrono::milliseconds moveStallLimit = 1s; ///< For the first token of a move, while the old engine still speaks.
constexpr std::chrono::milliseconds moveRetryPeriod = 250ms;

/** Returns the policy for moves to another engine; early, so that a failed move can be tried again. */
auto enginePolicy() -> const StreamMovePolicy&
{
    static const SpreadMovePolicy policy({ 0, 500 });
    return policy;
}

/** Returns the policy for answers that are handed back because this node leaves; late, so that most finish. */
auto nodePolicy() -> const StreamMovePolicy&
{
    static const SpreadMovePolicy policy({ 500, 1000 });
    return policy;
}

} // namespace

auto ModelRun::movingStream(const ReclaimNotice& notice) -> MovingStream
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
    auto stream = this->movingStream(notice->second);
    stream.noticed = this->engineNoticed.value_or(now);
    this->engineNoticed = stream.noticed;
    const auto decision = enginePolicy().decide(stream, now);
    if (decision.action != MoveAction::MoveNow)
        return this->moveTimer.start(timerDelay(decision.when - now));
    this->moveTimer.start(this->startSecond(SecondReason::Reclaim) ? moveStallLimit : moveRetryPeriod);
}

auto ModelRun::moveTimerFired() -> void
{
    if (this->second && this->secondReason == SecondReason::Reclaim && this->first) {
        const auto& notices = this->context.blackboard.reclaimNotices.value();
        const auto notice = notices.find(this->first->backendServer().id);
        if (notice == notices.end() || !enginePolicy().mayAbandon(this->movingStream(notice->second), EventLoop::now()))
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

auto ModelRun::planLeave() -> void
{
    const auto& notices = this->context.blackboard.reclaimNotices.value();
    const auto notice = notices.find(this->context.settings.id);
    if (this->hasEnded || notice == notices.end())
        return;
    const auto now = EventLoop::now();
    auto stream = this->movingStream(notice->second);
    stream.noticed = this->nodeNoticed.value_or(now);
    this->nodeNoticed = stream.noticed;
    const auto decision = nodePolicy().decide(stream, now);
    if (decision.action == MoveAction::MoveNow)
        return this->handBack();
    this->leaveTimer.start(timerDelay(decision.when - now));
}

} // namespace Primrosefork
