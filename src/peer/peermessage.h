#pragma once

#include "membership.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Primrosefork {

/** What a message between nodes asks or tells. */
enum class PeerMessageKind : std::uint8_t {
    Ping,
    Ack,
    PingRequest, ///< Asks the recipient to ping the target on behalf of the sender.
    Gossip,
    SyncRequest, ///< Asks for everything that the recipient knows of the peers.
    Sync,
};

/**
 * An announced reclaim of an instance on its way between nodes.
 */
struct PeerNotice {
    std::string instanceId;
    std::chrono::milliseconds remaining { 0 }; ///< At the moment of sending.

    auto operator==(const PeerNotice&) const -> bool = default;
};

/**
 * One datagram between nodes.
 */
struct PeerMessage {
    PeerMessageKind kind = PeerMessageKind::Ping;
    std::string sender;
    std::uint32_t probe = 0; ///< Pairs an acknowledgement with its ping.
    std::string target; ///< Id of the node that a ping or ping request means.
    Address targetAddress; ///< Of a ping request.
    std::uint64_t liveHash = 0; ///< Over the ids of the peers that the sender holds for live.
    std::uint64_t ownRevision = 0; ///< Configuration revision that the sender has in force.
    std::uint64_t newestRevision = 0; ///< Newest one that the sender knows of.
    std::vector<std::uint8_t> confirmations; ///< One bit for each live peer in order of id: has newestRevision in force.
    std::vector<Peer> records;
    std::vector<PeerNotice> notices;

    auto operator==(const PeerMessage&) const -> bool = default;
};

/** Limits on what one message may hold. */
namespace PeerLimits {
constexpr std::size_t datagramBytes = 1'400;
constexpr std::size_t textBytes = 64;
constexpr std::size_t records = 24;
constexpr std::size_t notices = 16;
constexpr std::size_t confirmationBytes = 128; ///< Enough for 1,024 nodes.
} // namespace PeerLimits

} // namespace Primrosefork
