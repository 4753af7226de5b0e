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

/** Options of a simulated network of nodes. */
struct NetworkOptions {
    std::size_t nodes = 9;
    double loss = 0.0; ///< Probability that a message is lost.
    std::chrono::milliseconds shortestDelay { 1 };
    std::chrono::milliseconds longestDelay { 3 };
    std::uint32_t seed = 1;
    MembershipOptions membership {};
};

/**
 * Simulates many memberships in one process, with their network and clock.
 */
class MembershipNetwork {
public:
    using TimePoint = PeerMembership::TimePoint;

    explicit MembershipNetwork(const NetworkOptions&);

    auto run(std::chrono::milliseconds duration) -> void;

    /** Runs until \a isMet returns true. Returns the elapsed time, or a negative one if \a limit passed first. */
    auto runUntil(const std::function<bool()>& isMet, std::chrono::milliseconds limit) -> std::chrono::milliseconds;

    auto kill(std::size_t index) -> void;
    auto restart(std::size_t index) -> void;

    /** Suspends the node \a index for \a duration; messages to it are delivered afterwards. */
    auto pause(std::size_t index, std::chrono::milliseconds duration) -> void;

    auto leave(std::size_t index) -> void;

    /** Drops all messages between the nodes with indexes below \a first and the others. */
    auto partition(std::size_t first) -> void;
    auto heal() -> void;

    [[nodiscard]] auto node(std::size_t index) -> PeerMembership& { return this->nodes.at(index).membership; }
    [[nodiscard]] auto now() const -> TimePoint { return this->time; }

    /** Returns whether all running nodes record the running nodes as alive and the others as dead. */
    [[nodiscard]] auto hasConverged() const -> bool;

    /** Returns whether all other running nodes record the node \a index as \a state. */
    [[nodiscard]] auto allReport(std::size_t index, PeerState state) const -> bool;

    /** Returns how many times a running node recorded the present incarnation of another running node as dead. */
    [[nodiscard]] auto falseDeaths() const -> std::uint64_t { return this->falseDeathCount; }

    /** Datagram bytes sent by each node: the mean and the highest of all nodes. */
    struct Bytes {
        double mean = 0;
        double most = 0;
    };

    /** Returns the bytes sent since the last call, and resets the counters. */
    auto takeSentBytes() -> Bytes;

    /** Returns the number of messages of \a kind that were sent and not lost. */
    [[nodiscard]] auto messageCount(PeerMessageKind kind) const -> std::uint64_t;

    [[nodiscard]] static auto nodeId(std::size_t index) -> std::string;

private:
    struct Node {
        PeerMembership membership;
        bool isRunning = true;
        TimePoint pausedUntil;
        TimePoint nextTick;
        std::uint64_t sentBytes = 0;
        std::set<std::string> reportedDead;
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
    auto countFalseDeaths(Node&) -> void;

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
