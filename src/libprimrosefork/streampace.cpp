#include "streampace.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::chrono::microseconds gapTarget = 31ms; ///< Target for the time between two tokens, and its estimate before any is measured.
constexpr std::chrono::microseconds firstTokenTarget = 370ms; ///< Target for the time to the first token.
constexpr std::int64_t firstTokenFactor = 4; ///< Multiple of the target after which another engine is used.
constexpr std::chrono::microseconds maxPrefillTime = 500us; ///< Upper bound of the time to prefill one token.
constexpr std::chrono::microseconds minStallTimeout = 500ms; ///< About 16 times the target for the time between two tokens.
constexpr std::int64_t stallGaps = 8; ///< Multiple of the smoothed time between two pieces after which an attempt has stalled.
constexpr std::int64_t smoothingDivisor = 8; ///< The newest time between two pieces has a weight of one in this many.

} // namespace

StreamPace::StreamPace(TimePoint sent, std::int64_t prefillTokens)
    : lastPiece(sent)
    , prefillTokens(prefillTokens)
    , smoothedGap(gapTarget)
{
}

auto StreamPace::pieceReceived(TimePoint now) -> void
{
    if (this->hasBegun) {
        const auto latest = std::chrono::duration_cast<std::chrono::microseconds>(now - this->lastPiece);
        this->smoothedGap += (latest - this->smoothedGap) / smoothingDivisor;
    }
    this->hasBegun = true;
    this->lastPiece = now;
}

auto StreamPace::resumed(TimePoint now) -> void
{
    this->lastPiece = now;
}

auto StreamPace::stallTimeout() const -> std::chrono::microseconds
{
    if (!this->hasBegun)
        return firstTokenTarget * firstTokenFactor + maxPrefillTime * this->prefillTokens;
    return std::max(minStallTimeout, this->smoothedGap * stallGaps);
}

} // namespace Primrosefork
