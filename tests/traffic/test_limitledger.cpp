#include "limitledger.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <random>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = BootClock::time_point;

constexpr auto step = 10ms;
constexpr auto reportPeriod = 500ms;
constexpr auto playTime = 30s;
constexpr auto ruleWindow = 4s;
constexpr auto firstCounted = 2s; ///< Time after which the leader has heard of the limit.

enum class Trouble : std::uint8_t {
    None,
    NodesComeAndGo, ///< Each second a tenth of the nodes is replaced by new ones that know nothing.
    Freezes, ///< Every two seconds an eighth of the nodes stand still for three seconds and then get an answer from before.
    LeaderChanges, ///< Each six seconds another leader begins, and for four seconds before that there is none.
    HalfWithoutLeader, ///< Half of the nodes get no answers for ten seconds.
    NeverALeader,
};

struct FleetCase {
    const char* name;
    std::size_t nodes;
    double perSecond;
    double demand; ///< Requests per second that each node has for the server.
    Trouble trouble;
    double minUse; ///< Part of the limit that has to be used.
};

const FleetCase fleetCases[] = {
    { "8 nodes, less than one a second", 8, 0.4, 5, Trouble::None, 0.4 },
    { "8 nodes, one a second", 8, 1, 5, Trouble::None, 0.6 },
    { "8 nodes, twenty a second", 8, 20, 30, Trouble::None, 0.7 },
    { "300 nodes, one a second", 300, 1, 0.5, Trouble::None, 0.2 },
    { "300 nodes, twenty a second", 300, 20, 0.5, Trouble::None, 0.3 },
    { "300 nodes, a hundred a second", 300, 100, 3, Trouble::None, 0.5 },
    { "8 nodes that come and go", 8, 3, 10, Trouble::NodesComeAndGo, 0.5 },
    { "300 nodes that come and go", 300, 5, 1, Trouble::NodesComeAndGo, 0.3 },
    { "8 nodes that freeze", 8, 3, 10, Trouble::Freezes, 0.4 },
    { "300 nodes that freeze", 300, 10, 1, Trouble::Freezes, 0.2 },
    { "8 nodes with other leaders", 8, 2, 10, Trouble::LeaderChanges, 0.2 },
    { "300 nodes with other leaders", 300, 20, 1, Trouble::LeaderChanges, 0.1 },
    { "8 nodes, half without a leader", 8, 2, 10, Trouble::HalfWithoutLeader, 0.5 },
    { "300 nodes, half without a leader", 300, 20, 1, Trouble::HalfWithoutLeader, 0.2 },
    { "8 nodes without a leader", 8, 4, 10, Trouble::NeverALeader, 0.1 },
    { "300 nodes without a leader", 300, 30, 3, Trouble::NeverALeader, 0.05 },
};

/** Nodes that have more requests for a server than its limit allows, and their leader. */
class Fleet {
public:
    Fleet(const FleetCase& row, std::uint64_t seed)
        : row(row)
        , random(seed)
        , ledger(std::make_unique<LimitLedger>(seed))
    {
        this->server.id = "i-1";
        this->server.pool = "llm";
        for (std::size_t index = 0; index < row.nodes; ++index)
            this->nodes.push_back(this->makeNode(index));
    }

    auto play() -> void
    {
        for (auto moment = this->start; moment < this->start + playTime; moment += step) {
            this->applyTrouble(moment);
            for (std::size_t index = 0; index < this->nodes.size(); ++index)
                this->advance(index, moment);
        }
    }

    [[nodiscard]] auto mostInWindow() const -> std::size_t
    {
        std::size_t most = 0;
        for (auto first = this->arrivals.begin(); first != this->arrivals.end(); ++first)
            most = std::max(most, static_cast<std::size_t>(std::lower_bound(first, this->arrivals.end(), *first + ruleWindow) - first));
        return most;
    }

    [[nodiscard]] auto usedPart() const -> double
    {
        return static_cast<double>(this->arrivals.size()) / (this->row.perSecond * std::chrono::duration<double>(playTime - firstCounted).count());
    }

private:
    struct Node {
        ServerLimits limits;
        TimePoint nextReport;
        TimePoint lastGrant;
        TimePoint frozenUntil;
    };

    auto makeNode(std::size_t index) -> Node
    {
        Node node { ServerLimits(this->random()), this->start + index * reportPeriod / this->row.nodes, {}, {} };
        node.limits.setNodeCount(this->row.nodes);
        return node;
    }

    auto applyTrouble(TimePoint moment) -> void
    {
        const auto time = moment - this->start;
        if (this->row.trouble == Trouble::NodesComeAndGo && time % 1s == 0s) {
            for (std::size_t count = 0; count < this->nodes.size() / 10 + 1; ++count) {
                const auto index = this->random() % this->nodes.size();
                this->nodes[index] = this->makeNode(index);
                this->nodes[index].nextReport = moment;
            }
        }
        if (this->row.trouble == Trouble::Freezes && time % 2s == 0s) {
            for (std::size_t count = 0; count < this->nodes.size() / 8; ++count)
                this->nodes[this->random() % this->nodes.size()].frozenUntil = moment + 3s;
        }
        if (this->row.trouble == Trouble::LeaderChanges && time % 6s == 0s)
            this->ledger = std::make_unique<LimitLedger>(this->random());
    }

    [[nodiscard]] auto hasLeader(std::size_t index, std::chrono::nanoseconds time) const -> bool
    {
        switch (this->row.trouble) {
        case Trouble::NeverALeader:
            return false;
        case Trouble::LeaderChanges:
            return time % 6s < 2s;
        case Trouble::HalfWithoutLeader:
            return index % 2 == 0 || time < 10s || time >= 20s;
        default:
            return true;
        }
    }

    auto advance(std::size_t index, TimePoint moment) -> void
    {
        auto& node = this->nodes[index];
        if (moment < node.frozenUntil)
            return;
        if (moment >= node.nextReport)
            this->report(index, moment);
        const auto chance = std::uniform_real_distribution<double>()(this->random);
        if (chance >= this->row.demand * std::chrono::duration<double>(step).count() || !node.limits.hasPermit(this->server, moment))
            return;
        node.limits.requestSent(this->server, moment);
        // The answer names the limit.
        node.limits.stated(this->server, this->row.perSecond, moment);
        if (moment - this->start >= firstCounted)
            this->arrivals.push_back(moment);
    }

    auto report(std::size_t index, TimePoint moment) -> void
    {
        auto& node = this->nodes[index];
        // A node that was frozen gets the answer to a report from before.
        const auto sent = node.nextReport;
        node.nextReport = moment + reportPeriod;
        if (!this->hasLeader(index, moment - this->start))
            return;
        this->ledger->reported(node.limits.statements(true, moment), moment);
        this->ledger->setServers({ { this->server.id, this->server } }, moment);
        const auto permits = this->ledger->grant([this](const std::string&) { return 1.0 / static_cast<double>(this->row.nodes); }, moment - node.lastGrant, moment);
        node.lastGrant = moment;
        node.limits.learned(this->ledger->statements(moment), true, sent);
        node.limits.granted(permits, sent);
    }

    const FleetCase& row;
    std::mt19937_64 random;
    BackendServer server;
    TimePoint start { 1h };
    std::unique_ptr<LimitLedger> ledger;
    std::vector<Node> nodes;
    std::vector<TimePoint> arrivals;
};

// Guards against nodes that keep a limit each by itself, so that the server gets a multiple of it.
TEST_CASE("all nodes together keep a server's limit and use it, whatever becomes of nodes and leader")
{
    for (const auto& row : fleetCases) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            CAPTURE(row.name);
            CAPTURE(seed);
            Fleet fleet(row, seed);
            fleet.play();
            CHECK(static_cast<double>(fleet.mostInWindow()) <= 1.5 * row.perSecond * 4 + 5);
            CHECK(fleet.usedPart() >= row.minUse);
        }
    }
}

struct StatementCase {
    const char* name;
    std::vector<LimitStatement> reported; ///< Statements of other nodes, by their age.
    float expected; ///< Limit that the leader then passes on; 0 for none.
};

const StatementCase statementCases[] = {
    { "the newest statement counts", { { 1, 5, 300ms }, { 1, 7, 100ms }, { 1, 6, 200ms } }, 7 },
    { "a withdrawal counts", { { 1, 5, 300ms }, { 1, 0, 100ms } }, 0 },
    { "a late report of an earlier limit does not undo a withdrawal", { { 1, 5, 300ms }, { 1, 0, 100ms }, { 1, 5, 200ms } }, 0 },
    { "a withdrawal of what nobody named changes nothing", { { 1, 0, 100ms } }, 0 },
};

TEST_CASE("the leader passes on the newest statement of each server")
{
    for (const auto& row : statementCases) {
        CAPTURE(row.name);
        LimitLedger ledger(1);
        const TimePoint now { 1h };
        for (const auto& statement : row.reported)
            ledger.reported({ &statement, 1 }, now);
        CHECK(ledger.limitedServers() == (row.expected > 0 ? 1 : 0));
        for (const auto& statement : ledger.statements(now))
            CHECK(statement.perSecond == row.expected);
        CHECK(ledger.digest() == (row.expected > 0 ? limitDigest(1, row.expected) : 0));
    }
}

TEST_CASE("statements of servers that are gone are discarded")
{
    const TimePoint now { 1h };
    BackendServer server;
    server.id = "i-1";
    server.pool = "llm";
    ServerLimits limits(1);
    LimitLedger ledger(1);
    CHECK(limits.stated(server, 2, now));
    CHECK_FALSE(limits.stated(server, 2, now));
    ledger.reported(limits.statements(false, now), now);
    CHECK(limits.digest() == ledger.digest());
    const auto later = now + ServerLimits::retentionTime;
    limits.retain({ { server.id, server } }, later);
    ledger.setServers({ { server.id, server } }, later);
    CHECK(limits.size() == 1);
    CHECK(ledger.limitedServers() == 1);
    limits.retain({}, later + 1min);
    ledger.setServers({}, later);
    CHECK(limits.size() == 0);
    CHECK(ledger.limitedServers() == 0);
}

} // namespace
