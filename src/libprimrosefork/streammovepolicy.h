#pragma once

#include <chrono>
#include <cstdint>

namespace Primrosefork {

/** What a stream is to do about the announced reclaim of a machine that it runs on. */
enum class MoveAction {
    Stay, ///< It can finish in time.
    MoveLater,
    MoveNow,
};

/**
 * What is known of a stream whose machine is to be reclaimed.
 */
struct MovingStream {
    using TimePoint = std::chrono::steady_clock::time_point;

    std::uint64_t hash = 0; ///< Of the stream's id; gives it its place among the others.
    std::int64_t tokensLeft = 0; ///< At most.
    std::chrono::microseconds tokenGap { 0 }; ///< Its present pace.
    TimePoint noticed; ///< When this node learnt of the reclaim.
    TimePoint deadline; ///< When the machine is gone.
    int abandonedMoves = 0; ///< New attempts given up because they were slow to speak.
};

/** The verdict on one stream. */
struct MoveDecision {
    using TimePoint = std::chrono::steady_clock::time_point;

    MoveAction action = MoveAction::Stay;
    TimePoint when; ///< When to move, or when to ask again.

    auto operator==(const MoveDecision&) const -> bool = default;
};

/**
 * Decides when a stream leaves a machine that is to be reclaimed.
 */
class StreamMovePolicy {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    virtual ~StreamMovePolicy() = default;

    [[nodiscard]] virtual auto decide(const MovingStream&, TimePoint now) const -> MoveDecision = 0;

    /** Returns whether a move begun at \a now that is slow to speak may still be given up for a later one. */
    [[nodiscard]] virtual auto mayAbandon(const MovingStream&, TimePoint now) const -> bool = 0;
};

/**
 * Which part of the notice the moves are spread over, in thousandths of the
 * time that is left after the margin.
 */
struct MoveWindow {
    std::int64_t begin = 0;
    std::int64_t end = 500;
};

/**
 * Lets streams finish that can, and spreads the others evenly over a part of
 * the notice, each by its hash, so that all nodes together spread them too.
 */
class SpreadMovePolicy : public StreamMovePolicy {
public:
    explicit SpreadMovePolicy(MoveWindow);

    [[nodiscard]] auto decide(const MovingStream&, TimePoint now) const -> MoveDecision override;
    [[nodiscard]] auto mayAbandon(const MovingStream&, TimePoint now) const -> bool override;

private:
    [[nodiscard]] auto placeOf(const MovingStream&) const -> TimePoint;

    MoveWindow window;
};

} // namespace Primrosefork
