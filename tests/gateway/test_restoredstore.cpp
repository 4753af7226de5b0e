#include "gatewayfixture.h"
#include "messages.h"
#include "metadatastore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

constexpr int firstPort = 18321;
constexpr int secondPort = 18322;
constexpr auto configurationBound = 1s;
constexpr auto revocationBound = 3'500ms;
constexpr auto longRevocationBound = 5s; ///< With it, nobody is refused after an outage of up to 2.2 s, as added up in docs/decisions/066-store-epochs.md.
constexpr auto outage = 1'200ms;
constexpr auto longestGap = 1s; ///< Time after the store's return in which callers are served again.

/** A node that leads, with a server, before a store that can be restored. */
struct RestoredFixture : GatewayFixture {
    explicit RestoredFixture(std::chrono::milliseconds revocation = revocationBound, const std::optional<Address>& entrance = std::nullopt)
        : server(loop, { "127.0.0.1", firstPort }, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "hello") }; })
        , secondServer(loop, { "127.0.0.1", secondPort }, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "hello") }; })
    {
        if (entrance) {
            this->platform.addEntrance(*entrance);
            this->settings.keyValueService = *entrance;
        }
        this->settings.bounds.configuration = configurationBound;
        this->settings.bounds.revocation = revocation;
        this->configure(1);
        this->registerServer("i-1", "app", firstPort);
        REQUIRE(this->startLeading());
    }

    /** A node that reaches the store at \a entrance only. */
    explicit RestoredFixture(const Address& entrance)
        : RestoredFixture(longRevocationBound, entrance)
    {
    }

    auto startLeading() -> bool
    {
        return this->start() && this->runUntil([this] { return this->isLeading(); });
    }

    [[nodiscard]] auto isLeading() const -> bool { return this->node->board().leadership.value().isOwn; }

    [[nodiscard]] auto version() const -> std::uint64_t
    {
        const auto& table = this->node->board().traffic.value().table;
        return table ? table->configuration().version : 0;
    }

    auto changeConfiguration(int version, const std::string& keys) -> void
    {
        this->configure(version, keys);
        REQUIRE(this->runUntil([this, version] { return this->version() == static_cast<std::uint64_t>(version); }, configurationBound));
    }

    auto restoreAfter(std::chrono::milliseconds time, const StoreStandIn::Backup& backup) -> void
    {
        this->platform.failureStatus = time > 0ms ? 503 : 0;
        if (time > 0ms)
            this->platform.abortWatches();
        this->runFor(time);
        this->platform.failureStatus = 0;
        this->platform.restore(backup);
    }

    auto statusFor(const std::string& key) -> int
    {
        return statusOf(this->sendRequest(Testkit::makeRequest("/read/", "r" + std::to_string(++this->sent), "", key)));
    }

    ScriptedServer server;
    ScriptedServer secondServer;
    int sent = 0;
};

enum class Trouble : std::uint8_t {
    LeaseEnds,
    OtherLeads, ///< Another node leads for a moment.
    Restoration,
    OtherLeadsUnseen, ///< Another node leads while this one is cut off, and the store comes back from a copy before that.
};

struct ContinuationCase {
    const char* name;
    Trouble trouble;
    bool isContinued; ///< Whether the node knows that no other can have led.
};

const ContinuationCase continuationCases[] = {
    { "the lease ends", Trouble::LeaseEnds, true },
    { "another node leads meanwhile", Trouble::OtherLeads, false },
    { "the store comes back from a copy while the lease holds", Trouble::Restoration, true },
    { "the node was cut off before the restoration", Trouble::OtherLeadsUnseen, false },
};

// Guards against a leader that goes on with what it knew, although another node has led since.
TEST_CASE("a leader knows whether another node can have led since it did")
{
    const Address entrance { "127.0.0.1", 18303 };
    for (const auto& row : continuationCases) {
        CAPTURE(row.name);
        RestoredFixture fixture(entrance);
        const auto before = fixture.node->board().leadership.value();
        CHECK(before.coordinationFence == before.fence);
        const auto backup = fixture.platform.backup();
        if (row.trouble == Trouble::LeaseEnds)
            fixture.platform.expireLeases();
        if (row.trouble == Trouble::OtherLeads) {
            fixture.platform.put("primrosefork/leader", R"({"id":"node-2","address":"127.0.0.1:18399","incarnation":"x"})");
            REQUIRE(fixture.runUntil([&] { return !fixture.isLeading(); }, 1s));
            fixture.platform.remove("primrosefork/leader");
        }
        if (row.trouble == Trouble::OtherLeadsUnseen) {
            fixture.platform.treat(entrance, StoreStandIn::Treatment::Ignored);
            fixture.runFor(3'500ms);
            fixture.platform.treat(entrance, StoreStandIn::Treatment::Served);
        }
        if (row.trouble == Trouble::Restoration || row.trouble == Trouble::OtherLeadsUnseen)
            fixture.platform.restore(backup);
        REQUIRE(fixture.runUntil([&] { return fixture.isLeading() && fixture.node->board().leadership.value().fence > before.fence; }, 5s));
        const auto after = fixture.node->board().leadership.value();
        CHECK(after.coordinationFence == (row.isContinued ? before.fence : after.fence));
    }
}

struct ReturnCase {
    const char* name;
    bool isChangeLost; ///< Whether the configuration was changed after the copy was made.
    std::chrono::milliseconds writtenAgain; ///< Time after the store's return at which the operator writes the change again; 0 for never.
    std::chrono::milliseconds outage;
};

const ReturnCase returnCases[] = {
    { "nothing was lost", false, 0ms, outage },
    { "a lost change is written again soon", true, 300ms, outage },
    { "a lost change is written again late", true, 1'500ms, outage },
    { "a lost change is never written again", true, 0ms, outage },
    { "the store was not away", true, 300ms, 0ms },
};

// Guards against nodes that refuse everything because no revision of a restored store is as high as the one in force.
TEST_CASE("callers are served again soon after the store came back from a copy, with the configuration that was in force")
{
    for (const auto& row : returnCases) {
        CAPTURE(row.name);
        RestoredFixture fixture;
        const auto backup = fixture.platform.backup();
        if (row.isChangeLost)
            fixture.changeConfiguration(2, R"(["k2"])");
        const auto* key = row.isChangeLost ? "k2" : "k1";
        CHECK(fixture.statusFor(key) == 200);
        fixture.restoreAfter(row.outage, backup);
        const auto back = EventLoop::now();
        auto isWritten = row.writtenAgain == 0ms;
        auto lastServed = back;
        auto gap = EventLoop::TimePoint::duration::zero();
        while (EventLoop::now() - back < 4s) {
            if (!isWritten && EventLoop::now() - back >= row.writtenAgain) {
                isWritten = true;
                fixture.configure(2, R"(["k2"])");
            }
            const auto status = fixture.statusFor(key);
            CHECK((status == 200 || status == 503));
            if (status == 200)
                lastServed = EventLoop::now();
            gap = std::max(gap, EventLoop::now() - lastServed);
            if (row.isChangeLost) {
                const auto revoked = fixture.statusFor("k1");
                CHECK((revoked == 401 || revoked == 503));
            }
            CHECK(fixture.version() == (row.isChangeLost ? 2 : 1));
            fixture.runFor(25ms);
        }
        CHECK(gap < longestGap);
    }
}

// Guards against changes that are taken for older ones because the store gives their revisions out a second time.
TEST_CASE("changes after each of several restorations apply in time, though their revisions were given out before")
{
    RestoredFixture fixture;
    const auto backup = fixture.platform.backup();
    std::string key = "k1";
    for (int version = 2; version <= 8; version += 2) {
        CAPTURE(version);
        fixture.changeConfiguration(version, R"(["k)" + std::to_string(version) + "\"]");
        fixture.restoreAfter(0ms, backup);
        fixture.runFor(std::chrono::milliseconds(100 * (version - 2)));
        fixture.configure(version + 1, R"(["k)" + std::to_string(version + 1) + "\"]");
        CHECK(fixture.runUntil([&] { return fixture.version() == static_cast<std::uint64_t>(version) + 1; }, configurationBound));
        key = "k" + std::to_string(version + 1);
        CHECK(fixture.runUntil([&] { return fixture.statusFor(key) == 200; }, longestGap));
    }
}

// Guards against a withdrawn credential that a node accepts which starts just after the store came back from a copy.
TEST_CASE("a node that starts after a restoration waits until the configuration is certain")
{
    RestoredFixture fixture;
    const auto backup = fixture.platform.backup();
    fixture.changeConfiguration(2, R"(["k2"])");
    fixture.node.reset();
    fixture.platform.restore(backup);
    fixture.node = std::make_unique<GatewayNode>(fixture.loop, fixture.settings, makePlatformSystems(fixture.client, fixture.settings));
    REQUIRE_FALSE(fixture.node->begin());
    const auto begin = EventLoop::now();
    int accepted = 0;
    while (EventLoop::now() - begin < 1'500ms) {
        accepted += fixture.statusFor("k1") == 200 ? 1 : 0;
        fixture.runFor(25ms);
    }
    CHECK(accepted == 0);
    fixture.configure(2, R"(["k2"])");
    CHECK(fixture.runUntil([&] { return fixture.statusFor("k2") == 200; }, longestGap));
    CHECK(fixture.statusFor("k1") == 401);
    // Later starts find that the time of uncertainty is over.
    fixture.runFor(3s);
    fixture.node.reset();
    const auto restart = EventLoop::now();
    REQUIRE(fixture.start());
    CHECK(fixture.runUntil([&] { return fixture.statusFor("k2") == 200; }, longestGap));
    CHECK(EventLoop::now() - restart < longestGap);
}

struct RegistrationCase {
    const char* name;
    const char* before; ///< State of the second server when the copy is made; empty when it is not registered.
    const char* after; ///< Its state when the store fails.
    const char* writtenAgain; ///< State that it writes one second after the store's return; empty when it is gone.
    bool isServing; ///< Whether it gets requests all the while.
};

const RegistrationCase registrationCases[] = {
    { "a server that registered since the copy", "", "ready", "ready", true },
    { "a server that left since the copy", "ready", "", "", false },
    { "a server that drains since the copy", "ready", "draining", "draining", false },
    { "a server that did not change", "ready", "ready", "ready", true },
};

// Guards against servers that are used again after they left, or are forgotten, because of the registrations in a copy.
TEST_CASE("servers stay as they were known when the store comes back from a copy")
{
    for (const auto& row : registrationCases) {
        CAPTURE(row.name);
        RestoredFixture fixture(longRevocationBound);
        const std::string before = row.before;
        const std::string after = row.after;
        const auto known = [&](const std::string& state) {
            const auto& servers = fixture.node->board().backendServers.value();
            const auto found = servers.find("i-2");
            return state.empty() ? found == servers.end() : found != servers.end() && (found->second.state == InstanceState::Live) == (state == "ready");
        };
        if (!before.empty())
            fixture.registerServer("i-2", "app", secondPort, before);
        REQUIRE(fixture.runUntil([&] { return known(before); }));
        const auto backup = fixture.platform.backup();
        if (after.empty())
            fixture.platform.remove("servers/i-2");
        else
            fixture.registerServer("i-2", "app", secondPort, after);
        REQUIRE(fixture.runUntil([&] { return known(after); }));
        fixture.restoreAfter(outage, backup);
        const auto requestsBefore = fixture.secondServer.requests.size();
        int refused = 0;
        const auto serveFor = [&](std::chrono::milliseconds time) {
            const auto end = EventLoop::now() + time;
            while (EventLoop::now() < end) {
                refused += fixture.statusFor("k1") == 200 ? 0 : 1;
                fixture.runFor(25ms);
            }
        };
        serveFor(1s);
        if (std::string(row.writtenAgain).empty())
            fixture.platform.remove("servers/i-2");
        else
            fixture.registerServer("i-2", "app", secondPort, row.writtenAgain);
        serveFor(1s);
        CHECK(refused == 0);
        CHECK((fixture.secondServer.requests.size() > requestsBefore) == row.isServing);
        CHECK(known(after));
    }
}

TEST_CASE("a registration in the copy that stays in the store is believed after a while")
{
    RestoredFixture fixture;
    fixture.registerServer("i-2", "app", secondPort);
    REQUIRE(fixture.runUntil([&] { return fixture.node->board().backendServers.value().contains("i-2"); }));
    const auto backup = fixture.platform.backup();
    fixture.platform.remove("servers/i-2");
    REQUIRE(fixture.runUntil([&] { return !fixture.node->board().backendServers.value().contains("i-2"); }));
    fixture.platform.restore(backup);
    CHECK(fixture.runUntil([&] { return fixture.node->board().backendServers.value().contains("i-2"); }, 8s));
}

// Guards against two leaders, or a leader that has lost its lease, after leases and revisions are given out a second time.
TEST_CASE("a leader whose lease is lost with a restoration leads again with a higher fence, unless another node does")
{
    for (const bool isOvertaken : { false, true }) {
        CAPTURE(isOvertaken);
        RestoredFixture fixture;
        const auto backup = fixture.platform.backup();
        const auto fence = fixture.node->board().leadership.value().fence;
        fixture.platform.restore(backup);
        if (isOvertaken) {
            // Another node gets the lease with the number of the lost one, and the key.
            MetadataStore other(fixture.client, fixture.settings.keyValueService, 500ms);
            auto isDone = false;
            other.grantLease(3s, [&isDone](std::error_code, LeaseId) { isDone = true; });
            REQUIRE(fixture.runUntil([&] { return isDone; }, 50ms));
            fixture.platform.put("primrosefork/leader", R"({"id":"node-2","address":"127.0.0.1:18399","incarnation":"x"})");
            CHECK(fixture.runUntil([&] { return !fixture.isLeading(); }, 1s));
            fixture.runFor(1s);
            CHECK(fixture.node->board().leadership.value().leaderId == "node-2");
            continue;
        }
        CHECK(fixture.runUntil([&] { return fixture.isLeading() && fixture.node->board().leadership.value().fence > fence; }, 2s));
        fixture.runFor(4s);
        CHECK(fixture.isLeading());
        std::uint64_t highest = 0;
        for (const auto& call : fixture.platform.fleetCalls) {
            CHECK(std::stoull(call.fence) >= highest);
            highest = std::stoull(call.fence);
        }
        CHECK(highest > fence);
    }
}

// Guards against a leader that takes the key of its earlier leadership, whose lease is gone, for the one that it has just tried to write.
TEST_CASE("a node whose write of the leader key is lost does not lead by its key from the copy")
{
    RestoredFixture fixture;
    const auto backup = fixture.platform.backup();
    fixture.platform.writeOutcomes["primrosefork/leader"] = StoreStandIn::WriteOutcome::Lost;
    fixture.platform.restore(backup);
    CHECK(fixture.runUntil([&] { return !fixture.isLeading(); }, 1s));
    CHECK_FALSE(fixture.runUntil([&] { return fixture.isLeading(); }, 2s));
    fixture.platform.writeOutcomes.clear();
    REQUIRE(fixture.runUntil([&] { return fixture.isLeading(); }, 3s));
    // The key ends with the lease that the node renews.
    fixture.node.reset();
    CHECK(fixture.runUntil([&] { return fixture.platform.valueOf("primrosefork/leader").empty(); }, 4s));
}

// Guards against usage that is reported twice with different counts, since the record of what was reported is lost.
TEST_CASE("a window of usage is reported with the same counts before and after a restoration")
{
    for (const bool isRestarted : { false, true }) {
        CAPTURE(isRestarted);
        RestoredFixture fixture;
        const auto backup = fixture.platform.backup();
        const auto serveFor = [&](std::chrono::milliseconds time) {
            const auto end = EventLoop::now() + time;
            while (EventLoop::now() < end) {
                static_cast<void>(fixture.statusFor("k1"));
                fixture.runFor(20ms);
            }
        };
        serveFor(5s);
        fixture.platform.restore(backup);
        if (isRestarted) {
            fixture.node.reset();
            REQUIRE(fixture.startLeading());
        }
        serveFor(6s);
        std::map<std::int64_t, std::set<std::string>> reports;
        for (const auto& call : fixture.platform.fleetCalls) {
            const auto body = nlohmann::json::parse(call.body, nullptr, false);
            if (call.path == "/usage")
                reports[body["window-id"].get<std::int64_t>()].insert(body["counts"].dump());
        }
        CHECK(reports.size() >= 5);
        for (const auto& [window, counts] : reports)
            CHECK(counts.size() == 1);
    }
}

// Guards against a fleet of two halves that do not understand each other, since a node that starts makes another key.
TEST_CASE("the nodes' records are written again when they are lost")
{
    RestoredFixture fixture;
    auto empty = fixture.platform.backup();
    const auto key = fixture.platform.valueOf("primrosefork/peer-key");
    REQUIRE_FALSE(key.empty());
    for (const auto* record : { "primrosefork/peer-key", "primrosefork/leader", "primrosefork/usage" })
        fixture.platform.remove(record);
    empty = fixture.platform.backup();
    fixture.platform.restore(empty);
    CHECK(fixture.runUntil([&] { return fixture.platform.valueOf("primrosefork/peer-key") == key; }, 2s));
    CHECK(fixture.runUntil([&] { return !fixture.platform.valueOf("primrosefork/leader").empty(); }, 3s));
}

} // namespace
