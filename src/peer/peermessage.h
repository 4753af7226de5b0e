#pragma once

#include "membership.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Primrosefork {

/** Kind of a message between nodes. */
enum class PeerMessageKind : std::uint8_t {
    Ping,
    Ack,
    PingRequest, ///< Asks the recipient to ping the target on behalf of the sender.
    Gossip,
    SyncRequest, ///< Asks the recipient for all of its peer records.
    Sync,
};

/**
 * A reclaim notice of an instance, as sent between nodes.
 */
struct PeerNotice {
    std::string instanceId;
    std::chrono::milliseconds remaining { 0 }; ///< Time from sending until the instance is reclaimed, from 0 to 1 h.

    auto operator==(const PeerNotice&) const -> bool = default;
};

/**
 * One datagram between nodes.
 */
struct PeerMessage {
    PeerMessageKind kind = PeerMessageKind::Ping;
    std::string sender;
    std::uint32_t probe = 0; ///< Number that pairs an acknowledgement with its ping.
    std::string target; ///< Id of the node that is pinged; also in the acknowledgement.
    Address targetAddress; ///< Address of the target; sent only in a ping request.
    std::uint64_t liveHash = 0; ///< XOR of the hashes of the ids of the nodes that the sender considers live, itself included.
    std::uint64_t ownRevision = 0; ///< Configuration revision that the sender has in force.
    std::uint64_t newestRevision = 0; ///< Newest configuration revision known to the sender.
    std::vector<std::uint8_t> confirmations; ///< One bit per live node, ordered by id; set when the node has newestRevision in force.
    std::vector<Peer> records;
    std::vector<PeerNotice> notices;

    auto operator==(const PeerMessage&) const -> bool = default;
};

/** Size limits of a message and its parts. */
namespace PeerLimits {
constexpr std::size_t datagramBytes = 1'400;
constexpr std::size_t textBytes = 64;
constexpr std::size_t records = 24;
constexpr std::size_t notices = 16;
constexpr std::size_t confirmationBytes = 128; ///< One bit per node, for up to 1,024 nodes.
} // namespace PeerLimits

} // namespace Primrosefork
