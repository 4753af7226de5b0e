#pragma once

#include "blackboard.h"
#include "eventloop.h"
#include "peerclient.h"
#include "peerserver.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <system_error>

namespace Primrosefork {

class ConfigurationController;
class EventLog;
class MembershipController;
struct NodeSettings;

/**
 * Fetches newer configuration records from a peer when the store does not
 * deliver them, and serves the records of this node to peers.
 */
class ConfigurationFetcher {
public:
    ConfigurationFetcher(EventLoop&, const NodeSettings&, const Blackboard&, ConfigurationController&, const MembershipController&, const EventLog&);

    auto begin() -> std::error_code;

private:
    auto check() -> void;
    auto fetch(EventLoop::TimePoint now) -> void;
    auto fetched(const std::string& peer, std::error_code, const StoreListing&) -> void;
    [[nodiscard]] auto chooseSource() -> const Peer*;

    const NodeSettings& settings;
    const Blackboard& blackboard;
    ConfigurationController& configuration;
    const MembershipController& membership;
    const EventLog& log;
    ConfigurationExchange exchange;
    PeerServer server;
    PeerClient client;
    Timer timer;
    std::minstd_rand generator;
    std::optional<EventLoop::TimePoint> behindSince; ///< Since when this node has lacked a revision that another node has in force.
    EventLoop::TimePoint nextFetch; ///< Earliest time of the next fetch.
    std::set<std::string> failedPeers; ///< Peers whose fetch failed; cleared when a fetch succeeds or no other peer is left.
};

} // namespace Primrosefork
