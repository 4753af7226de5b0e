#pragma once

#include "address.h"

#include <cstdint>
#include <map>
#include <string>

namespace Primrosefork {

/** State of a peer from the point of view of one node. */
enum class PeerState {
    Alive,
    Suspect,
    Dead,
    Left,
};

/** Returns the name of \a state as shown to operators. */
[[nodiscard]] constexpr auto nameOf(PeerState state) -> const char*
{
    switch (state) {
    case PeerState::Alive:
        return "alive";
    case PeerState::Suspect:
        return "suspect";
    case PeerState::Dead:
        return "dead";
    case PeerState::Left:
        return "left";
    }
    return "unknown";
}

/** Returns whether a peer in \a state is assumed to be running, which a suspect one still is. */
[[nodiscard]] constexpr auto isLive(PeerState state) -> bool
{
    return state == PeerState::Alive || state == PeerState::Suspect;
}

/**
 * What this node knows about a peer.
 */
struct Peer {
    std::string id;
    Address address;
    std::string zone;
    std::string region;
    PeerState state = PeerState::Alive;
    std::uint64_t incarnation = 0;
    std::uint64_t configurationRevision = 0; ///< Highest store revision among the configuration records that the peer holds.

    auto operator==(const Peer&) const -> bool = default;
};

/** The peers that a node knows, keyed by id. */
using Peers = std::map<std::string, Peer>;

} // namespace Primrosefork
