#include "coordinationcontroller.h"
#include "eventlog.h"
#include "metrics.h"
#include "quotacontroller.h"

#include <doctest/doctest.h>
#include <optional>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t perSecond = 29'000;
constexpr double largeRequest = 9'000;
constexpr double smallRequest = 200;

auto makeTable() -> std::shared_ptr<const RouteTable>
{
    TrafficConfiguration configuration;
    TrafficWorkspace workspace;
    workspace.name = "salon";
    workspace.quota = { perSecond, perSecond, true, 200 };
    configuration.workspaces.push_back(workspace);
    return std::make_shared<const RouteTable>(std::move(configuration));
}

auto makeSettings(const std::string& id) -> GatewaySettings
{
    GatewaySettings settings;
    settings.id = id;
    settings.bounds.quotaSlack = 110'000;
    settings.bounds.quotaExcess = 0.1;
    return settings;
}

constexpr std::uint64_t term = 7;

/** Returns the leadership as the leader sees it, which its lease allows until \a validUntil. */
auto ownLeadership(BootClock::time_point validUntil = BootClock::now() + 1min) -> Leadership
{
    const Address address { "127.0.0.1", 18'399 };
    Leadership own { "leader", address, true, term, term, validUntil, address, true };
    own.coordinationFence = term;
    return own;
}

/** Returns the leadership as another node sees it. */
auto knownLeadership() -> Leadership
{
    const Address address { "127.0.0.1", 18'399 };
    return { "leader", address, false, term, 0, {}, address, false };
}

/** Returns what a node that led publishes while no leader is known. */
auto ownVacancy(BootClock::time_point coordinatesUntil) -> Leadership
{
    Leadership vacancy { "", {}, false, 0, term, {}, { "127.0.0.1", 18'399 }, true, coordinatesUntil };
    vacancy.coordinationFence = term;
    return vacancy;
}

/** The quota controller of one node with its board. */
struct QuotaNode {
    QuotaNode(EventLoop& loop, const EventLog& log, const std::string& id)
        : settings(makeSettings(id))
        , leadership(board.leadership.acquireWriter("test"))
        , share(board.fleetShare.acquireWriter("test"))
        , traffic(board.traffic.acquireWriter("test"))
        , quotas(loop, settings, board, metrics, log)
    {
        this->traffic.write({ makeTable(), 1, BootClock::now() });
    }

    GatewaySettings settings;
    GatewayBoard board;
    SectionWriter<Leadership> leadership;
    SectionWriter<FleetShare> share;
    SectionWriter<TrafficInForce> traffic;
    Metrics metrics;
    QuotaController quotas;
};

/** A leader and one of many nodes; the test delivers or drops the messages between them. */
struct LeaderAndNode {
    LeaderAndNode()
    {
        this->node.quotas.requestIssued.connect([this](const QuotaRequest& quotaRequest) {
            ++this->requestCount;
            if (this->requestCount > this->lostRequests)
                this->node.quotas.applyReply(this->leader.quotas.replyTo(quotaRequest));
        });
        this->node.leadership.write(knownLeadership());
        this->node.share.write({ 69, { { "salon", 1.0 / 69 } }, 0.2 / 69, {} });
    }

    auto beginLeading() -> void
    {
        this->leader.leadership.write(ownLeadership());
        this->nodes["node"].report.upTime = 1min;
        this->nodes["node"].report.term = term;
        for (int update = 0; update < 4; ++update) {
            this->updateAccounts();
            this->runFor(450ms);
        }
        this->updateAccounts();
    }

    /** The leader hears the node, updates its accounts and answers, which it does twice a second. */
    auto updateAccounts() -> void
    {
        this->nodes["node"].receivedAt = EventLoop::now();
        this->leader.quotas.updateAccounts(this->nodes, 1);
        this->node.share.write({ 69, { { "salon", 1.0 / 69 } }, 0.2 / 69, {} });
    }

    auto runFor(std::chrono::milliseconds time) -> void
    {
        const auto end = EventLoop::now() + time;
        Timer timer(this->loop, [] {});
        while (EventLoop::now() < end) {
            timer.start(1ms);
            this->loop.runOnce();
        }
    }

    /** Requests \a units on the node; returns whether they were granted, or nothing when that has not been decided within \a time. */
    auto requestUnits(double units, std::chrono::milliseconds time = 0ms) -> std::optional<bool>
    {
        auto verdict = std::make_shared<std::optional<bool>>();
        this->node.quotas.request(this->node.board.traffic.value().table->configuration().workspaces.front(), units,
            [verdict](std::optional<std::chrono::milliseconds> wait) { *verdict = !wait.has_value(); });
        this->runFor(time);
        return *verdict;
    }

    EventLoop loop;
    EventLog log { "error" };
    QuotaNode leader { this->loop, this->log, "leader" };
    QuotaNode node { this->loop, this->log, "node" };
    NodeRecords nodes;
    int requestCount = 0; ///< Number of requests sent to the leader.
    int lostRequests = 0; ///< Number of requests that do not arrive, from the first one on.
};

TEST_CASE("a request that exceeds the share of its node is granted by the leader")
{
    LeaderAndNode fixture;
    fixture.beginLeading();
    for (int request = 0; request < 5; ++request)
        CHECK(fixture.requestUnits(largeRequest) == true);
    CHECK(fixture.requestCount == 5);
}

TEST_CASE("the leader refuses requests when the account is used up")
{
    LeaderAndNode fixture;
    fixture.beginLeading();
    int granted = 0;
    for (int request = 0; request < 100; ++request)
        granted += fixture.requestUnits(largeRequest) == true ? 1 : 0;
    // The account holds a part of the burst that the terms allow and is refilled meanwhile.
    CHECK(granted * largeRequest <= 0.6 * (29'000 * 1.1 + 0.1 * 29'000 * 8 + 110'000) + 29'000);
    CHECK(granted >= 5);
}

struct LossCase {
    const char* name;
    int lostRequests;
    std::chrono::milliseconds min; ///< Shortest time until the request is decided.
    std::chrono::milliseconds max; ///< Longest time until the request is decided.
    int requestCount; ///< Number of requests sent to the leader.
};

const LossCase lossCases[] = {
    { "a lost request is repeated", 1, 25ms, 70ms, 2 },
    { "the node decides when the repeated request is lost as well", 2, 75ms, 150ms, 2 },
};

TEST_CASE("a request is decided within some tens of milliseconds although messages are lost")
{
    for (const auto& row : lossCases) {
        CAPTURE(row.name);
        LeaderAndNode fixture;
        fixture.beginLeading();
        fixture.lostRequests = row.lostRequests;
        std::optional<EventLoop::TimePoint> decided;
        const auto begin = EventLoop::now();
        fixture.node.quotas.request(fixture.node.board.traffic.value().table->configuration().workspaces.front(), smallRequest,
            [&decided](std::optional<std::chrono::milliseconds>) { decided = EventLoop::now(); });
        fixture.runFor(200ms);
        REQUIRE(decided.has_value());
        CHECK(*decided - begin >= row.min);
        CHECK(*decided - begin <= row.max);
        CHECK(fixture.requestCount == row.requestCount);
    }
}

TEST_CASE("a node decides at once when no leader is known or the leader does not answer")
{
    LeaderAndNode fixture;
    fixture.node.leadership.write({});
    CHECK(fixture.requestUnits(smallRequest).has_value());
    fixture.node.leadership.write(knownLeadership());
    fixture.lostRequests = 100;
    fixture.runFor(1'600ms);
    CHECK(fixture.requestUnits(smallRequest).has_value());
    CHECK(fixture.requestCount == 0);
}

TEST_CASE("a node that does not lead keeps no account")
{
    LeaderAndNode fixture;
    CHECK(fixture.leader.quotas.replyTo({ 1, "salon", smallRequest }).verdict == QuotaVerdict::NoAccount);
    fixture.beginLeading();
    CHECK(fixture.leader.quotas.replyTo({ 2, "salon", smallRequest }).verdict == QuotaVerdict::Granted);
    CHECK(fixture.leader.quotas.replyTo({ 3, "unheard", smallRequest }).verdict == QuotaVerdict::NoAccount);
    fixture.leader.leadership.write(ownVacancy(BootClock::now() - 1ms));
    CHECK(fixture.leader.quotas.replyTo({ 4, "salon", smallRequest }).verdict == QuotaVerdict::NoAccount);
}

TEST_CASE("the last leader keeps the accounts while no other leader is known")
{
    LeaderAndNode fixture;
    fixture.beginLeading();
    fixture.leader.leadership.write(ownVacancy(BootClock::now() + 5s));
    fixture.leader.quotas.updateAccounts(fixture.nodes, 1);
    CHECK(fixture.requestUnits(largeRequest) == true);
    // Its accounts are those from before: they are not opened anew, whatever was granted.
    int granted = 0;
    for (int request = 0; request < 40; ++request)
        granted += fixture.requestUnits(largeRequest) == true ? 1 : 0;
    CHECK(granted < 15);
}

struct AgainCase {
    const char* name;
    std::uint64_t coordinationFence; ///< Fence with which the coordination began, after the node leads again.
    bool isAccountKept;
};

const AgainCase againCases[] = {
    { "no other node can have led", term, true },
    { "another node may have led, unseen", term + 2, false },
};

// Guards against units that are granted twice, by a leader and by one that was cut off meanwhile and leads again.
TEST_CASE("a leader that leads again keeps the accounts only if no other node can have led")
{
    for (const auto& row : againCases) {
        CAPTURE(row.name);
        LeaderAndNode fixture;
        fixture.beginLeading();
        fixture.leader.leadership.write(ownVacancy(BootClock::now() + 5s));
        fixture.leader.quotas.updateAccounts(fixture.nodes, 1);
        auto again = ownLeadership();
        again.term = again.fence = term + 2;
        again.coordinationFence = row.coordinationFence;
        fixture.leader.leadership.write(again);
        fixture.leader.quotas.updateAccounts(fixture.nodes, 1);
        // An account that is opened anew has nothing until the nodes have told their use.
        CHECK((fixture.leader.quotas.replyTo({ 4, "salon", largeRequest }).verdict == QuotaVerdict::Granted) == row.isAccountKept);
    }
}

TEST_CASE("a leader that was paused grants only newly accrued units")
{
    LeaderAndNode fixture;
    fixture.beginLeading();
    CHECK(fixture.leader.quotas.replyTo({ 1, "salon", largeRequest }).verdict == QuotaVerdict::Granted);
    fixture.runFor(1'300ms);
    CHECK(fixture.leader.quotas.replyTo({ 2, "salon", largeRequest }).verdict == QuotaVerdict::NoAccount);
    fixture.leader.quotas.updateAccounts(fixture.nodes, 1);
    CHECK(fixture.leader.quotas.replyTo({ 3, "salon", largeRequest }).verdict == QuotaVerdict::Refused);
    // The nodes' history before the pause does not tell what other leaders granted meanwhile.
    fixture.runFor(200ms);
    fixture.leader.quotas.updateAccounts(fixture.nodes, 1);
    CHECK(fixture.leader.quotas.replyTo({ 4, "salon", largeRequest }).verdict == QuotaVerdict::Refused);
}

TEST_CASE("a new leader that has heard only itself does not take its own history for that of all nodes")
{
    LeaderAndNode fixture;
    // By the last leader's word there are seven nodes; the record of their number did not exist when this one started.
    fixture.leader.share.write({ 7, {}, 0.2 / 7, {} });
    fixture.leader.leadership.write(ownLeadership());
    fixture.nodes["leader"].receivedAt = EventLoop::now();
    fixture.nodes["leader"].report.upTime = 1min;
    fixture.nodes["leader"].report.term = term;
    fixture.leader.quotas.updateAccounts(fixture.nodes, 0);
    CHECK(fixture.leader.quotas.replyTo({ 1, "salon", largeRequest }).verdict == QuotaVerdict::Refused);
}

TEST_CASE("a new leader uses the nodes' history as soon as nearly all have told it")
{
    LeaderAndNode fixture;
    fixture.leader.leadership.write(ownLeadership());
    for (int node = 0; node < 40; ++node) {
        auto& record = fixture.nodes["n" + std::to_string(node)];
        record.receivedAt = EventLoop::now();
        record.report.upTime = 1min;
    }
    fixture.leader.quotas.updateAccounts(fixture.nodes, 40);
    // Reports under the term before say nothing about the use up to the present one.
    CHECK(fixture.leader.quotas.replyTo({ 1, "salon", largeRequest }).verdict == QuotaVerdict::Refused);
    for (int node = 0; node < 39; ++node)
        fixture.nodes["n" + std::to_string(node)].report.term = term;
    fixture.leader.quotas.updateAccounts(fixture.nodes, 40);
    CHECK(fixture.leader.quotas.replyTo({ 2, "salon", largeRequest }).verdict == QuotaVerdict::Granted);
}

TEST_CASE("a new leader grants only newly accrued units until the nodes have reported their use")
{
    LeaderAndNode fixture;
    fixture.leader.leadership.write(ownLeadership());
    fixture.nodes["node"].receivedAt = EventLoop::now();
    fixture.leader.quotas.updateAccounts(fixture.nodes, 1);
    CHECK(fixture.requestUnits(largeRequest) == false);
    fixture.runFor(400ms);
    CHECK(fixture.requestUnits(largeRequest) == true);
}

struct HistoryCase {
    const char* name;
    RecentUse use;
    int min; ///< Smallest number of requests granted, of ten.
    double initialUnits; ///< Most units that the account may hold when the leader takes over.
};

const HistoryCase historyCases[] = {
    { "nothing was used", {}, 10, 10 * largeRequest },
    { "the burst was used up: only units accrued since the leader took over", { 50'000, 150'000, 300'000 }, 3, 0 },
};

TEST_CASE("a new leader's accounts include the use that the nodes report")
{
    for (const auto& row : historyCases) {
        CAPTURE(row.name);
        LeaderAndNode fixture;
        fixture.nodes["node"].report.workspaces.push_back({ "salon", 0, 0, row.use });
        const auto begin = EventLoop::now();
        fixture.beginLeading();
        int granted = 0;
        for (int request = 0; request < 10; ++request)
            granted += fixture.requestUnits(largeRequest) == true ? 1 : 0;
        const std::chrono::duration<double> elapsed = EventLoop::now() - begin;
        CHECK(granted >= row.min);
        CHECK(granted * largeRequest <= row.initialUnits + perSecond * elapsed.count());
    }
}

TEST_CASE("units that a node grants itself are debited from the account once")
{
    LeaderAndNode fixture;
    fixture.nodes["node"].session = 5;
    fixture.nodes["node"].report.workspaces.push_back({ "salon", 0, 70'000, {} });
    fixture.beginLeading();
    CHECK(fixture.requestUnits(largeRequest) == true);
    fixture.nodes["node"].report.workspaces.front().locallyGrantedUnits = 270'000;
    fixture.leader.quotas.updateAccounts(fixture.nodes, 1);
    CHECK(fixture.requestUnits(largeRequest) == false);
}

} // namespace
