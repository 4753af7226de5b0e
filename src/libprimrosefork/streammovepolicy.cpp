#include "streammovepolicy.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto safetyMargin = 1s; ///< Before the deadline; notices and clocks are late.
constexpr auto lastMoveTime = 1s; ///< Before the margin; the last move that is sure to be whole.
constexpr auto reviewPeriod = 500ms; ///< Between two looks at a stream that seems to finish in time.
constexpr std::int64_t paceReservePercent = 125; ///< A stream may slow down as others arrive.
constexpr int maxAbandonedMoves = 2;
constexpr std::int64_t thousandths = 1000;
constexpr std::uint64_t places = 1024; ///< In the window.

auto finishTime(const MovingStream& stream) -> std::chrono::microseconds
{
    constexpr std::int64_t percent = 100;
    return stream.tokenGap * stream.tokensLeft * paceReservePercent / percent;
}

} // namespace

SpreadMovePolicy::SpreadMovePolicy(MoveWindow window)
    : window(window)
{
}

auto SpreadMovePolicy::placeOf(const MovingStream& stream) const -> TimePoint
{
    const auto last = stream.deadline - safetyMargin - lastMoveTime;
    if (stream.abandonedMoves >= maxAbandonedMoves)
        return last;
    const auto span = std::max<std::chrono::nanoseconds>(last - stream.noticed, 0ns);
    const auto place = static_cast<std::int64_t>(stream.hash % places);
    const auto begin = span * this->window.begin / thousandths;
    const auto width = span * (this->window.end - this->window.begin) / thousandths;
    return stream.noticed + begin + width * place / static_cast<std::int64_t>(places);
}

auto SpreadMovePolicy::decide(const MovingStream& stream, TimePoint now) const -> MoveDecision
{
    if (now + finishTime(stream) <= stream.deadline - safetyMargin)
        return { MoveAction::Stay, now + reviewPeriod };
    const auto place = this->placeOf(stream);
    if (place <= now)
        return { MoveAction::MoveNow, now };
    return { MoveAction::MoveLater, place };
}

auto SpreadMovePolicy::mayAbandon(const MovingStream& stream, TimePoint now) const -> bool
{
    return now < stream.deadline - safetyMargin - lastMoveTime && stream.abandonedMoves < maxAbandonedMoves;
}

} // namespace Primrosefork
