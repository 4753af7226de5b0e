#include "streampace.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::microseconds gapTarget = 31ms; ///< Between two tokens.
constexpr std::chrono::microseconds firstTokenTarget = 370ms;
constexpr std::int64_t firstTokenFactor = 4; ///< Of the target, before another engine is asked.
constexpr std::chrono::microseconds slowestPrefill = 500us; ///< For one token.
constexpr std::chrono::microseconds shortestSilence = 500ms; ///< 16 gaps of the target.
constexpr std::int64_t silentGaps = 8;
constexpr std::int64_t smoothing = 8; ///< Each gap counts for one part of so many.

} // namespace

StreamPace::StreamPace(TimePoint sent, std::int64_t tokens)
    : last(sent)
    , tokens(tokens)
    , gap(gapTarget)
{
}

auto StreamPace::pieceReceived(TimePoint now) -> void
{
    if (this->hasBegun) {
        const auto latest = std::chrono::duration_cast<std::chrono::microseconds>(now - this->last);
        this->gap += (latest - this->gap) / smoothing;
    }
    this->hasBegun = true;
    this->last = now;
}

auto StreamPace::silenceLimit() const -> std::chrono::microseconds
{
    if (!this->hasBegun)
        return firstTokenTarget * firstTokenFactor + slowestPrefill * this->tokens;
    return std::max(shortestSilence, this->gap * silentGaps);
}

} // namespace Primrosefork
