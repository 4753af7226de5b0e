#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace Primrosefork {

/** What a connection of a caller is used for, as far as closing it is concerned. */
struct ConnectionUse {
    enum class Phase : std::uint8_t {
        Idle, ///< Waits for a request.
        Receiving, ///< Has received a part of a request.
        Responding, ///< Has a request or an answer in progress.
        Ending, ///< The answer was sent and the connection waits for the caller to close it.
    };

    Phase phase = Phase::Idle;
    std::chrono::milliseconds age { 0 }; ///< Time in this phase.
    std::size_t receivedBytes = 0; ///< Bytes of the part that was received.
    bool hasServed = false; ///< Whether a whole request has arrived on it.
};

/**
 * Returns the indexes of up to \a count connections to close so that new ones can
 * be accepted, in this order: those that have sent nothing for a second, the
 * slowest incomplete requests, those that have been ending for a second, the others
 * that are idle, the longest first, new incomplete requests, and those that are ending. None with a request or an
 * answer in progress is among them.
 */
[[nodiscard]] auto connectionsToClose(const std::vector<ConnectionUse>& connections, std::size_t count) -> std::vector<std::size_t>;

} // namespace Primrosefork
