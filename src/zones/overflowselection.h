#pragma once

#include "backendserver.h"
#include "overflowshare.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

/**
 * Selects on a node the requests that leave its zone, by the shares that the
 * leader decided.
 *
 * Requests are selected by a hash of their shared prefix, so that every node
 * selects the same prompts and a larger share keeps those of a smaller one.
 */
class OverflowSelection {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** \a zone and \a region are those of the node. */
    OverflowSelection(std::string zone, std::string region);

    /** Replaces the shares by those of the leader for the node's zone. */
    auto answerReceived(const std::vector<OverflowShare>& shares, TimePoint now) -> void;

    /** Updates the zones that have live servers of each service. */
    auto serversChanged(const BackendServers& servers) -> void;

    /**
     * Returns the zone that a request to \a service is sent to, or nothing if it stays. \a prefix is the hash of
     * the part of its prompt that it shares with others; without one, which is 0, \a requestId decides.
     */
    [[nodiscard]] auto targetFor(const std::string& service, std::uint64_t prefix, std::uint64_t requestId, TimePoint now) const -> std::string_view;

    /** Returns the shares in force at \a now that are not zero. */
    [[nodiscard]] auto shares(TimePoint now) const -> std::vector<OverflowShare>;

private:
    /** Live servers of one service in one zone. */
    struct Zone {
        std::int64_t slots = 0;
        bool isSameRegion = false;
    };

    [[nodiscard]] auto eighthsAt(const OverflowShare&, TimePoint now) const -> std::uint8_t;

    std::string zone;
    std::string region;
    std::map<std::string, OverflowShare> byService; ///< Shares of the last answer that stated them.
    TimePoint answered; ///< Time of that answer.
    std::map<std::string, std::string> nearestZones; ///< Zone that gets the requests of a service without a live server in the node's zone, by service.
};

} // namespace Primrosefork
