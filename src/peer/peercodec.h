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

/** Numbers of received datagrams by outcome. */
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
 * Encodes messages as authenticated datagrams and decodes them. Refuses
 * datagrams that are malformed, not authentic, too old or replayed.
 *
 * A datagram consists of the key id, the message in cereal's portable binary
 * format, and a keyed BLAKE2b hash over both and the recipient's address.
 */
class PeerCodec {
public:
    using WallTime = std::chrono::milliseconds; ///< Time since the Unix epoch.

    /** \a session must increase with each start of the node \a self. */
    PeerCodec(const Address& self, std::uint64_t session, const std::vector<PeerKey>& keys);

    /** Returns \a message encoded for \a recipient, without the last records and notices that exceed the datagram size. */
    auto encode(PeerMessage message, const Address& recipient, WallTime now) -> std::vector<std::uint8_t>;

    /** Returns the message in \a datagram, or std::nullopt if the datagram is refused. */
    auto decode(std::span<const std::uint8_t> datagram, WallTime now) -> std::optional<PeerMessage>;

    [[nodiscard]] auto counts() const -> const PeerCodecCounts& { return this->receivedCounts; }

private:
    auto verify(std::span<const std::uint8_t> datagram) -> bool;
    auto admit(const PeerMessage&, const DatagramStamp&, WallTime now) -> bool;

    Address self;
    std::uint64_t session;
    std::uint32_t sequence = 0;
    PeerKeyring keyring;
    ReplayGuard guard;
    PeerCodecCounts receivedCounts;
};

} // namespace Primrosefork
