#pragma once

namespace Primrosefork {

/**
 * Makes the connection of \a socket fail within about three seconds when the
 * other side does not acknowledge any more, also while nothing is sent.
 */
auto detectSilence(int socket) -> void;

/** Sends small pieces on \a socket at once instead of collecting them. */
auto sendWithoutDelay(int socket) -> void;

} // namespace Primrosefork
