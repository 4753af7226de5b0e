#include "gatewayfixture.h"
#include "storefollower.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

using Treatment = StoreStandIn::Treatment;

constexpr std::chrono::milliseconds leaderPeriod = 500ms; ///< Period of the leader's answers to each node's reports.
constexpr std::chrono::milliseconds margin = 300ms; ///< Part of the drain bound that is left to the network and to busy machines.

auto entranceOf(std::size_t node) -> Address
{
    return { "127.0.0.1", static_cast<std::uint16_t>(18410 + node) };
}

auto peersOf(std::size_t node) -> Address
{
    return { "127.0.0.1", static_cast<std::uint16_t>(18440 + node) };
}

/**
 * Nodes that reach one store, each by an entrance of its own. The first ones are
 * observers. One node stands for the leader: it watches the store itself, and
 * tells the others twice a second of the newest change that it knows.
 */
struct Fleet : GatewayFixture {
    Fleet(std::size_t nodeCount, std::size_t observerCount, std::size_t leader)
        : observerCount(observerCount)
        , leader(leader)
        , leaderTimer(loop, [this] { this->tellNodes(); })
    {
        this->configure(1);
        this->registerServer("i-1", "app", 18399);
        this->registerServer("i-2", "app", 18398);
        this->platform.put("primrosefork/leader", R"({"id":"leader-1","address":"127.0.0.1:18380","incarnation":"x"})");
        for (std::size_t index = 0; index < nodeCount; ++index) {
            auto nodeSettings = this->settings;
            nodeSettings.id = "node-" + std::to_string(index);
            nodeSettings.peers = peersOf(index);
            nodeSettings.keyValueService = entranceOf(index);
            this->platform.addEntrance(entranceOf(index));
            this->nodes.push_back(std::make_unique<StoreFollower>(this->loop, this->client, std::move(nodeSettings)));
            this->nodes.back()->relay.requestIssued.connect([this, index](const Address& recipient, const RelayRequest& request) { this->deliver(index, recipient, request); });
        }
        this->requests.resize(nodeCount, 0);
        this->leaderTimer.startRepeating(leaderPeriod);
    }

    auto deliver(std::size_t sender, const Address& recipient, const RelayRequest& request) -> void
    {
        ++this->requests[sender];
        const auto observer = static_cast<std::size_t>(recipient.port - peersOf(0).port);
        REQUIRE(observer < this->observerCount);
        CHECK(observer != sender);
        this->loop.post([this, sender, observer, request] {
            for (const auto& reply : this->nodes[observer]->relay.replyTo(request))
                this->nodes[sender]->relay.applyReply(reply);
        });
    }

    auto tellNodes() -> void
    {
        const auto& known = this->nodes[this->leader]->relay.watcher(RelayTopic::Registry);
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            if (index != this->leader)
                this->nodes[index]->registry.leaderRevisionReceived(known.changes().newestChange(), known.confirmedAt());
        }
    }

    auto begin() -> bool
    {
        if (!this->runUntil([this] { return this->countOf([](const auto& node) { return node.version() == 1 && node.lists("i-1") && node.lists("i-2"); }) == this->nodes.size(); }))
            return false;
        Observers chosen;
        for (std::size_t index = 0; index < this->observerCount; ++index)
            chosen.addresses.push_back(peersOf(index));
        for (std::size_t index = 0; index < this->nodes.size(); ++index) {
            chosen.isListed = index < this->observerCount || index == this->leader;
            this->nodes[index]->observers.write(Observers { chosen });
        }
        this->runFor(600ms);
        return true;
    }

    auto treat(const std::vector<std::size_t>& turnedAway, Treatment treatment) -> void
    {
        for (const auto index : turnedAway)
            this->platform.treat(entranceOf(index), treatment);
    }

    template <typename Predicate>
    auto countOf(Predicate predicate) const -> std::size_t
    {
        return static_cast<std::size_t>(std::count_if(this->nodes.begin(), this->nodes.end(), [&predicate](const auto& node) { return predicate(*node); }));
    }

    /** Returns the number of nodes that still send requests to \a server. */
    auto countUsing(const std::string& server) const -> std::size_t
    {
        return this->countOf([&server](const auto& node) {
            const auto& servers = node.board.backendServers.value();
            const auto found = servers.find(server);
            return found != servers.end() && found->second.state == InstanceState::Live;
        });
    }

    /** Returns the time until no node sends requests to \a server. */
    auto timeUntilUnused(const std::string& server) -> std::chrono::milliseconds
    {
        const auto begin = EventLoop::now();
        this->runUntil([this, &server] { return this->countUsing(server) == 0; }, 2 * this->settings.bounds.drain);
        return std::chrono::duration_cast<std::chrono::milliseconds>(EventLoop::now() - begin);
    }

    std::size_t observerCount;
    std::size_t leader;
    Timer leaderTimer;
    std::vector<std::unique_ptr<StoreFollower>> nodes;
    std::vector<int> requests; ///< Requests for changes that each node sent.
};

// A turned-away observer learnt of a leaving server only when the store answered it again, over 2 s later.
TEST_CASE("all nodes stop using a server that leaves while the store turns nodes away")
{
    struct Row {
        std::string name;
        std::size_t nodes = 0;
        std::size_t observers = 0;
        std::size_t leader = 0;
        std::vector<std::size_t> turnedAway;
        Treatment treatment = Treatment::Refused;
        std::chrono::milliseconds wait { 0 }; ///< Time between the first refusal and the change.
    };
    const std::vector<Row> rows {
        { "a third of the observers, at once", 10, 6, 2, { 0, 1 }, Treatment::Refused, 0ms },
        { "a third of the observers, for a while", 10, 6, 2, { 0, 1 }, Treatment::Refused, 1'500ms },
        { "two of three observers", 8, 3, 2, { 0, 1 }, Treatment::Refused, 1'000ms },
        { "a third of all nodes", 12, 6, 2, { 0, 1, 6, 7 }, Treatment::Refused, 1'000ms },
        { "the leader, which is no observer", 8, 3, 7, { 7 }, Treatment::Refused, 1'000ms },
        { "the leader and two of three observers", 8, 3, 0, { 0, 1 }, Treatment::Refused, 1'000ms },
        { "a fleet in which every node is an observer", 4, 4, 3, { 0, 1 }, Treatment::Refused, 1'000ms },
        { "observers whose calls get no answer", 10, 6, 2, { 0, 1 }, Treatment::Ignored, 0ms },
        { "observers whose calls get no answer for a while", 10, 6, 2, { 0, 1 }, Treatment::Ignored, 1'500ms },
    };
    for (const auto& row : rows) {
        CAPTURE(row.name);
        Fleet fleet(row.nodes, row.observers, row.leader);
        REQUIRE(fleet.begin());
        fleet.treat(row.turnedAway, row.treatment);
        fleet.runFor(row.wait);
        fleet.registerServer("i-1", "app", 18399, "draining");
        CHECK(fleet.timeUntilUnused("i-1") < fleet.settings.bounds.drain - margin);
        fleet.platform.remove("servers/i-2");
        CHECK(fleet.timeUntilUnused("i-2") < fleet.settings.bounds.drain - margin);
    }
}

TEST_CASE("a registration that is removed right after the store turned a node away is not kept as one that expired in an outage")
{
    Fleet fleet(8, 3, 2);
    REQUIRE(fleet.begin());
    fleet.treat({ 0, 1 }, Treatment::Refused);
    fleet.runFor(1'500ms);
    fleet.treat({ 0, 1 }, Treatment::Served);
    fleet.runFor(1s);
    fleet.platform.remove("servers/i-2");
    CHECK(fleet.timeUntilUnused("i-2") < fleet.settings.bounds.drain / 2);
}

TEST_CASE("an observer follows others only until the store answers it again")
{
    Fleet fleet(8, 3, 2);
    REQUIRE(fleet.begin());
    CHECK(fleet.requests[0] == 0);
    fleet.treat({ 0 }, Treatment::Refused);
    fleet.runFor(2s);
    CHECK(fleet.requests[0] >= 4);
    CHECK(fleet.requests[0] <= 9);
    CHECK(fleet.requests[1] == 0);
    fleet.treat({ 0 }, Treatment::Served);
    fleet.runFor(1s);
    const auto before = fleet.requests[0];
    fleet.registerServer("i-1", "app", 18399, "draining");
    CHECK(fleet.timeUntilUnused("i-1") < fleet.settings.bounds.drain / 2);
    CHECK(fleet.requests[0] == before);
}

TEST_CASE("a registration that expired while the store was away for all nodes is kept on all of them until it is back")
{
    Fleet fleet(6, 3, 2);
    REQUIRE(fleet.begin());
    fleet.treat({ 0, 1, 2, 3, 4, 5 }, Treatment::Refused);
    fleet.runFor(3s);
    fleet.platform.remove("servers/i-2");
    fleet.treat({ 0, 1, 2, 3, 4, 5 }, Treatment::Served);
    for (int check = 0; check < 12; ++check) {
        fleet.runFor(100ms);
        CHECK(fleet.countUsing("i-2") == 6);
    }
    fleet.registerServer("i-2", "app", 18398);
    fleet.runFor(2s);
    CHECK(fleet.countUsing("i-2") == 6);
}

TEST_CASE("observers that are all turned away do not take each other's knowledge for fresh")
{
    Fleet fleet(6, 3, 0);
    REQUIRE(fleet.begin());
    fleet.treat({ 0, 1, 2, 3, 4 }, Treatment::Refused);
    const auto last = BootClock::now();
    fleet.runFor(4s);
    for (std::size_t index = 0; index < 5; ++index) {
        CAPTURE(index);
        CHECK(fleet.nodes[index]->relay.watcher(RelayTopic::Registry).confirmedAt() < last + 100ms);
    }
    // The only node that the store serves finds the change by itself.
    fleet.registerServer("i-1", "app", 18399, "draining");
    CHECK(fleet.runUntil([&] { return fleet.countUsing("i-1") == 5; }, fleet.settings.bounds.drain - margin));
    CHECK(fleet.nodes[5]->board.backendServers.value().at("i-1").state == InstanceState::Leaving);
    fleet.treat({ 0, 1, 2, 3, 4 }, Treatment::Served);
    CHECK(fleet.timeUntilUnused("i-1") < fleet.settings.bounds.drain);
}

} // namespace
