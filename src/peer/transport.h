#pragma once

#include "address.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Primrosefork {

/**
 * Sends datagrams to peers; the real one is a UDP socket.
 */
class DatagramSender {
public:
    virtual ~DatagramSender() = default;

    /** Sends \a datagram to \a peer, or loses it. */
    virtual auto send(const Address& peer, std::span<const std::uint8_t> datagram) -> void = 0;
};

} // namespace Primrosefork
