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

/** The quota controller of one node with its board. */
struct Member {
    Member(EventLoop& loop, const EventLog& log, const std::string& id)
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

/** A leader and one of many nodes, with the datagrams between them in the test's hand. */
struct Pair {
    Pair()
    {
        this->node.quotas.requestIssued.connect([this](const QuotaRequest& question) {
            ++this->questions;
            if (this->questions > this->lost)
                this->node.quotas.applyReply(this->leader.quotas.replyTo(question));
        });
        this->node.leadership.write({ "leader", { "127.0.0.1", 18'399 }, false, 0, {} });
        this->node.share.write({ 69, { { "salon", 1.0 / 69 } }, {} });
    }

    auto beginLeading() -> void
    {
        this->leader.leadership.write({ "leader", { "127.0.0.1", 18'399 }, true, 7, BootClock::now() + 1min });
        this->nodes["node"].receivedAt = EventLoop::now();
        this->nodes["node"].report.upTime = 1min;
        this->leader.quotas.updateAccounts(this->nodes, 1);
        this->runFor(1'300ms);
        this->nodes["node"].receivedAt = EventLoop::now();
        this->leader.quotas.updateAccounts(this->nodes, 1);
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

    /** Asks on the node; returns whether the units were granted, or nothing when it has not been decided within \a time. */
    auto ask(double units, std::chrono::milliseconds time = 0ms) -> std::optional<bool>
    {
        auto verdict = std::make_shared<std::optional<bool>>();
        this->node.quotas.request(this->node.board.traffic.value().table->configuration().workspaces.front(), units,
            [verdict](std::optional<std::chrono::milliseconds> wait) { *verdict = !wait.has_value(); });
        this->runFor(time);
        return *verdict;
    }

    EventLoop loop;
    EventLog log { "error" };
    Member leader { this->loop, this->log, "leader" };
    Member node { this->loop, this->log, "node" };
    NodeRecords nodes;
    int questions = 0;
    int lost = 0; ///< Questions that don't arrive.
};

TEST_CASE("one of many nodes grants a request that is larger than its own part")
{
    Pair pair;
    pair.beginLeading();
    for (int request = 0; request < 5; ++request)
        CHECK(pair.ask(largeRequest) == true);
    CHECK(pair.questions == 5);
}

TEST_CASE("the leader's account refuses when it is used up")
{
    Pair pair;
    pair.beginLeading();
    int granted = 0;
    for (int request = 0; request < 100; ++request)
        granted += pair.ask(largeRequest) == true ? 1 : 0;
    // The account's part of the burst that the terms allow, and what flows in meanwhile.
    CHECK(granted * largeRequest <= 0.6 * (29'000 * 1.1 + 0.1 * 29'000 * 8 + 110'000) + 29'000);
    CHECK(granted >= 5);
}

struct LossCase {
    const char* name;
    int lost;
    std::chrono::milliseconds least; ///< Until the request is decided.
    std::chrono::milliseconds most;
    int questions;
};

const LossCase lossCases[] = {
    { "a question that is lost is asked again", 1, 25ms, 70ms, 2 },
    { "the node decides when both are lost", 2, 75ms, 150ms, 2 },
};

TEST_CASE("a request is decided within some tens of milliseconds")
{
    for (const auto& row : lossCases) {
        CAPTURE(row.name);
        Pair pair;
        pair.beginLeading();
        pair.lost = row.lost;
        std::optional<EventLoop::TimePoint> decided;
        const auto begin = EventLoop::now();
        pair.node.quotas.request(pair.node.board.traffic.value().table->configuration().workspaces.front(), smallRequest,
            [&decided](std::optional<std::chrono::milliseconds>) { decided = EventLoop::now(); });
        pair.runFor(200ms);
        REQUIRE(decided.has_value());
        CHECK(*decided - begin >= row.least);
        CHECK(*decided - begin <= row.most);
        CHECK(pair.questions == row.questions);
    }
}

TEST_CASE("a node decides at once when no leader is known or none answers")
{
    Pair pair;
    pair.node.leadership.write({});
    CHECK(pair.ask(smallRequest).has_value());
    pair.node.leadership.write({ "leader", { "127.0.0.1", 18'399 }, false, 0, {} });
    pair.lost = 100;
    pair.runFor(1'600ms);
    CHECK(pair.ask(smallRequest).has_value());
    CHECK(pair.questions == 0);
}

TEST_CASE("a node that does not lead keeps no account")
{
    Pair pair;
    CHECK(pair.leader.quotas.replyTo({ 1, "salon", smallRequest }).verdict == QuotaVerdict::NoAccount);
    pair.beginLeading();
    CHECK(pair.leader.quotas.replyTo({ 2, "salon", smallRequest }).verdict == QuotaVerdict::Granted);
    CHECK(pair.leader.quotas.replyTo({ 3, "unheard", smallRequest }).verdict == QuotaVerdict::NoAccount);
    pair.leader.leadership.write({ "leader", { "127.0.0.1", 18'399 }, true, 7, BootClock::now() - 1ms });
    CHECK(pair.leader.quotas.replyTo({ 4, "salon", smallRequest }).verdict == QuotaVerdict::NoAccount);
}

TEST_CASE("a new leader grants what flows in before the nodes told it of the use")
{
    Pair pair;
    pair.leader.leadership.write({ "leader", { "127.0.0.1", 18'399 }, true, 7, BootClock::now() + 1min });
    pair.nodes["node"].receivedAt = EventLoop::now();
    pair.leader.quotas.updateAccounts(pair.nodes, 1);
    CHECK(pair.ask(largeRequest) == false);
    pair.runFor(400ms);
    CHECK(pair.ask(largeRequest) == true);
}

struct HistoryCase {
    const char* name;
    RecentUse use;
    int least; ///< Granted of ten requests.
    int most;
};

const HistoryCase historyCases[] = {
    { "nothing was used", {}, 10, 10 },
    { "the burst was used: what flowed in since the leader began", { 50'000, 150'000, 300'000 }, 3, 5 },
};

TEST_CASE("a leader that takes over begins with what the nodes let through")
{
    for (const auto& row : historyCases) {
        CAPTURE(row.name);
        Pair pair;
        pair.nodes["node"].report.workspaces.push_back({ "salon", 0, 0, row.use });
        pair.beginLeading();
        int granted = 0;
        for (int request = 0; request < 10; ++request)
            granted += pair.ask(largeRequest) == true ? 1 : 0;
        CHECK(granted >= row.least);
        CHECK(granted <= row.most);
    }
}

TEST_CASE("what nodes grant on their own is taken off the account once")
{
    Pair pair;
    pair.nodes["node"].session = 5;
    pair.nodes["node"].report.workspaces.push_back({ "salon", 0, 70'000, {} });
    pair.beginLeading();
    CHECK(pair.ask(largeRequest) == true);
    pair.nodes["node"].report.workspaces.front().locallyGrantedUnits = 270'000;
    pair.leader.quotas.updateAccounts(pair.nodes, 1);
    CHECK(pair.ask(largeRequest) == false);
}

} // namespace
