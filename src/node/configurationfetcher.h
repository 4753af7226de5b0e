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
 * Fetches the configuration from a peer when a peer has a newer one in force
 * and the store does not give it, and gives peers what this node has.
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
    std::optional<EventLoop::TimePoint> behindSince;
    EventLoop::TimePoint nextFetch;
    std::set<std::string> failedPeers; ///< Since the last fetch that gave something.
};

} // namespace Primrosefork
