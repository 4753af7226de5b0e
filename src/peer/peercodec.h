#pragma once

#include "peerkeyring.h"
#include "peermessage.h"
#include "replayguard.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace Primrosefork {

/** Datagrams by what became of them. */
struct PeerCodecCounts {
    std::uint64_t accepted = 0;
    std::uint64_t malformed = 0;
    std::uint64_t unknownKey = 0;
    std::uint64_t notAuthentic = 0;
    std::uint64_t old = 0;
    std::uint64_t replayed = 0;

    auto operator==(const PeerCodecCounts&) const -> bool = default;
};

/**
 * Turns messages into authenticated datagrams and back, and refuses what is
 * malformed, not authentic, old or replayed.
 *
 * A datagram is the id of the key, the message in cereal's portable binary
 * form, and a keyed BLAKE2b hash over both and the recipient's address.
 */
class PeerCodec {
public:
    using WallTime = std::chrono::milliseconds; ///< Since the epoch.

    /** \a session must go up with each start of the node \a self. */
    PeerCodec(const Address& self, std::uint64_t session, const std::vector<PeerKey>& keys);

    /** Returns \a message for \a recipient, with as many of its records as fit. */
    auto encode(PeerMessage message, const Address& recipient, WallTime now) -> std::vector<std::uint8_t>;

    /** Returns the message of \a datagram, or nothing when it is refused. */
    auto decode(std::span<const std::uint8_t> datagram, WallTime now) -> std::optional<PeerMessage>;

    [[nodiscard]] auto counts() const -> const PeerCodecCounts& { return this->received; }

private:
    auto verify(std::span<const std::uint8_t> datagram) -> bool;
    auto admit(const PeerMessage&, const DatagramStamp&, WallTime now) -> bool;

    Address self;
    std::uint64_t session;
    std::uint32_t sequence = 0;
    PeerKeyring keyring;
    ReplayGuard guard;
    PeerCodecCounts received;
};

} // namespace Primrosefork
