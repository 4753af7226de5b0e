#include "rolloutcounter.h"
#include "rolloutgate.h"
#include "rolloutledger.h"
#include "rolloutplan.h"

#include <doctest/doctest.h>
#include <random>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t nodeCount = 30;
constexpr double perSecond = 100;
constexpr auto duration = 60s;
constexpr double lostMessages = 0.2; ///< Part of the reports and answers that are lost.
const RolloutPlan::TimePoint start(1h);

struct NodesCase {
    const char* name;
    double failures; ///< Part of the new version's answers that fail.
    double factor; ///< Factor on the times of the others.
    std::chrono::milliseconds badFrom;
    bool isNodeCutOff; ///< Whether one node gets no answers from 15 s on.
    RolloutPhase expected;
};

const NodesCase nodesCases[] = {
    { "good", 0, 1, 0s, false, RolloutPhase::Completed },
    { "good, one node cut off", 0, 1, 0s, true, RolloutPhase::Completed },
    { "fails", 0.1, 1, 0s, false, RolloutPhase::RolledBack },
    { "slow", 0, 4, 0s, false, RolloutPhase::RolledBack },
    { "fails late, one node cut off", 0.3, 1, 40s, true, RolloutPhase::RolledBack },
    { "fails when it gets much", 0.3, 1, 53s, false, RolloutPhase::RolledBack },
};

struct Node {
    RolloutGate gate { 2s, 1 };
    RolloutCounter counter;
};

// Guards against steps, shares and counts that do not fit together when many nodes hold them and messages are lost.
TEST_CASE("many nodes complete a good version in time and keep a bad one within its exposure")
{
    BackendServers servers { { "i-1", {} }, { "i-2", {} }, { "i-3", {} } };
    servers["i-1"].version = "v1";
    for (const auto* id : { "i-2", "i-3" }) {
        servers[id].version = "v2";
        servers[id].startedAt = 1;
    }
    for (const auto& row : nodesCases) {
        CAPTURE(row.name);
        std::mt19937 random(1);
        std::uniform_real_distribution<double> part(0, 1);
        std::lognormal_distribution<double> seconds(std::log(0.2), 0.5);
        std::vector<Node> nodes(nodeCount);
        std::multimap<RolloutPlan::TimePoint, std::tuple<std::size_t, std::uint64_t, AttemptEnd>> ends;
        std::map<std::size_t, RolloutPlan::TimePoint> heard;
        RolloutPlan plan({ "", "v2", 5, duration, duration, 0, RolloutPhase::Waiting, 0, 0, 0 }, { 0.1, 50 }, start);
        RolloutLedger ledger(0, 0, start);
        VersionComparison comparison;
        RolloutSituation situation;
        double received = 0;
        double sent = 0;
        std::uint64_t id = 0;
        for (auto now = start; now < start + duration && !(plan.state().phase == RolloutPhase::Completed); now += 100ms) {
            for (auto count = std::poisson_distribution<int>(perSecond / 10)(random); count > 0; --count, ++received) {
                const auto index = random() % nodeCount;
                auto& node = nodes[index];
                node.counter.requestReceived("");
                const auto side = node.gate.sidesFor("", ++id, false, now + 2s, now).front();
                const auto isNext = side == RolloutSide::Next;
                const auto isBad = isNext && now - start >= row.badFrom;
                sent += isNext ? 1 : 0;
                node.counter.attemptSent(id, { "", isNext ? "v2" : "v1", id % 2, 1, false, true, now, {}, {}, 0 });
                const auto time = std::chrono::duration_cast<RolloutPlan::TimePoint::duration>(std::chrono::duration<double>(seconds(random) * (isBad ? row.factor : 1)));
                ends.emplace(now + time, std::tuple(index, id, isBad && part(random) < row.failures ? AttemptEnd::ServerError : AttemptEnd::Finished));
            }
            for (; !ends.empty() && ends.begin()->first <= now; ends.erase(ends.begin())) {
                const auto& [index, request, end] = ends.begin()->second;
                const auto attempt = nodes[index].counter.attemptEnded(request, end, ends.begin()->first);
                nodes[index].gate.attemptEnded("", attempt.version, end != AttemptEnd::Finished, now);
            }
            for (std::size_t index = (now - start) / 100ms % 5; index < nodeCount; index += 5) {
                auto& node = nodes[index];
                node.gate.serversChanged(servers, now);
                if (part(random) < lostMessages || (row.isNodeCutOff && index == 0 && now - start >= 15s))
                    continue;
                heard[index] = now;
                for (const auto& report : node.counter.reports(now))
                    ledger.reportReceived(std::to_string(index), 1, report, now);
                const std::vector<RolloutShare> shares { { "", "v2", 5, plan.state().step, plan.state().phase, plan.shareAt(situation), plan.left(now), 2s } };
                if (part(random) < lostMessages)
                    continue;
                node.gate.answerReceived(shares, true, now, now);
                node.counter.setRollouts(shares, now);
            }
            comparison.add(ledger.takeAnswers(), now);
            situation = { comparison.verdict(), true, true, ledger.received(), ledger.sent(), perSecond, ledger.openAtEarlier(now - 3s), 2s };
            for (const auto& [index, time] : heard)
                situation.isInForce = situation.isInForce && (now - time >= 3s || ledger.isInForce(std::to_string(index), plan.state().step, plan.state().share));
            if (const auto step = plan.next(situation, now))
                plan.apply(*step, now);
        }
        CHECK(plan.state().phase == row.expected);
        if (row.expected == RolloutPhase::RolledBack)
            CHECK(sent <= 0.1 * received + 50);
    }
}

} // namespace
