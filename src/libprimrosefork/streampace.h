#pragma once

#include <chrono>
#include <cstdint>

namespace Primrosefork {

/**
 * The pace of one attempt at a stream, and how long its silence is borne
 * before another engine is asked.
 */
class StreamPace {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** The attempt was sent at \a sent, with \a tokens of prompt and delivered text to compute. */
    StreamPace(TimePoint sent, std::int64_t tokens);

    auto pieceReceived(TimePoint now) -> void;

    /** Returns the usual time between two pieces. */
    [[nodiscard]] auto tokenGap() const -> std::chrono::microseconds { return this->gap; }

    /** Returns whether the attempt is silent for too long at \a now. */
    [[nodiscard]] auto isSilent(TimePoint now) const -> bool { return now - this->last >= this->silenceLimit(); }

    /** Returns how long the attempt may be silent, counted from its last piece or from its start. */
    [[nodiscard]] auto silenceLimit() const -> std::chrono::microseconds;

private:
    TimePoint last;
    std::int64_t tokens;
    std::chrono::microseconds gap;
    bool hasBegun = false;
};

} // namespace Primrosefork
