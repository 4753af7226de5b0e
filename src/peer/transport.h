#pragma once

#include "address.h"

#include <cstdint>
#include <span>
#include <vector>

namespace Primrosefork {

/**
 * Interface for sending datagrams to peers; UdpSocket implements it.
 */
class DatagramSender {
public:
    virtual ~DatagramSender() = default;

    /** Sends \a datagram to \a peer. It may be lost without an error. */
    virtual auto send(const Address& peer, std::span<const std::uint8_t> datagram) -> void = 0;
};

} // namespace Primrosefork
