#include "gatewayfixture.h"
#include "wallclock.h"

#include <doctest/doctest.h>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

using namespace Primrosefork;
using namespace Primrosefork::Testkit;
using namespace std::chrono_literals;

namespace {

using Outcome = StoreStandIn::WriteOutcome;

constexpr int serverPort = 18321;
constexpr auto usageKey = "primrosefork/usage";
constexpr auto otherLeader = R"({"id":"node-2","address":"127.0.0.1:18399","incarnation":"x"})";
constexpr std::uint64_t otherCount = 777;
constexpr auto longestReport = 8s;

/** A node that leads, before a store that loses its writes of usage and then comes back from a copy. */
struct UsageFixture : GatewayFixture {
    UsageFixture()
        : server(loop, { "127.0.0.1", serverPort }, [](const std::string& request) -> ScriptedAnswer { return { GatewayFixture::answerTo(request, 200, "hello") }; })
    {
        this->configure(1);
        this->registerServer("i-1", "app", serverPort);
        REQUIRE(this->startLeading());
    }

    auto startLeading() -> bool
    {
        return this->start() && this->runUntil([this] { return this->node->board().leadership.value().isOwn; });
    }

    auto serveFor(std::chrono::milliseconds time) -> void
    {
        const auto end = EventLoop::now() + time;
        while (EventLoop::now() < end) {
            static_cast<void>(this->sendRequest(GatewayFixture::makeRequest("/read/", "r" + std::to_string(++this->sent))));
            this->runFor(20ms);
        }
    }

    /** Serves until a window from \a first on is reported. */
    auto serveUntilReported(UsageWindow first) -> void
    {
        const auto isReported = [&] {
            const auto all = this->reports();
            return !all.empty() && all.rbegin()->first >= first;
        };
        const auto end = EventLoop::now() + longestReport;
        while (!isReported() && EventLoop::now() < end)
            this->serveFor(100ms);
        REQUIRE(isReported());
    }

    [[nodiscard]] auto presentWindow() const -> UsageWindow { return WallClock::machineTime() / this->settings.bounds.usageWindow; }

    /** Returns the counts of the workspace in all reports, by window. */
    [[nodiscard]] auto reports() const -> std::map<UsageWindow, std::set<std::uint64_t>>
    {
        std::map<UsageWindow, std::set<std::uint64_t>> reports;
        for (const auto& call : this->platform.fleetCalls) {
            const auto body = nlohmann::json::parse(call.body, nullptr, false);
            if (call.path == "/usage")
                reports[body["window-id"].get<UsageWindow>()].insert(body["counts"].value("salon", std::uint64_t { 0 }));
        }
        return reports;
    }

    /** Another node leads: it stores and reports the windows from \a first on that have ended. */
    auto leadElsewhere(UsageWindow first) -> void
    {
        this->platform.put("primrosefork/leader", otherLeader);
        auto record = nlohmann::json::object();
        for (auto window = first; window < this->presentWindow() - 1; ++window) {
            record[std::to_string(window)] = { { "salon", otherCount } };
            this->reportedElsewhere.insert(window);
        }
        this->platform.put(usageKey, record.dump());
    }

    ScriptedServer server;
    std::set<UsageWindow> reportedElsewhere;
    int sent = 0;
};

struct CutCase {
    const char* name;
    Outcome outcome; ///< What happens to the node's writes of usage before the other node leads.
    bool isLateAfterRestoration; ///< Whether late writes are carried out when the store is back, not when the other node leads.
    int restorations;
    std::chrono::milliseconds pause; ///< Time for which the node does not run while the other leads.
    bool isRestarted; ///< Whether the node is started anew after the restoration.
};

const CutCase cutCases[] = {
    { "the write is lost", Outcome::Lost, false, 1, 0ms, false },
    { "the write is carried out after the restoration", Outcome::Late, true, 1, 0ms, false },
    { "the write is carried out late, but the other node has written", Outcome::Late, false, 1, 0ms, false },
    { "two restorations", Outcome::Lost, false, 2, 0ms, false },
    { "the node is paused meanwhile", Outcome::Lost, false, 1, 1'500ms, false },
    { "the node is started anew", Outcome::Lost, false, 1, 0ms, true },
    { "the write is carried out after the restoration, and the node is started anew", Outcome::Late, true, 1, 0ms, true },
};

// Guards against usage that is reported with the counts of a write that the store has not acknowledged, after another node has reported its own.
TEST_CASE("a window that another node reported is not reported with other counts after a restoration")
{
    for (const auto& row : cutCases) {
        CAPTURE(row.name);
        UsageFixture fixture;
        fixture.serveUntilReported(0);
        fixture.platform.writeOutcomes[usageKey] = row.outcome;
        fixture.serveFor(2'200ms);
        const auto backup = fixture.platform.backup();
        const auto first = fixture.reports().rbegin()->first + 1;
        fixture.leadElsewhere(first);
        REQUIRE_FALSE(fixture.reportedElsewhere.empty());
        std::this_thread::sleep_for(row.pause);
        fixture.runFor(300ms);
        fixture.platform.writeOutcomes.clear();
        if (!row.isLateAfterRestoration)
            fixture.platform.carryOutLateWrites();
        for (int count = 0; count < row.restorations; ++count) {
            fixture.platform.restore(backup);
            fixture.platform.carryOutLateWrites();
            fixture.runFor(300ms);
        }
        const auto back = fixture.presentWindow();
        if (row.isRestarted) {
            fixture.node.reset();
            REQUIRE(fixture.startLeading());
        }
        fixture.serveUntilReported(back + 2);
        const auto reports = fixture.reports();
        for (const auto& report : reports) {
            CAPTURE(report.first);
            CHECK(report.second.size() == 1);
            if (fixture.reportedElsewhere.contains(report.first))
                CHECK(*report.second.begin() == otherCount);
        }
        // What has ended since is reported as ever.
        CHECK(reports.contains(back + 1));
    }
}

struct KeptCase {
    const char* name;
    Outcome outcome; ///< What happens to the writes of usage for a while.
    int restorations; ///< Restorations after that, with which nothing is lost.
};

const KeptCase keptCases[] = {
    { "writes are lost", Outcome::Lost, 0 },
    { "answers are lost", Outcome::AnswerLost, 0 },
    { "writes are late", Outcome::Late, 0 },
    { "the store comes back from copies while the node leads", Outcome::Answered, 3 },
};

// Guards against windows that are given up although their counts are certain.
TEST_CASE("every window is reported once its counts are stored")
{
    for (const auto& row : keptCases) {
        CAPTURE(row.name);
        UsageFixture fixture;
        // The windows from before the start are reported first.
        const auto first = fixture.presentWindow();
        fixture.serveUntilReported(first);
        fixture.platform.writeOutcomes[usageKey] = row.outcome;
        fixture.serveFor(1'500ms);
        fixture.platform.writeOutcomes.clear();
        fixture.platform.carryOutLateWrites();
        for (int count = 0; count < row.restorations; ++count) {
            fixture.platform.restore(fixture.platform.backup());
            fixture.serveFor(700ms);
        }
        const auto last = fixture.presentWindow();
        fixture.serveUntilReported(last);
        const auto reports = fixture.reports();
        for (auto window = first; window <= last; ++window) {
            CAPTURE(window);
            CHECK(reports.contains(window));
        }
        for (const auto& [window, counts] : reports)
            CHECK(counts.size() == 1);
    }
}

} // namespace
