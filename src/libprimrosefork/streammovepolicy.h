#pragma once

#include <chrono>
#include <cstdint>

namespace Primrosefork {

/** The action of a stream when the machine that it runs on is to be reclaimed. */
enum class MoveAction {
    Stay, ///< The stream is expected to finish in time.
    MoveLater,
    MoveNow,
};

/**
 * The state of a stream whose machine is to be reclaimed.
 */
struct MovingStream {
    using TimePoint = std::chrono::steady_clock::time_point;

    std::uint64_t hash = 0; ///< Hash of the stream's id; determines when the stream moves relative to others.
    std::int64_t tokensLeft = 0; ///< Maximum number of tokens still to be generated.
    std::chrono::microseconds tokenGap { 0 }; ///< Current time between two tokens of the stream.
    TimePoint noticed; ///< Time at which this node learnt of the reclaim.
    TimePoint deadline; ///< Time at which the machine is reclaimed.
    int abandonedMoves = 0; ///< Number of moves that were abandoned because the new attempt delivered no token in time.
};

/** The decision on one stream. */
struct MoveDecision {
    using TimePoint = std::chrono::steady_clock::time_point;

    MoveAction action = MoveAction::Stay;
    TimePoint when; ///< Time of the move, or of the next decision when the stream stays.

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

    /** Returns whether a move that has delivered no token at \a now may still be abandoned for a later one. */
    [[nodiscard]] virtual auto mayAbandon(const MovingStream&, TimePoint now) const -> bool = 0;
};

/**
 * The part of the notice period over which moves are spread, in thousandths of the
 * time that is left after the safety margins.
 */
struct MoveWindow {
    std::int64_t begin = 0;
    std::int64_t end = 500;
};

/**
 * Lets streams finish that are expected to do so in time, and spreads the moves of
 * the others evenly over a part of the notice period. The time of a move depends on
 * the stream's hash, so that the moves of all nodes together are spread as well.
 */
class SpreadMovePolicy : public StreamMovePolicy {
public:
    explicit SpreadMovePolicy(MoveWindow);

    [[nodiscard]] auto decide(const MovingStream&, TimePoint now) const -> MoveDecision override;
    [[nodiscard]] auto mayAbandon(const MovingStream&, TimePoint now) const -> bool override;

private:
    [[nodiscard]] auto scheduledTime(const MovingStream&) const -> TimePoint;

    MoveWindow window;
};

} // namespace Primrosefork
