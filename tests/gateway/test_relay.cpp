#include "gatewayfixture.h"
#include "storefollower.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

const Address observerAddress { "127.0.0.1", 18390 };
const Address secondObserverAddress { "127.0.0.1", 18391 };
const Address ownStoreAddress { "127.0.0.1", 18303 };
const Address unusedFleetAddress { "127.0.0.1", 18304 };

/**
 * An observer and a node that follows it. Each has a store of its own, so that a
 * change in the observer's store reaches the node only by way of the observer.
 */
struct ObserverAndNode : GatewayFixture {
    ObserverAndNode()
    {
        this->configure(1);
        this->registerServer("i-1", "app", 18399);
        this->platform.put("primrosefork/leader", R"({"id":"leader-1","address":"127.0.0.1:18380","incarnation":"x"})");
        this->ownStore.put("op/config", this->platform.valueOf("op/config"));
        this->ownStore.put("servers/i-1", this->platform.valueOf("servers/i-1"));
        this->ownStore.put("primrosefork/leader", this->platform.valueOf("primrosefork/leader"));
        this->node.relay.requestIssued.connect([this](const Address& recipient, const RelayRequest& request) {
            ++this->requests[recipient];
            if (this->isSilent || recipient != observerAddress)
                return;
            for (const auto& reply : this->observer.relay.replyTo(request)) {
                this->replies.push_back(reply);
                this->node.relay.applyReply(reply);
            }
        });
    }

    auto settingsOf(const std::string& id, const Address& storeAddress) const -> GatewaySettings
    {
        auto result = this->settings;
        result.id = id;
        result.keyValueService = storeAddress;
        return result;
    }

    auto beginFollowing(std::vector<Address> observers = { observerAddress }) -> bool
    {
        if (!this->runUntil([this] { return this->node.version() == 1 && this->node.lists("i-1") && this->observer.version() == 1 && this->observer.lists("i-1"); }))
            return false;
        this->observer.observers.write({ observers, true });
        this->node.observers.write({ std::move(observers), false });
        this->runFor(600ms);
        return true;
    }

    auto registerAt(StoreStandIn& store, const std::string& id) -> void
    {
        store.put("servers/" + id, R"({"backend":"app","address":"127.0.0.1:18398","zone":"a","capacity":6,"state":"ready"})");
    }

    StoreStandIn ownStore { loop, ownStoreAddress, unusedFleetAddress };
    StoreFollower observer { loop, client, settings };
    StoreFollower node { loop, client, settingsOf("node-2", ownStoreAddress) };
    std::map<Address, int> requests; ///< Requests of the node, by observer.
    std::vector<RelayReply> replies;
    bool isSilent = false; ///< No reply reaches the node.
};

TEST_CASE("a node follows an observer within a part of each bound and makes no calls to the store")
{
    ObserverAndNode fixture;
    REQUIRE(fixture.beginFollowing());
    const auto before = fixture.ownStore.calls;
    fixture.registerAt(fixture.platform, "i-2");
    CHECK(fixture.runUntil([&] { return fixture.node.lists("i-2"); }, fixture.settings.bounds.drain / 2));
    fixture.registerServer("i-1", "app", 18399, "draining");
    CHECK(fixture.runUntil([&] { return fixture.node.board.backendServers.value().at("i-1").state == InstanceState::Leaving; }, fixture.settings.bounds.drain / 2));
    fixture.platform.remove("servers/i-1");
    CHECK(fixture.runUntil([&] { return !fixture.node.lists("i-1"); }, fixture.settings.bounds.drain / 2));
    fixture.configure(2);
    CHECK(fixture.runUntil([&] { return fixture.node.version() == 2; }, fixture.settings.bounds.configuration / 2));
    fixture.platform.put("primrosefork/leader", R"({"id":"leader-2","address":"127.0.0.1:18381","incarnation":"y"})");
    CHECK(fixture.runUntil([&] { return fixture.node.board.leadership.value().leaderId == "leader-2"; }, fixture.settings.bounds.leadership / 2));
    fixture.runFor(5s);
    CHECK(fixture.ownStore.calls == before);
    CHECK(BootClock::now() - fixture.node.board.traffic.value().confirmed < fixture.settings.bounds.configuration);
}

TEST_CASE("a node that the store turns away follows an observer all the same")
{
    ObserverAndNode fixture;
    REQUIRE(fixture.beginFollowing());
    fixture.ownStore.failureStatus = 503;
    fixture.configure(2, R"(["k2"])");
    CHECK(fixture.runUntil([&] { return fixture.node.version() == 2; }, fixture.settings.bounds.configuration / 2));
    fixture.runFor(6s);
    CHECK(BootClock::now() - fixture.node.board.traffic.value().confirmed < fixture.settings.bounds.configuration);
}

TEST_CASE("a node asks the next observer when one is silent, and watches the store itself when all are")
{
    ObserverAndNode fixture;
    REQUIRE(fixture.beginFollowing({ observerAddress, secondObserverAddress }));
    CHECK(fixture.requests[observerAddress] > 0);
    fixture.isSilent = true;
    fixture.registerAt(fixture.ownStore, "i-3");
    const auto change = EventLoop::now();
    CHECK(fixture.runUntil([&] { return fixture.node.lists("i-3"); }, 3s));
    CHECK(EventLoop::now() - change < fixture.settings.bounds.drain);
    fixture.runFor(600ms);
    CHECK(fixture.requests[secondObserverAddress] > 0);
    fixture.isSilent = false;
    fixture.runFor(2s);
    const auto before = fixture.ownStore.calls;
    fixture.runFor(3s);
    CHECK(fixture.ownStore.calls == before);
}

TEST_CASE("an observer that lost the store is not taken at its word")
{
    ObserverAndNode fixture;
    REQUIRE(fixture.beginFollowing());
    fixture.platform.failureStatus = 503;
    fixture.runFor(500ms);
    fixture.registerAt(fixture.ownStore, "i-3");
    const auto change = EventLoop::now();
    CHECK(fixture.runUntil([&] { return fixture.node.lists("i-3"); }, 3s));
    CHECK(EventLoop::now() - change < fixture.settings.bounds.drain);
}

TEST_CASE("a node that the leader tells of a change that its observer lacks finds it by itself within the bound")
{
    ObserverAndNode fixture;
    REQUIRE(fixture.beginFollowing());
    // The observer's knowledge counts as fresh, since the store goes on answering it, but a change reaches the other store only.
    fixture.registerAt(fixture.ownStore, "i-3");
    for (int change = 0; change < 10; ++change)
        fixture.registerAt(fixture.ownStore, "i-4");
    const auto newest = fixture.ownStore.lastRevision();
    REQUIRE(newest > fixture.node.relay.watcher(RelayTopic::Registry).newestRevision());
    const auto begin = EventLoop::now();
    fixture.node.registry.leaderRevisionReceived(newest, BootClock::now());
    CHECK(fixture.runUntil([&] { return fixture.node.lists("i-3"); }, 3s));
    CHECK(EventLoop::now() - begin < fixture.settings.bounds.drain);
}

TEST_CASE("an observer whose watches hang is not taken at its word")
{
    ObserverAndNode fixture;
    REQUIRE(fixture.beginFollowing());
    // The store accepts the observer's watches and answers none, so that it gives them up again and again.
    fixture.platform.holdsWatches = true;
    fixture.runFor(3s);
    fixture.registerAt(fixture.ownStore, "i-3");
    const auto change = EventLoop::now();
    CHECK(fixture.runUntil([&] { return fixture.node.lists("i-3"); }, 3s));
    CHECK(EventLoop::now() - change < fixture.settings.bounds.drain);
}

TEST_CASE("a reply that arrives late brings nothing back")
{
    ObserverAndNode fixture;
    REQUIRE(fixture.beginFollowing());
    fixture.registerAt(fixture.platform, "i-2");
    REQUIRE(fixture.runUntil([&] { return fixture.node.lists("i-2"); }));
    const auto late = fixture.replies;
    fixture.platform.remove("servers/i-2");
    REQUIRE(fixture.runUntil([&] { return !fixture.node.lists("i-2"); }));
    for (const auto& reply : late)
        fixture.node.relay.applyReply(reply);
    CHECK_FALSE(fixture.node.lists("i-2"));
}

TEST_CASE("a registration that expired during an outage of the observer's store is kept for a limited time")
{
    ObserverAndNode fixture;
    REQUIRE(fixture.beginFollowing());
    fixture.platform.failureStatus = 503;
    fixture.platform.dropHistory();
    // The observer's watch ends, and the next one fails.
    fixture.runFor(900ms);
    fixture.platform.remove("servers/i-1");
    fixture.platform.failureStatus = 0;
    fixture.runFor(600ms);
    CHECK(fixture.node.lists("i-1"));
    CHECK(fixture.runUntil([&] { return !fixture.node.lists("i-1"); }, fixture.settings.bounds.drain));
}

TEST_CASE("a node follows an observer that started later, when both know the same")
{
    ObserverAndNode fixture;
    REQUIRE(fixture.beginFollowing());
    // Writes elsewhere in the store put the listing of the late node after that of the others.
    fixture.platform.put("op/other", "x");
    fixture.platform.put("op/other", "y");
    StoreFollower late { fixture.loop, fixture.client, fixture.settings };
    REQUIRE(fixture.runUntil([&] { return late.version() == 1 && late.lists("i-1"); }));
    const auto& registry = fixture.node.relay.watcher(RelayTopic::Registry);
    const RelayRequest request { 1, { 0, registry.newestRevision(), 0 }, { 0, registry.changes().digest(), 0 } };
    REQUIRE(late.relay.watcher(RelayTopic::Registry).newestRevision() > registry.newestRevision());
    const auto replies = late.relay.replyTo(request);
    REQUIRE(replies.size() == 1);
    REQUIRE(replies.front().parts.size() == 1);
    CHECK(replies.front().parts.front().upTo == late.relay.watcher(RelayTopic::Registry).newestRevision());
    auto different = request;
    different.digests[1] ^= 1;
    CHECK(late.relay.replyTo(different).front().parts.empty());
}

// Guards against followers that take what an observer reads from a copy of the store for the newest state.
TEST_CASE("a node follows an observer through restorations of the store, and hardly calls it itself")
{
    ObserverAndNode fixture;
    REQUIRE(fixture.beginFollowing());
    const auto backup = fixture.platform.backup();
    const auto before = fixture.ownStore.calls;
    const auto isLeaving = [&] { return fixture.node.lists("i-1") && fixture.node.board.backendServers.value().at("i-1").state == InstanceState::Leaving; };
    for (int version = 2; version <= 6; version += 2) {
        CAPTURE(version);
        fixture.configure(version);
        fixture.registerServer("i-1", "app", 18399, "draining");
        REQUIRE(fixture.runUntil([&] { return fixture.node.version() == static_cast<std::uint64_t>(version) && isLeaving(); }, fixture.settings.bounds.drain / 2));
        fixture.platform.restore(backup);
        for (int step = 0; step < 40; ++step) {
            fixture.runFor(25ms);
            CHECK(fixture.node.version() == static_cast<std::uint64_t>(version));
            CHECK(isLeaving());
        }
        fixture.registerServer("i-1", "app", 18399, "draining");
        fixture.configure(version + 1);
        CHECK(fixture.runUntil([&] { return fixture.node.version() == static_cast<std::uint64_t>(version) + 1; }, fixture.settings.bounds.configuration / 2));
        fixture.registerAt(fixture.platform, "i-" + std::to_string(version));
        CHECK(fixture.runUntil([&] { return fixture.node.lists("i-" + std::to_string(version)); }, fixture.settings.bounds.drain / 2));
    }
    fixture.runFor(3s);
    // Each time, the node may read the configuration itself once, since nobody confirms it for longer than its own bound.
    CHECK(fixture.ownStore.calls <= before + 3);
    CHECK(BootClock::now() - fixture.node.board.traffic.value().confirmed < fixture.settings.bounds.configuration);
}

TEST_CASE("a node that becomes an observer watches the store at once")
{
    ObserverAndNode fixture;
    REQUIRE(fixture.beginFollowing());
    fixture.isSilent = true;
    fixture.node.observers.write({ { observerAddress, { "127.0.0.1", 18313 } }, true });
    fixture.registerAt(fixture.ownStore, "i-3");
    CHECK(fixture.runUntil([&] { return fixture.node.lists("i-3"); }, 400ms));
}

} // namespace
