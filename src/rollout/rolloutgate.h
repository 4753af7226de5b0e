#pragma once

#include "backendserver.h"
#include "rolloutreport.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/** The servers of a service that a request may be sent to. */
enum class RolloutSide : std::uint8_t {
    Any, ///< All but those of versions that were rolled back or whose role is not known yet.
    Earlier, ///< Of these, servers of other versions than the one that is rolled out.
    Next, ///< Servers of the version that is rolled out.
};

/**
 * Decides on a node which servers of a service may get a request.
 *
 * The version that is rolled out gets exactly its share of the requests. A version
 * that the node sees for the first time beside others gets nothing until the
 * leader has said what to do, but not for longer than a limit.
 */
class RolloutGate {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** A version of unknown role is held back for at most \a maxHold; nodes with another \a seed send their first request to a new version at another moment. */
    RolloutGate(std::chrono::milliseconds maxHold, std::uint64_t seed);

    /** Takes over all registered servers. */
    auto serversChanged(const BackendServers& servers, TimePoint now) -> void;

    /**
     * Takes over the leader's \a shares from an answer to a report that was sent at
     * \a reportSent; \a isComplete tells whether they are all that there are.
     */
    auto answerReceived(const std::vector<RolloutShare>& shares, bool isComplete, TimePoint reportSent, TimePoint now) -> void;

    /** Ends the holding back of versions whose time has passed; returns whether there were any. */
    auto update(TimePoint now) -> bool;

    /** Returns whether some versions of \a service get only a part of the requests, or none. */
    [[nodiscard]] auto hasRestrictions(const std::string& service) const -> bool;

    /** Returns whether \a server belongs to \a side of its service. */
    [[nodiscard]] auto accepts(const BackendServer& server, RolloutSide side) const -> bool;

    /**
     * Returns the sides to choose a server from for the request \a id, the first one
     * first. \a isRepeat tells that a server failed or refused it, \a latestEnd is
     * the time by which it ends.
     */
    auto sidesFor(const std::string& service, std::uint64_t id, bool isRepeat, TimePoint latestEnd, TimePoint now) -> std::vector<RolloutSide>;

    /** Forgets the request \a id, which has ended. */
    auto requestEnded(std::uint64_t id) -> void { this->chosenSides.erase(id); }

    /**
     * Notes whether an attempt at a server of \a version failed; returns whether
     * the node stops using that version until the leader's next answer.
     */
    auto attemptEnded(const std::string& service, const std::string& version, bool hasFailed, TimePoint now) -> bool;

    /** Returns the roll-outs that are in force. */
    [[nodiscard]] auto shares() const -> const std::vector<RolloutShare>& { return this->current; }

    /** Returns the versions that are held back, by service. */
    [[nodiscard]] auto heldVersions() const -> std::map<std::string, std::set<std::string>>;

private:
    struct Service {
        std::set<std::string> versions; ///< Versions of registered servers.
        std::set<std::string> liveVersions; ///< Versions of servers that may get requests.
        std::map<std::string, TimePoint> heldSince; ///< Versions that are held back.
        double credit = 0; ///< Requests that the new version may get at once.
        int failuresInRow = 0;
        TimePoint stoppedAt; ///< Time since which this node does not use the new version; the clock's epoch when it does.
        TimePoint deadline;
    };

    [[nodiscard]] auto findShare(const std::string& service) const -> const RolloutShare*;
    [[nodiscard]] auto isBarred(const std::string& service, const std::string& version) const -> bool;
    auto sideOfNew(Service&, const RolloutShare&, TimePoint latestEnd, TimePoint now) -> RolloutSide;

    std::chrono::milliseconds maxHold;
    std::minstd_rand random;
    std::map<std::string, Service> services;
    std::vector<RolloutShare> current;
    std::unordered_map<std::uint64_t, RolloutSide> chosenSides; ///< Sides of open requests, so that one that waits is not drawn again.
};

} // namespace Primrosefork
