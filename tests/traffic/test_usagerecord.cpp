#include "usagerecord.h"

#include <doctest/doctest.h>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace Primrosefork;

namespace {

auto counts(std::uint64_t count) -> UsageCounts
{
    return { { "salon", count } };
}

struct ReadCase {
    const char* name;
    std::optional<std::string> text;
    std::uint64_t epoch;
    UsageWindow lastBefore;
    std::set<UsageWindow> reported; ///< Of the windows 10 to 14, those with counts to report.
    std::set<UsageWindow> storable; ///< Those whose counts may be stored.
};

const ReadCase readCases[] = {
    { "no record, and the store was never restored", std::nullopt, 0, 12, {}, { 10, 11, 12, 13, 14 } },
    { "no record in a restored store", std::nullopt, 1, 12, {}, { 13, 14 } },
    { "a record of this epoch", R"({"10":{"salon":1},"11":{"salon":2},"epoch":1,"closed":9})", 1, 12, { 10, 11 }, { 12, 13, 14 } },
    { "a record of this epoch with closed windows", R"({"11":{"salon":2},"epoch":1,"closed":12})", 1, 12, { 11 }, { 13, 14 } },
    { "the newest window of an earlier epoch is not certain", R"({"10":{"salon":1},"11":{"salon":2},"epoch":0,"closed":9})", 1, 12, { 10 }, { 13, 14 } },
    { "a write of an earlier epoch that was carried out in this one", R"({"12":{"salon":1},"13":{"salon":2},"epoch":0,"closed":0})", 1, 12, { 12 }, { 13, 14 } },
    { "two restorations since", R"({"10":{"salon":1},"11":{"salon":2},"epoch":1,"closed":12})", 3, 11, { 10 }, { 13, 14 } },
    { "older than the newest window", R"({"12":{"salon":1},"epoch":1,"closed":9})", 1, 0, { 12 }, { 13, 14 } },
    { "no JSON", "{torn", 0, 0, {}, { 10, 11, 12, 13, 14 } },
    { "odd members", R"({"10":{"salon":-1},"x":{"salon":1},"epoch":"x","closed":"x"})", 0, 0, {}, { 10, 11, 12, 13, 14 } },
};

// Guards against usage that is reported although another node may have reported other counts.
TEST_CASE("a record shows which windows are certain, and which may be stored")
{
    for (const auto& row : readCases) {
        CAPTURE(row.name);
        UsageRecord record;
        record.read(row.text, row.epoch, row.lastBefore);
        CHECK(record.isRead());
        for (UsageWindow window = 10; window < 15; ++window) {
            CAPTURE(window);
            CHECK((record.countsOf(window) != nullptr) == row.reported.contains(window));
            CHECK(record.mayStore(window) == row.storable.contains(window));
        }
    }
}

TEST_CASE("counts are certain from their acknowledgement on, also when a later record lacks them")
{
    UsageRecord record;
    record.read(std::nullopt, 0, 0);
    const auto lost = record.propose(10, counts(1));
    record.release();
    record.read(std::nullopt, 0, 0);
    CHECK(record.countsOf(10) == nullptr);
    const auto proposal = record.propose(10, counts(2));
    record.acknowledge(proposal);
    REQUIRE(record.countsOf(10) != nullptr);
    CHECK(*record.countsOf(10) == counts(2));
    record.release();
    CHECK_FALSE(record.isRead());
    CHECK(record.countsOf(10) == nullptr);
    record.read(std::nullopt, 1, 12);
    CHECK(record.countsOf(10) == nullptr);
    CHECK(record.mayStore(10));
    CHECK(record.propose(10, counts(3)).windows.at(10) == counts(2));
}

// Guards against windows that each later leader closes anew, although only the first one of an epoch has to.
TEST_CASE("a record of an earlier epoch is written again with the windows that are closed")
{
    UsageRecord first;
    first.read(R"({"10":{"salon":1},"11":{"salon":2},"epoch":0,"closed":9})", 1, 12);
    REQUIRE(first.isOutdated());
    const auto renewed = first.renewed();
    first.acknowledge(renewed);
    CHECK_FALSE(first.isOutdated());
    UsageRecord next;
    next.read(renewed.text, 1, 14);
    CHECK_FALSE(next.isOutdated());
    CHECK(next.countsOf(10) != nullptr);
    CHECK(next.countsOf(11) == nullptr);
    CHECK_FALSE(next.mayStore(12));
    CHECK(next.mayStore(13));
    next.release();
    next.read(renewed.text, 2, 14);
    CHECK(next.isOutdated());
    CHECK_FALSE(next.mayStore(13));
}

/**
 * A store of one record, and nodes that lead in turn, with all that can go wrong:
 * answers and writes that are lost or late, cuts, pauses, restarts and copies.
 */
class RandomHistory {
public:
    explicit RandomHistory(unsigned seed)
        : random(seed)
        , nodes(3)
    {
        this->nodes[1].lag = 1;
    }

    auto run() -> void
    {
        this->copies.push_back({ this->text, this->number, this->lastNumber });
        for (int step = 0; step < 400; ++step)
            this->takeStep();
        // From here on nothing is lost.
        this->isCalm = true;
        this->lead(0);
        this->calmSince = this->present + 1;
        for (int step = 0; step < 20; ++step) {
            ++this->present;
            this->act(this->nodes[this->leader]);
        }
    }

    /** Returns the windows that ended after the last trouble, but for the newest ones. */
    [[nodiscard]] auto calmWindows() const -> std::pair<UsageWindow, UsageWindow> { return { this->calmSince + 2, this->present - 3 }; }

    std::map<UsageWindow, std::set<UsageCounts>> reports;

private:
    struct Node {
        UsageRecord record;
        std::uint64_t epoch = 0; ///< Epoch of the last answer.
        std::uint64_t leadsIn = 0; ///< Epoch in which it leads or last led.
        UsageWindow lastBefore = 0; ///< Last window that had ended when it became the leader.
        std::uint64_t number = 0; ///< Number of the record that it has read.
        UsageWindow lag = 0; ///< Windows by which its clock is late; 0 or 1.
    };

    struct Copy {
        std::optional<std::string> text;
        std::uint64_t number = 0;
        std::uint64_t lastNumber = 0;
    };

    struct Write {
        std::string text;
        std::uint64_t expected = 0;
    };

    auto chance(int percent) -> bool { return !this->isCalm && static_cast<int>(this->random() % 100) < percent; }

    auto takeStep() -> void
    {
        if (this->chance(30))
            ++this->present;
        if (this->chance(15))
            this->copies.push_back({ this->text, this->number, this->lastNumber });
        if (this->chance(4))
            this->restore();
        if (this->chance(10))
            this->lead(this->random() % this->nodes.size());
        if (this->chance(3))
            this->restart(this->nodes[this->random() % this->nodes.size()]);
        if (!this->lateWrites.empty() && this->chance(20)) {
            const auto place = this->lateWrites.begin() + static_cast<std::ptrdiff_t>(this->random() % this->lateWrites.size());
            this->carryOut(*place);
            this->lateWrites.erase(place);
        }
        this->act(this->nodes[this->leader]);
        // A former leader that has been paused, or does not know of the restoration, acts once more.
        if (this->chance(20))
            this->act(this->nodes[this->random() % this->nodes.size()]);
    }

    auto restart(Node& node) -> void
    {
        const auto lag = node.lag;
        node = Node {};
        node.lag = lag;
    }

    /** Returns the last window that has ended by the clock of any node, as far as \a node knows. */
    [[nodiscard]] auto lastEnded(const Node& node) const -> UsageWindow { return this->present - node.lag + 1; }

    auto restore() -> void
    {
        const auto copy = this->copies[this->copies.size() - 1 - this->random() % std::min<std::size_t>(4, this->copies.size())];
        this->text = copy.text;
        this->number = copy.number;
        this->lastNumber = copy.lastNumber;
        this->copies = { copy };
        ++this->epoch;
    }

    auto lead(std::size_t next) -> void
    {
        this->leader = next;
        auto& node = this->nodes[next];
        this->answered(node);
        node.record.release();
        node.leadsIn = node.epoch;
        ++this->lastNumber;
        node.lastBefore = this->lastEnded(node);
    }

    /** Takes the epoch from an answer; returns whether the node may go on as the leader. */
    auto answered(Node& node) -> bool
    {
        if (node.epoch != this->epoch) {
            node.epoch = this->epoch;
            node.record.release();
        }
        return node.leadsIn == node.epoch;
    }

    auto act(Node& node) -> void
    {
        if (!node.record.isRead()) {
            if (this->chance(20) || !this->answered(node))
                return;
            node.number = this->text ? this->number : 0;
            node.record.read(this->text, this->epoch, node.lastBefore);
            return;
        }
        if (node.record.isOutdated() && !this->chance(40)) {
            this->write(node, node.record.renewed());
            return;
        }
        for (auto window = this->present - node.lag - 3; window <= this->present - node.lag; ++window) {
            if (const auto* known = node.record.countsOf(window))
                this->reports[window].insert(*known);
            else if (node.record.mayStore(window))
                return this->store(node, window);
        }
    }

    auto store(Node& node, UsageWindow window) -> void
    {
        this->write(node, node.record.propose(window, counts(++this->lastCount)));
        if (const auto* known = node.record.countsOf(window); known && !this->chance(20))
            this->reports[window].insert(*known);
    }

    auto write(Node& node, const UsageRecord::Proposal& proposal) -> void
    {
        const Write write { proposal.text, node.number };
        const auto sentIn = node.epoch;
        if (this->chance(25)) {
            // The write is lost, or carried out later.
            if (this->chance(60))
                this->lateWrites.push_back(write);
            return node.record.release();
        }
        const auto isCarriedOut = this->carryOut(write);
        const auto isAnswered = !this->chance(25);
        if (!isAnswered || !this->answered(node) || sentIn != this->epoch || !isCarriedOut)
            return node.record.release();
        node.number = this->number;
        node.record.acknowledge(proposal);
    }

    auto carryOut(const Write& write) -> bool
    {
        if ((this->text ? this->number : 0) != write.expected)
            return false;
        this->text = write.text;
        this->number = ++this->lastNumber;
        return true;
    }

    std::minstd_rand random;
    std::vector<Node> nodes;
    std::size_t leader = 0;
    std::optional<std::string> text;
    std::uint64_t number = 0;
    std::uint64_t lastNumber = 0;
    std::uint64_t epoch = 0;
    UsageWindow present = 10; ///< Newest window that has ended.
    std::uint64_t lastCount = 0;
    std::vector<Copy> copies;
    std::vector<Write> lateWrites;
    bool isCalm = false;
    UsageWindow calmSince = 0;
};

// Guards against two counts of one window in any order of cuts, pauses, restarts, late writes and restorations.
TEST_CASE("no window is reported with two counts, whatever is lost or late, and each is reported in calm")
{
    for (unsigned seed = 1; seed <= 1'000; ++seed) {
        CAPTURE(seed);
        RandomHistory history(seed);
        history.run();
        for (const auto& report : history.reports) {
            CAPTURE(report.first);
            REQUIRE(report.second.size() == 1);
        }
        const auto [first, last] = history.calmWindows();
        for (auto window = first; window <= last; ++window) {
            CAPTURE(window);
            REQUIRE(history.reports.contains(window));
        }
    }
}

} // namespace
