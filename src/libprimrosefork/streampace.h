#pragma once

#include <chrono>
#include <cstdint>

namespace Primrosefork {

/**
 * Measures the pace of one attempt at a stream, and decides how long the attempt may
 * stall before another engine is used.
 */
class StreamPace {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** Begins with an attempt that was sent at \a sent and has to compute \a prefillTokens tokens of prompt and delivered text. */
    StreamPace(TimePoint sent, std::int64_t prefillTokens);

    auto pieceReceived(TimePoint now) -> void;

    /** Counts the stall timeout from \a now on, as the engine was kept from sending until then. */
    auto resumed(TimePoint now) -> void;

    /** Returns the smoothed time between two pieces. */
    [[nodiscard]] auto tokenGap() const -> std::chrono::microseconds { return this->smoothedGap; }

    /** Returns whether no piece of the attempt has arrived within the stall timeout at \a now. */
    [[nodiscard]] auto isStalled(TimePoint now) const -> bool { return now >= this->stallTime(); }

    /** Returns when the attempt will have stalled if no piece arrives until then. */
    [[nodiscard]] auto stallTime() const -> TimePoint { return this->lastPiece + this->stallTimeout(); }

    /** Returns how long the attempt may deliver no piece, counted from its last piece or from its start. */
    [[nodiscard]] auto stallTimeout() const -> std::chrono::microseconds;

private:
    TimePoint lastPiece; ///< Time of the last piece, or of the start or the last resumption if that was later.
    std::int64_t prefillTokens;
    std::chrono::microseconds smoothedGap;
    bool hasBegun = false;
};

} // namespace Primrosefork
