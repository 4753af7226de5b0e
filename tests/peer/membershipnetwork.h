#pragma once

#include "peermembership.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Primrosefork {

/** How the network of a test treats messages. */
struct NetworkOptions {
    std::size_t nodes = 9;
    double loss = 0.0;
    std::chrono::milliseconds shortestDelay { 1 };
    std::chrono::milliseconds longestDelay { 3 };
    std::uint32_t seed = 1;
    MembershipOptions membership {};
};

/**
 * Many memberships in one process with a network and a clock of their own.
 */
class MembershipNetwork {
public:
    using TimePoint = PeerMembership::TimePoint;

    explicit MembershipNetwork(const NetworkOptions&);

    auto run(std::chrono::milliseconds duration) -> void;

    /** Runs until \a isMet; returns the time it took, or a negative one when \a limit was over first. */
    auto runUntil(const std::function<bool()>& isMet, std::chrono::milliseconds limit) -> std::chrono::milliseconds;

    auto kill(std::size_t index) -> void;
    auto restart(std::size_t index) -> void;

    /** Takes all processor time from a node; messages wait. */
    auto pause(std::size_t index, std::chrono::milliseconds duration) -> void;

    auto leave(std::size_t index) -> void;

    /** Loses all messages between the nodes below \a first and the others. */
    auto partition(std::size_t first) -> void;
    auto heal() -> void;

    [[nodiscard]] auto node(std::size_t index) -> PeerMembership& { return this->nodes.at(index).membership; }
    [[nodiscard]] auto now() const -> TimePoint { return this->time; }

    /** Returns whether all running nodes hold exactly the running ones for alive. */
    [[nodiscard]] auto isWhole() const -> bool;

    /** Returns whether all running nodes hold \a index for \a state. */
    [[nodiscard]] auto allHold(std::size_t index, PeerState state) const -> bool;

    /** Returns how many times a running node held a running one for dead. */
    [[nodiscard]] auto falseDeaths() const -> std::uint64_t { return this->falseDeathCount; }

    /** Returns the datagram bytes that a node sent since the last call, the most and the mean. */
    struct Bytes {
        double mean = 0;
        double most = 0;
    };
    auto takeSentBytes() -> Bytes;

    /** Returns how many messages of \a kind have been delivered or are on their way. */
    [[nodiscard]] auto messageCount(PeerMessageKind kind) const -> std::uint64_t;

    [[nodiscard]] static auto nodeId(std::size_t index) -> std::string;

private:
    struct Node {
        PeerMembership membership;
        bool isRunning = true;
        TimePoint pausedUntil;
        TimePoint nextTick;
        std::uint64_t sentBytes = 0;
        std::set<std::string> heldDead;
        std::uint64_t version = 0;
    };

    struct Delivery {
        std::size_t recipient;
        Address sender;
        PeerMessage message;
    };

    [[nodiscard]] auto makeMembership(std::size_t index, std::uint64_t incarnation) -> PeerMembership;
    [[nodiscard]] static auto address(std::size_t index) -> Address;
    auto step() -> void;
    auto send(std::size_t sender, const OutgoingMessages&) -> void;
    auto noteDeaths(Node&) -> void;

    NetworkOptions options;
    std::minstd_rand generator;
    TimePoint time { std::chrono::hours(1) };
    std::uint64_t nextIncarnation = 1'000;
    std::vector<Node> nodes;
    std::map<Address, std::size_t> indexes;
    std::map<PeerMessageKind, std::uint64_t> sentMessages;
    std::multimap<TimePoint, Delivery> deliveries;
    std::size_t partitionedBelow = 0;
    std::uint64_t falseDeathCount = 0;
};

} // namespace Primrosefork
