#pragma once

#include <system_error>

namespace Primrosefork {

/**
 * Errors that the interfaces of this system report as std::error_code.
 */
enum class Error {
    Timeout = 1, ///< There was no answer within the time limit.
    ConnectionFailed, ///< The connection could not be opened; no byte was sent.
    ConnectionLost, ///< The connection ended before the answer was complete.
    Cancelled, ///< The call was cancelled by its owner.
    BadAnswer, ///< The answer did not follow the protocol.
    TooLarge, ///< A body, line or message exceeded its limit.
    Refused, ///< The other side refused the call.
    NotFound, ///< The key, lease or stream does not exist.
    Conflict, ///< A compare-and-swap found another revision than expected.
    Unavailable, ///< The service cannot be reached or is down.
    StaleFence, ///< An order carried an older fencing number than one received before.
    HistoryLost, ///< The store no longer has the changes after the requested revision.
};

[[nodiscard]] auto errorCategory() -> const std::error_category&;
[[nodiscard]] auto make_error_code(Error) -> std::error_code; // NOLINT(readability-identifier-naming): found by std::error_code

} // namespace Primrosefork

template <>
struct std::is_error_code_enum<Primrosefork::Error> : std::true_type {
};
