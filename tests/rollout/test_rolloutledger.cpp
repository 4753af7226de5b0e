#include "rolloutledger.h"
#include "rolloutrecord.h"

#include <doctest/doctest.h>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

const RolloutLedger::TimePoint start(1h);

auto makeReport(std::uint64_t received, std::uint64_t sent, std::uint32_t answers) -> RolloutReport
{
    RolloutReport report;
    report.received = received;
    report.sent = sent;
    report.step = 2;
    report.share = 0.5;
    report.openAtEarlier = 3;
    report.routes = { { 1, RolloutAspect::Answer, {}, { answers, 0, {} } } };
    return report;
}

// Guards against exposure that is forgotten when a node or the leader changes, or that counts twice.
TEST_CASE("requests are counted once, whatever happens to nodes and leaders")
{
    SUBCASE("reports hold totals")
    {
        RolloutLedger ledger(0, 0, start);
        ledger.reportReceived("a", 1, makeReport(100, 5, 4), start + 1s);
        ledger.reportReceived("a", 1, makeReport(120, 6, 6), start + 2s);
        ledger.reportReceived("b", 7, makeReport(10, 1, 1), start + 2s);
        CHECK(ledger.received() == 130);
        CHECK(ledger.sent() == 7);
        CHECK(ledger.takeAnswers().front().next.answers == 7);
        CHECK(ledger.takeAnswers().empty());
        CHECK(ledger.openAtEarlier(start) == 6);
        CHECK(ledger.openAtEarlier(start + 3s) == 0);
    }
    SUBCASE("a node restarts")
    {
        RolloutLedger ledger(0, 0, start);
        ledger.reportReceived("a", 1, makeReport(100, 5, 4), start + 1s);
        ledger.reportReceived("a", 2, makeReport(10, 1, 1), start + 2s);
        CHECK(ledger.received() == 110);
        CHECK(ledger.sent() == 6);
    }
    SUBCASE("a new leader takes the record over, and nodes report their parts of it")
    {
        RolloutLedger ledger(150, 20, start + 1s);
        ledger.reportReceived("a", 1, makeReport(100, 5, 4), start);
        ledger.reportReceived("b", 1, makeReport(60, 3, 4), start);
        CHECK(ledger.received() == 160);
        CHECK(ledger.sent() == 20);
        ledger.reportReceived("c", 1, makeReport(30, 2, 2), start + 2s);
        CHECK(ledger.sent() == 22);
    }
}

TEST_CASE("a step is in force on a node that reported it with its share")
{
    RolloutLedger ledger(0, 0, start);
    ledger.reportReceived("a", 1, makeReport(1, 1, 1), start);
    CHECK(ledger.isInForce("a", 2, 0.5));
    CHECK(ledger.isInForce("a", 1, 1));
    CHECK_FALSE(ledger.isInForce("a", 2, 1));
    CHECK_FALSE(ledger.isInForce("a", 3, 0.5));
    CHECK_FALSE(ledger.isInForce("b", 2, 0.5));
}

struct RecordCase {
    const char* name;
    const char* text;
    std::size_t expected; ///< Number of roll-outs that are read.
};

const RecordCase recordCases[] = {
    { "nothing", "", 0 },
    { "no list", R"({"service":"app"})", 0 },
    { "an entry without a phase", R"([{"service":"app","version":"v2","order":1,"duration_ms":1,"left_ms":1,"step":1,"share":0,"received":1,"sent":1}])", 0 },
    { "a negative count", R"([{"service":"app","version":"v2","order":1,"duration_ms":1,"left_ms":1,"step":1,"phase":"full","share":0,"received":-1,"sent":1}])", 0 },
    { "a valid entry after one that is not", R"([7,{"service":"app","version":"v2","order":1,"duration_ms":1,"left_ms":1,"step":1,"phase":"full","share":0,"received":1,"sent":1}])", 1 },
};

TEST_CASE("the record is read back, and what is not valid is left out")
{
    const RolloutProgress progress { "app", "v2", 1ULL << 45U, 60s, 20s, 4, RolloutPhase::Raising, 0.25, 1'000, 90 };
    CHECK(decodeRolloutRecord(encodeRolloutRecord({ progress })) == std::vector { progress });
    for (const auto& row : recordCases) {
        CAPTURE(row.name);
        CHECK(decodeRolloutRecord(row.text).size() == row.expected);
    }
}

} // namespace
