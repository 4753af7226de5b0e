#include "streammovepolicy.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto safetyMargin = 1s; ///< Time before the deadline by which a stream must have left, as notices and clocks may be late.
constexpr auto lastMoveLead = 1s; ///< Time before the safety margin by which a move must begin to be sure to complete.
constexpr auto decisionPeriod = 500ms; ///< Time between two decisions on a stream that is expected to finish in time.
constexpr std::int64_t finishTimePercent = 125; ///< Factor on the time to finish, in percent, as a stream may slow down when others arrive.
constexpr int maxAbandonedMoves = 2;
constexpr std::int64_t thousandths = 1000;
constexpr std::uint64_t windowPositions = 1024; ///< Number of evenly spaced times in the window at which moves are scheduled.

auto finishTime(const MovingStream& stream) -> std::chrono::microseconds
{
    constexpr std::int64_t percent = 100;
    return stream.tokenGap * stream.tokensLeft * finishTimePercent / percent;
}

} // namespace

SpreadMovePolicy::SpreadMovePolicy(MoveWindow window)
    : window(window)
{
}

auto SpreadMovePolicy::scheduledTime(const MovingStream& stream) const -> TimePoint
{
    const auto last = stream.deadline - safetyMargin - lastMoveLead;
    if (stream.abandonedMoves >= maxAbandonedMoves)
        return last;
    const auto span = std::max<std::chrono::nanoseconds>(last - stream.noticed, 0ns);
    const auto position = static_cast<std::int64_t>(stream.hash % windowPositions);
    const auto begin = span * this->window.begin / thousandths;
    const auto width = span * (this->window.end - this->window.begin) / thousandths;
    return stream.noticed + begin + width * position / static_cast<std::int64_t>(windowPositions);
}

auto SpreadMovePolicy::decide(const MovingStream& stream, TimePoint now) const -> MoveDecision
{
    if (now + finishTime(stream) <= stream.deadline - safetyMargin)
        return { MoveAction::Stay, now + decisionPeriod };
    const auto moveTime = this->scheduledTime(stream);
    if (moveTime <= now)
        return { MoveAction::MoveNow, now };
    return { MoveAction::MoveLater, moveTime };
}

auto SpreadMovePolicy::mayAbandon(const MovingStream& stream, TimePoint now) const -> bool
{
    return now < stream.deadline - safetyMargin - lastMoveLead && stream.abandonedMoves < maxAbandonedMoves;
}

} // namespace Primrosefork
