#pragma once

namespace Primrosefork {

/**
 * Makes the connection of \a socket fail within about three seconds after the
 * peer stops acknowledging, also while no data is sent.
 */
auto enableDeadPeerDetection(int socket) -> void;

/** Disables Nagle's algorithm: small pieces are sent on \a socket at once instead of being collected. */
auto disableNagle(int socket) -> void;

} // namespace Primrosefork
