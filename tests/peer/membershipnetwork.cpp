#include "membershipnetwork.h"

#include "peercodec.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto stepTime = 1ms;
constexpr std::size_t hostsPerSubnet = 250;
constexpr std::uint16_t port = 8082;
constexpr std::size_t seedCount = 3;

} // namespace

MembershipNetwork::MembershipNetwork(const NetworkOptions& options)
    : options(options)
    , generator(options.seed)
{
    for (std::size_t index = 0; index < options.nodes; ++index) {
        this->indexes[address(index)] = index;
        const auto phase = std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 99)(this->generator));
        this->nodes.push_back({ this->makeMembership(index, this->nextIncarnation), true, {}, this->time + phase, 0, {}, 0 });
    }
}

auto MembershipNetwork::nodeId(std::size_t index) -> std::string
{
    return "node-" + std::to_string(index);
}

auto MembershipNetwork::address(std::size_t index) -> Address
{
    return { "127.7." + std::to_string(index / hostsPerSubnet) + "." + std::to_string(1 + index % hostsPerSubnet), port };
}

auto MembershipNetwork::makeMembership(std::size_t index, std::uint64_t incarnation) -> PeerMembership
{
    Peer self;
    self.id = nodeId(index);
    self.address = address(index);
    self.zone = "zone-" + std::to_string(index % 3);
    self.region = "west";
    self.incarnation = incarnation;
    std::vector<Address> seeds;
    for (std::size_t seed = 0; seed < std::min(seedCount, this->options.nodes); ++seed)
        seeds.push_back(address(seed));
    return { self, seeds, this->options.membership, static_cast<std::uint32_t>(this->generator()) };
}

auto MembershipNetwork::run(std::chrono::milliseconds duration) -> void
{
    for (const auto end = this->time + duration; this->time < end;)
        this->step();
}

auto MembershipNetwork::runUntil(const std::function<bool()>& isMet, std::chrono::milliseconds limit) -> std::chrono::milliseconds
{
    constexpr auto checkPeriod = 20ms;
    const auto start = this->time;
    while (this->time < start + limit) {
        if (isMet())
            return std::chrono::duration_cast<std::chrono::milliseconds>(this->time - start);
        this->run(checkPeriod);
    }
    return -1ms;
}

auto MembershipNetwork::step() -> void
{
    this->time += stepTime;
    while (!this->deliveries.empty() && this->deliveries.begin()->first <= this->time) {
        const auto delivery = std::move(this->deliveries.extract(this->deliveries.begin()).mapped());
        auto& node = this->nodes[delivery.recipient];
        if (!node.isRunning)
            continue;
        if (node.pausedUntil > this->time) {
            this->deliveries.emplace(node.pausedUntil, delivery);
            continue;
        }
        this->send(delivery.recipient, node.membership.receive(delivery.sender, delivery.message, this->time));
        this->countFalseDeaths(node);
    }
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        auto& node = this->nodes[index];
        if (!node.isRunning || node.nextTick > this->time || node.pausedUntil > this->time)
            continue;
        node.nextTick = this->time + this->options.membership.tick;
        this->send(index, node.membership.tick(this->time));
        this->countFalseDeaths(node);
    }
}

auto MembershipNetwork::send(std::size_t sender, const OutgoingMessages& messages) -> void
{
    static PeerCodec codec({}, 1, { { 1, std::string(64, 'a') } });
    const auto shortest = this->options.shortestDelay.count();
    const auto longest = this->options.longestDelay.count();
    for (const auto& outgoing : messages) {
        this->nodes[sender].sentBytes += codec.encode(outgoing.message, outgoing.recipient, 0ms).size();
        if (std::bernoulli_distribution(this->options.loss)(this->generator))
            continue;
        const auto index = this->indexes.at(outgoing.recipient);
        if ((index < this->partitionedBelow) != (sender < this->partitionedBelow))
            continue;
        const std::chrono::milliseconds delay(std::uniform_int_distribution<std::int64_t>(shortest, longest)(this->generator));
        this->deliveries.emplace(this->time + delay, Delivery { index, address(sender), outgoing.message });
        ++this->sentMessages[outgoing.message.kind];
    }
}

auto MembershipNetwork::countFalseDeaths(Node& node) -> void
{
    if (node.membership.version() == node.version)
        return;
    node.version = node.membership.version();
    std::set<std::string> dead;
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        const auto found = node.membership.peers().find(nodeId(index));
        if (found == node.membership.peers().end() || found->second.state != PeerState::Dead || !this->nodes[index].isRunning)
            continue;
        dead.insert(found->first);
        if (!node.reportedDead.contains(found->first) && found->second.incarnation == this->nodes[index].membership.self().incarnation)
            ++this->falseDeathCount;
    }
    node.reportedDead = std::move(dead);
}

auto MembershipNetwork::kill(std::size_t index) -> void
{
    this->nodes[index].isRunning = false;
}

auto MembershipNetwork::restart(std::size_t index) -> void
{
    this->nextIncarnation += 1'000;
    this->nodes[index] = { this->makeMembership(index, this->nextIncarnation), true, {}, this->time, 0, {}, 0 };
}

auto MembershipNetwork::pause(std::size_t index, std::chrono::milliseconds duration) -> void
{
    this->nodes[index].pausedUntil = this->time + duration;
}

auto MembershipNetwork::leave(std::size_t index) -> void
{
    this->send(index, this->nodes[index].membership.leave(this->time));
}

auto MembershipNetwork::partition(std::size_t first) -> void
{
    this->partitionedBelow = first;
}

auto MembershipNetwork::heal() -> void
{
    this->partitionedBelow = 0;
}

auto MembershipNetwork::hasConverged() const -> bool
{
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        if (!this->allReport(index, this->nodes[index].isRunning ? PeerState::Alive : PeerState::Dead))
            return false;
    }
    return true;
}

auto MembershipNetwork::allReport(std::size_t index, PeerState state) const -> bool
{
    const auto id = nodeId(index);
    return std::all_of(this->nodes.begin(), this->nodes.end(), [&](const Node& node) {
        if (!node.isRunning || node.membership.self().id == id)
            return true;
        const auto found = node.membership.peers().find(id);
        return found != node.membership.peers().end() && found->second.state == state;
    });
}

auto MembershipNetwork::messageCount(PeerMessageKind kind) const -> std::uint64_t
{
    const auto found = this->sentMessages.find(kind);
    return found == this->sentMessages.end() ? 0 : found->second;
}

auto MembershipNetwork::takeSentBytes() -> Bytes
{
    Bytes bytes;
    for (auto& node : this->nodes) {
        bytes.mean += static_cast<double>(node.sentBytes) / static_cast<double>(this->nodes.size());
        bytes.most = std::max(bytes.most, static_cast<double>(node.sentBytes));
        node.sentBytes = 0;
    }
    return bytes;
}

} // namespace Primrosefork
