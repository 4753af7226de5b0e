#include "crashevidence.h"
#include "promptquarantine.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = CrashEvidence::TimePoint;

const std::string service = "llm";
const TimePoint start { 1h };
constexpr auto step = 10ms;
constexpr auto reportPeriod = 500ms;
constexpr auto decisionPeriod = 100ms;
constexpr auto contact = 3s; ///< Time after the fifth crash from which few requests with the part may reach servers.
constexpr int fifthCrash = 5;
constexpr int maxLateArrivals = 3;
constexpr auto restartTime = 4s; ///< Time for which a crashed server is away.
constexpr std::array<std::uint64_t, 2> deadlyParts = { 0xdead, 0xbeef };
constexpr std::uint64_t firstParts = 4; ///< Number of first parts that requests share, from 1.
constexpr std::uint64_t rareParts = 1'000; ///< Lowest id of the parts that few requests share.

enum class Event {
    None,
    LeaderChange, ///< Another node leads from one second after the first crash on; it knows what the next reports say.
    LeaderLost, ///< Each node decides on its own evidence.
    Restart, ///< All nodes start anew at 15 s, with what the store holds.
    Wave, ///< All servers crash at 5 s, and one after the other from 10 s on.
    Outage, ///< All servers lose all attempts from 5 to 10 s.
    SecondPart, ///< Each second deadly request has another deadly part.
    Flapping, ///< Server 0 crashes each second; all requests with the part rareParts are sent there.
};

struct LoadCase {
    const char* name;
    int nodes;
    int servers;
    double soundPerSecond; ///< Sound requests that arrive at all nodes.
    std::uint64_t rareCount; ///< Number of parts among which the second part of sound requests is drawn.
    double deadlyPerSecond;
    int collateral; ///< Sound attempts that are lost with each crash.
    double lossRate; ///< Part of the sound attempts that is lost for other reasons.
    double lostDatagrams; ///< Part of the reports that does not reach the leader.
    Event event;
};

const LoadCase deadlyCases[] = {
    { "2/s over 9 nodes", 9, 18, 160, 400, 2, 4, 0, 0, Event::None },
    { "0.5/s over 9 nodes", 9, 18, 160, 400, 0.5, 4, 0, 0, Event::None },
    { "8/s over 90 nodes", 90, 200, 800, 2'000, 8, 4, 0, 0, Event::None },
    { "8/s over 90 nodes with a leader change in the middle", 90, 200, 800, 2'000, 8, 4, 0, 0, Event::LeaderChange },
    { "8/s over 295 nodes", 295, 600, 1'500, 4'000, 8, 4, 0, 0, Event::None },
    { "2/s over 9 nodes while a fifth of the reports is lost", 9, 18, 160, 400, 2, 4, 0, 0.2, Event::None },
    { "2/s over 9 nodes in a pool that loses a tenth of the attempts", 9, 18, 160, 400, 2, 4, 0.1, 0, Event::None },
    { "2/s over 9 nodes and six servers", 9, 6, 60, 40, 2, 2, 0, 0, Event::None },
    { "two parts, 1/s each, over 9 nodes", 9, 18, 160, 400, 2, 4, 0, 0, Event::SecondPart },
    { "two parts, 2/s each, over 9 nodes, while each crash loses ten sound attempts", 9, 18, 40, 40, 4, 10, 0, 0, Event::SecondPart },
    { "two parts, 4/s each, over 295 nodes", 295, 600, 1'500, 4'000, 8, 4, 0, 0, Event::SecondPart },
    { "2/s over 9 nodes, all started anew", 9, 18, 160, 400, 2, 4, 0, 0, Event::Restart },
    { "2/s at one node that knows no leader", 1, 18, 40, 100, 2, 2, 0, 0, Event::LeaderLost },
};

const LoadCase soundCases[] = {
    { "a grey pool that loses 45% of the attempts, with 1,000 rare parts", 9, 18, 160, 1'000, 0, 0, 0.45, 0, Event::None },
    { "a grey pool with one part that all requests share", 9, 3, 5, 1, 0, 0, 0.45, 0, Event::None },
    { "a wave of crashes", 9, 18, 160, 400, 0, 8, 0, 0, Event::Wave },
    { "a wave of crashes with few parts", 9, 18, 160, 5, 0, 8, 0, 0, Event::Wave },
    { "an outage of all servers", 9, 18, 160, 400, 0, 0, 0, 0, Event::Outage },
    { "one flapping server that is the home of a part", 9, 18, 160, 400, 0, 2, 0, 0, Event::Flapping },
    { "steady traffic", 9, 18, 160, 400, 0, 0, 0, 0, Event::None },
};

/** Nodes that report to a leader, and servers that crash. */
class Fleet {
public:
    Fleet(const LoadCase& load, unsigned seed)
        : load(load)
        , random(seed)
        , nodes(static_cast<std::size_t>(load.nodes))
        , upAgain(static_cast<std::size_t>(load.servers), start)
    {
        for (std::size_t index = 0; index < this->nodes.size(); ++index)
            this->nodes[index].nextReport = start + reportPeriod * static_cast<std::int64_t>(index) / static_cast<std::int64_t>(this->nodes.size());
    }

    auto run(std::chrono::milliseconds time) -> void
    {
        for (const auto end = this->now + time; this->now < end; this->now += step) {
            this->disturb();
            const auto perStep = std::chrono::duration<double>(step).count();
            for (auto count = this->draw(this->load.soundPerSecond * perStep); count > 0; --count)
                this->sendSound(this->anyNode());
            for (auto count = this->draw(this->load.deadlyPerSecond * perStep); count > 0; --count)
                this->sendDeadly(this->anyNode());
            for (std::size_t index = 0; index < this->nodes.size(); ++index) {
                if (this->nodes[index].nextReport <= this->now)
                    this->report(index);
            }
        }
    }

    std::array<int, deadlyParts.size()> crashes {}; ///< Crashes on each deadly part.
    std::array<int, deadlyParts.size()> lateArrivals {}; ///< Arrivals of each deadly part when it has to be refused.
    int refusedSound = 0;
    int sound = 0;
    int lateSound = 0;
    std::set<std::uint64_t> everQuarantined;

private:
    struct Node {
        CrashEvidence evidence;
        std::map<std::uint64_t, TimePoint> quarantined;
        PromptQuarantine own; ///< Used without a leader.
        TimePoint nextReport;
    };

    auto draw(double mean) -> int { return std::poisson_distribution<int>(mean)(this->random); }
    auto below(std::size_t bound) -> std::size_t { return std::uniform_int_distribution<std::size_t>(0, bound - 1)(this->random); }
    auto chance(double probability) -> bool { return std::uniform_real_distribution<double>(0, 1)(this->random) < probability; }
    auto anyNode() -> Node& { return this->nodes[this->below(this->nodes.size())]; }

    /** Returns a server that is up, or nothing. */
    auto anyServer() -> std::optional<std::size_t>
    {
        std::vector<std::size_t> up;
        for (std::size_t index = 0; index < this->upAgain.size(); ++index) {
            if (this->upAgain[index] <= this->now)
                up.push_back(index);
        }
        return up.empty() ? std::nullopt : std::optional(up[this->below(up.size())]);
    }

    auto soundPrompt() -> std::vector<PromptPart>
    {
        return { { 1 + this->below(firstParts), 100 }, { rareParts + this->below(this->load.rareCount), 100 }, { 1'000'000 + this->random(), 10 } };
    }

    auto isRefused(const Node& node, const std::vector<PromptPart>& parts) const -> bool
    {
        return std::any_of(parts.begin(), parts.end() - 1, [this, &node](const PromptPart& part) {
            const auto found = node.quarantined.find(part.id);
            return found != node.quarantined.end() && found->second > this->now;
        });
    }

    auto lose(Node& node, const std::vector<PromptPart>& parts, std::size_t server) -> void
    {
        node.evidence.attemptLost(service, parts, "i-" + std::to_string(server), this->now);
    }

    auto sendSound(Node& node) -> void
    {
        const auto parts = this->soundPrompt();
        ++this->sound;
        if (this->isRefused(node, parts)) {
            ++this->refusedSound;
            return;
        }
        auto server = this->load.event == Event::Flapping && parts[1].id == rareParts ? std::optional<std::size_t>(0) : this->anyServer();
        if (!server || this->upAgain[*server] > this->now)
            return;
        const auto isOut = this->load.event == Event::Outage && this->now >= start + 5s && this->now < start + 10s;
        if (isOut || this->chance(this->load.lossRate))
            return this->lose(node, parts, *server);
        node.evidence.attemptBegan(service, parts, this->now);
    }

    auto sendDeadly(Node& node) -> void
    {
        const auto index = this->load.event == Event::SecondPart ? this->deadlyRequests++ % deadlyParts.size() : 0;
        const std::vector<PromptPart> parts { { 1 + this->below(firstParts), 100 }, { deadlyParts[index], 100 }, { 1'000'000 + this->random(), 10 } };
        const auto server = this->anyServer();
        if (this->isRefused(node, parts) || !server)
            return;
        if (this->crashes[index] >= fifthCrash && this->now > this->fifthAt[index] + contact)
            ++this->lateArrivals[index];
        this->lose(node, parts, *server);
        this->crash(*server);
        if (++this->crashes[index] == 1)
            this->firstAt = this->now;
        if (this->crashes[index] == fifthCrash)
            this->fifthAt[index] = this->now;
    }

    auto crash(std::size_t server) -> void
    {
        this->upAgain[server] = this->now + restartTime;
        for (int index = 0; index < this->load.collateral; ++index)
            this->lose(this->anyNode(), this->soundPrompt(), server);
    }

    auto disturb() -> void
    {
        const auto passed = this->now - start;
        if (this->load.event == Event::LeaderChange && !this->hasChanged && this->crashes[0] > 0 && this->now - this->firstAt > 1s) {
            this->hasChanged = true;
            this->leader = {};
        }
        if (this->load.event == Event::Restart && passed == 15s) {
            const auto stored = this->leader.verdicts(this->now);
            this->leader = {};
            for (auto& node : this->nodes) {
                const auto nextReport = node.nextReport;
                node = {};
                node.nextReport = nextReport;
                for (const auto& verdict : stored)
                    this->apply(node, verdict);
            }
            for (const auto& verdict : stored)
                this->leader.adopt(verdict.service, verdict.quarantined, this->now);
        }
        if (this->load.event == Event::Wave && passed == 5s) {
            for (std::size_t server = 0; server < this->upAgain.size(); ++server)
                this->crash(server);
        }
        if (this->load.event == Event::Wave && passed >= 10s && passed % 300ms == 0ms && passed < 15s)
            this->crash(static_cast<std::size_t>((passed - 10s) / 300ms) % this->upAgain.size());
        if (this->load.event == Event::Flapping && passed % 1s == 0ms) {
            this->lose(this->anyNode(), { { 1, 100 }, { rareParts, 100 }, { 2, 10 } }, 0);
            this->crash(0);
            this->upAgain[0] = this->now + 900ms;
        }
    }

    auto apply(Node& node, const PromptVerdict& verdict) -> void
    {
        for (const auto& entry : verdict.quarantined) {
            node.quarantined[entry.part] = this->now + entry.left;
            this->everQuarantined.insert(entry.part);
        }
    }

    auto report(std::size_t index) -> void
    {
        auto& node = this->nodes[index];
        node.nextReport += reportPeriod;
        if (this->chance(this->load.lostDatagrams))
            return;
        auto& decider = this->load.event == Event::LeaderLost ? node.own : this->leader;
        decider.reportReceived("node-" + std::to_string(index), node.evidence.report(this->now), this->now);
        if (this->load.event == Event::LeaderLost || this->now - this->lastDecision >= decisionPeriod) {
            decider.decide(this->now);
            this->lastDecision = this->now;
        }
        const auto verdicts = decider.verdicts(this->now);
        node.quarantined.clear();
        for (const auto& verdict : verdicts)
            this->apply(node, verdict);
        node.evidence.setQuestioned(verdicts);
    }

    const LoadCase& load;
    std::mt19937 random;
    std::vector<Node> nodes;
    std::vector<TimePoint> upAgain; ///< Time from which each server is up.
    PromptQuarantine leader;
    TimePoint now = start;
    TimePoint lastDecision = start;
    TimePoint firstAt = start;
    std::array<TimePoint, deadlyParts.size()> fifthAt {};
    std::size_t deadlyRequests = 0;
    bool hasChanged = false;
};

TEST_CASE("a part that crashes servers is refused everywhere soon after the fifth crash, and no other one")
{
    for (const auto& row : deadlyCases) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            INFO(std::string(row.name));
            CAPTURE(seed);
            Fleet fleet(row, seed);
            fleet.run(40s);
            const std::size_t count = row.event == Event::SecondPart ? 2 : 1;
            for (std::size_t index = 0; index < count; ++index) {
                CHECK(fleet.crashes[index] >= 4);
                CHECK(fleet.lateArrivals[index] <= maxLateArrivals);
            }
            CHECK(fleet.everQuarantined == std::set<std::uint64_t>(deadlyParts.begin(), deadlyParts.begin() + count));
            CHECK(fleet.refusedSound == 0);
        }
    }
}

TEST_CASE("no part is refused when servers fail on any prompt")
{
    for (const auto& row : soundCases) {
        for (unsigned seed = 1; seed <= 5; ++seed) {
            INFO(std::string(row.name));
            CAPTURE(seed);
            Fleet fleet(row, seed);
            fleet.run(60s);
            CHECK(fleet.everQuarantined.empty());
            CHECK(fleet.refusedSound == 0);
        }
    }
}

struct OutageCase {
    const char* name;
    std::chrono::milliseconds outage; ///< Time for which all attempts are lost.
    std::chrono::milliseconds distance; ///< Time between two attempts with the rare part in the outage; there are none after it.
};

const OutageCase outageCases[] = {
    { "a short outage with repeats of a request", 3s, 600ms },
    { "an outage of ten seconds", 10s, 2s },
    { "an outage of ten seconds with many requests", 10s, 400ms },
};

// Guards against losses that are older than the rate of losses that they are compared with.
TEST_CASE("a sound part that was not asked for since an outage is not refused")
{
    constexpr auto otherDistance = 50ms;
    constexpr int servers = 12;
    for (const auto& row : outageCases) {
        INFO(std::string(row.name));
        CrashEvidence evidence;
        PromptQuarantine leader;
        int quarantined = 0;
        for (auto passed = 0ms; passed < 60s; passed += step) {
            const auto now = start + passed;
            const auto isOut = passed >= 5s && passed < 5s + row.outage;
            const std::vector<PromptPart> others { { 1, 100 }, { 2, 100 }, { 3, 10 } };
            if (passed % otherDistance == 0ms && isOut)
                evidence.attemptLost(service, others, "i-" + std::to_string(passed / otherDistance % servers), now);
            else if (passed % otherDistance == 0ms)
                evidence.attemptBegan(service, others, now);
            if (isOut && passed % row.distance == 0ms)
                evidence.attemptLost(service, std::vector<PromptPart> { { 1, 100 }, { rareParts, 100 }, { 3, 10 } }, "i-" + std::to_string(passed / row.distance % servers), now);
            if (passed % reportPeriod != 0ms)
                continue;
            leader.reportReceived("node-1", evidence.report(now), now);
            quarantined += static_cast<int>(leader.decide(now).size());
            evidence.setQuestioned(leader.verdicts(now));
        }
        CHECK(quarantined == 0);
    }
}

TEST_CASE("a quarantine ends after its time")
{
    PromptQuarantine quarantine;
    quarantine.adopt(service, { { deadlyParts[0], 5s } }, start);
    CHECK(quarantine.decide(start + 4s).empty());
    REQUIRE(quarantine.verdicts(start + 4s).size() == 1);
    CHECK(quarantine.verdicts(start + 4s).front().quarantined.front().left == 1s);
    const auto changes = quarantine.decide(start + 5s);
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes.front().isQuarantined);
    CHECK(quarantine.verdicts(start + 5s).empty());
}

TEST_CASE("evidence stays bounded, whatever the prompts and reports hold")
{
    CrashEvidence evidence;
    auto now = start;
    for (std::uint64_t part = 0; part < 20'000; ++part, now += 1ms) {
        const std::vector<PromptPart> parts { { part, 1 }, { part + 1, 1 }, { part + 2, 1 } };
        if (part % 2 == 0)
            evidence.attemptLost(service, parts, "i-" + std::to_string(part), now);
        else
            evidence.attemptBegan(service, { parts.data(), 2 }, now);
    }
    const auto report = evidence.report(now);
    REQUIRE(report.size() == 1);
    CHECK(report.front().suspects.size() <= maxReportedSuspects);
    CHECK(report.front().crashes.size() <= maxReportedCrashes);
    PromptQuarantine quarantine;
    PromptEvidence forged;
    forged.service = service;
    forged.begun.assign(1'000, 65'535);
    for (std::uint64_t part = 0; part < 1'000; ++part)
        forged.suspects.push_back({ part, 0, std::vector<PromptLoss>(1'000, PromptLoss { static_cast<std::uint32_t>(part), std::chrono::milliseconds(part) }) });
    quarantine.reportReceived("node-1", { forged }, now);
    CHECK(quarantine.decide(now).empty());
    const std::vector<PromptPart> none;
    evidence.attemptLost(service, none, "", now);
    evidence.attemptBegan(service, none, now);
}

} // namespace
