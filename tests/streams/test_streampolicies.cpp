#include "errors.h"
#include "stalledservers.h"
#include "streamassembler.h"
#include "streammovepolicy.h"
#include "streampace.h"

#include <doctest/doctest.h>
#include <vector>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using TimePoint = StreamMovePolicy::TimePoint;

struct MoveCase {
    std::string name;
    std::uint64_t hash; ///< Hash of the stream id, which selects one of 1024 slots of the window.
    std::int64_t tokensLeft;
    std::chrono::microseconds tokenGap; ///< Time between two tokens of the stream.
    std::chrono::milliseconds notice; ///< Time from the notice to the reclaim.
    std::chrono::milliseconds now; ///< Time of the decision, after the notice.
    int abandonedMoves;
    MoveAction action;
    std::chrono::milliseconds when; ///< Expected time of the move or of the next decision, after the notice.
};

// With a notice of 10 s, the last move may start at 8 s, and the window for moves is 0 s to 4 s.
const MoveCase moveCases[] = {
    { "finishes in time", 0, 200, 31ms, 10s, 0ms, 0, MoveAction::Stay, 500ms },
    { "just finishes in time with the pace reserve", 0, 288, 25ms, 10s, 0ms, 0, MoveAction::Stay, 500ms },
    { "finishes in time only without the pace reserve", 512, 289, 25ms, 10s, 0ms, 0, MoveAction::MoveLater, 2s },
    { "first slot of the window", 0, 2000, 31ms, 10s, 0ms, 0, MoveAction::MoveNow, 0ms },
    { "middle of the window, too early", 512, 2000, 31ms, 10s, 1999ms, 0, MoveAction::MoveLater, 2s },
    { "middle of the window, due", 512, 2000, 31ms, 10s, 2s, 0, MoveAction::MoveNow, 2s },
    { "hash beyond the last slot wraps around", 1024, 2000, 31ms, 10s, 0ms, 0, MoveAction::MoveNow, 0ms },
    { "slowed down, finishes in time no longer", 512, 200, 100ms, 10s, 5s, 0, MoveAction::MoveNow, 5s },
    { "one move abandoned", 512, 2000, 31ms, 10s, 3s, 1, MoveAction::MoveNow, 3s },
    { "two moves abandoned, waits for the last start of a move", 512, 2000, 31ms, 10s, 3s, 2, MoveAction::MoveLater, 8s },
    { "two moves abandoned, last start of a move", 512, 2000, 31ms, 10s, 8s, 2, MoveAction::MoveNow, 8s },
    { "notice too short to spread moves", 1023, 2000, 31ms, 2s, 0ms, 0, MoveAction::MoveNow, 0ms },
    { "notice of zero length", 1023, 2000, 31ms, 0ms, 0ms, 0, MoveAction::MoveNow, 0ms },
    { "deadline passed", 1023, 2000, 31ms, 10s, 11s, 0, MoveAction::MoveNow, 11s },
    { "no tokens left", 0, 0, 31ms, 10s, 0ms, 0, MoveAction::Stay, 500ms },
};

TEST_CASE("a stream on a reclaimed engine stays, waits for its slot or moves at once")
{
    const SpreadMovePolicy policy({ 0, 500 });
    const TimePoint noticed { 1h };
    for (const auto& row : moveCases) {
        CAPTURE(std::string(row.name));
        const MovingStream stream { row.hash, row.tokensLeft, row.tokenGap, noticed, noticed + row.notice, row.abandonedMoves };

        const auto decision = policy.decide(stream, noticed + row.now);

        CHECK(decision.action == row.action);
        CHECK(decision.when == noticed + row.when);
    }
}

struct AbandonCase {
    std::string name;
    std::chrono::milliseconds now; ///< Time of the decision, after the notice.
    int abandonedMoves;
    bool mayAbandon;
};

const AbandonCase abandonCases[] = {
    { "enough time left", 1s, 0, true },
    { "just before the last start of a move", 7999ms, 1, true },
    { "last start of a move", 8s, 0, false },
    { "limit of abandoned moves reached", 1s, 2, false },
};

TEST_CASE("a slow move may be abandoned while there is time for another one")
{
    const SpreadMovePolicy policy({ 0, 500 });
    const TimePoint noticed { 1h };
    for (const auto& row : abandonCases) {
        CAPTURE(std::string(row.name));
        const MovingStream stream { 0, 2000, 31ms, noticed, noticed + 10s, row.abandonedMoves };
        CHECK(policy.mayAbandon(stream, noticed + row.now) == row.mayAbandon);
    }
}

TEST_CASE("moves of streams with different hashes are spread evenly over the window")
{
    const SpreadMovePolicy policy({ 500, 1000 });
    const TimePoint noticed { 1h };
    std::vector<int> seconds(8);
    for (std::uint64_t hash = 0; hash < 1024; ++hash) {
        const auto decision = policy.decide({ hash, 2000, 31ms, noticed, noticed + 10s, 0 }, noticed);
        ++seconds.at(static_cast<std::size_t>((decision.when - noticed) / 1s));
    }
    CHECK(seconds == std::vector<int> { 0, 0, 0, 0, 256, 256, 256, 256 });
}

struct PaceCase {
    std::string name;
    std::int64_t tokens; ///< Number of tokens to compute before the first piece.
    std::vector<std::chrono::milliseconds> pieces; ///< Arrival times of the pieces, after the start.
    std::chrono::microseconds silenceLimit;
};

const PaceCase paceCases[] = {
    { "short prompt, no piece received", 0, {}, 1480ms },
    { "long prompt, no piece received", 4000, {}, 3480ms },
    { "first piece received", 4000, { 300ms }, 500ms },
    { "usual pace", 0, { 300ms, 331ms, 362ms }, 500ms },
    { "slow engine", 0, { 300ms, 1131ms }, 1048ms },
};

TEST_CASE("the silence limit depends on the prompt before the first piece and on the pace after it")
{
    for (const auto& row : paceCases) {
        CAPTURE(std::string(row.name));
        const TimePoint sent { 1h };
        StreamPace pace(sent, row.tokens);
        for (const auto piece : row.pieces)
            pace.pieceReceived(sent + piece);
        CHECK(pace.stallTimeout() == row.silenceLimit);
    }
}

struct ResumeCase {
    std::string name;
    std::chrono::milliseconds piece; ///< Arrival time of the last piece, after the start.
    std::chrono::milliseconds resumed; ///< Time of the last resumption, after the start; 0 for none.
    std::chrono::milliseconds stallTime; ///< Time from which the attempt counts as stalled, after the start.
};

const ResumeCase resumeCases[] = {
    { "counted from the last piece", 300ms, 0ms, 800ms },
    { "counted from the resumption after it", 300ms, 5000ms, 5500ms },
    { "counted from a piece after the resumption", 6000ms, 5000ms, 6500ms },
};

TEST_CASE("the silence limit is counted from the last piece or from a resumption after it")
{
    for (const auto& row : resumeCases) {
        CAPTURE(std::string(row.name));
        const TimePoint sent { 1h };
        StreamPace pace(sent, 0);
        if (row.resumed < row.piece && row.resumed > 0ms)
            pace.resumed(sent + row.resumed);
        pace.pieceReceived(sent + row.piece);
        if (row.resumed > row.piece)
            pace.resumed(sent + row.resumed);
        CHECK(pace.stallTime() == sent + row.stallTime);
        CHECK_FALSE(pace.isStalled(sent + row.stallTime - 1ms));
        CHECK(pace.isStalled(sent + row.stallTime));
    }
}

enum class ServerEvent {
    FoundSilent,
    AttemptStarted,
    PieceReceived,
};

struct SilenceStep {
    ServerEvent event;
    std::chrono::milliseconds at; ///< Time of the event, after the start.
};

struct SilenceCase {
    std::string name;
    std::vector<SilenceStep> steps;
    std::chrono::milliseconds now; ///< Time of the check, after the start.
    bool isSilent;
};

const SilenceCase silenceCases[] = {
    { "no event", {}, 0ms, false },
    { "attempt started, never found silent", { { ServerEvent::AttemptStarted, 0ms } }, 0ms, false },
    { "found silent, time to avoid it not over", { { ServerEvent::FoundSilent, 0ms } }, 1999ms, true },
    { "found silent, time to avoid it over", { { ServerEvent::FoundSilent, 0ms } }, 2s, false },
    { "another attempt started after the time to avoid it", { { ServerEvent::FoundSilent, 0ms }, { ServerEvent::AttemptStarted, 2s } }, 3s, true },
    { "piece received after it was found silent", { { ServerEvent::FoundSilent, 0ms }, { ServerEvent::PieceReceived, 1s } }, 1s, false },
    { "attempt started after a piece was received", { { ServerEvent::FoundSilent, 0ms }, { ServerEvent::PieceReceived, 1s }, { ServerEvent::AttemptStarted, 1s } }, 1s, false },
};

TEST_CASE("new streams avoid a server for 2 s after it was found silent or last attempted")
{
    for (const auto& row : silenceCases) {
        CAPTURE(std::string(row.name));
        const TimePoint start { 1h };
        StalledServers servers;
        for (const auto& step : row.steps) {
            if (step.event == ServerEvent::FoundSilent)
                servers.recordStall("engine-0", start + step.at);
            else if (step.event == ServerEvent::AttemptStarted)
                servers.recordAttempt("engine-0", start + step.at);
            else
                servers.recordActivity("engine-0");
        }
        CHECK(servers.isAvoided("engine-0", start + row.now) == row.isSilent);
        CHECK_FALSE(servers.isAvoided("engine-1", start + row.now));
    }
}

TEST_CASE("a server found silent by one stream counts as silent for all streams that started on it before")
{
    const TimePoint start { 1h };
    StalledServers servers;
    CHECK_FALSE(servers.hasStalledSince("engine-0", start));
    servers.recordStall("engine-0", start + 1s);
    CHECK(servers.hasStalledSince("engine-0", start));
    servers.recordAttempt("engine-0", start + 4s);
    CHECK_FALSE(servers.hasStalledSince("engine-0", start + 4s));
    servers.recordActivity("engine-0");
    CHECK_FALSE(servers.hasStalledSince("engine-0", start));
}

struct AssemblerCase {
    std::string name;
    std::int64_t first; ///< Requested offset.
    std::vector<std::int64_t> received;
    std::string ready; ///< Expected tokens in order, one letter each, "a" at offset 0.
    std::int64_t tokens; ///< Announced number of tokens of the whole answer.
    bool isWhole;
};

const AssemblerCase assemblerCases[] = {
    { "in order", 0, { 0, 1, 2 }, "abc", 3, true },
    { "from an offset", 2, { 2, 3 }, "cd", 4, true },
    { "out of order", 0, { 2, 0, 1 }, "abc", 3, true },
    { "reverse order", 0, { 3, 2, 1, 0 }, "abcd", 4, true },
    { "duplicates", 0, { 0, 0, 1, 0, 1, 2 }, "abc", 3, true },
    { "duplicate of a token received early", 0, { 2, 2, 0, 1 }, "abc", 3, true },
    { "tokens before the requested offset", 2, { 0, 1, 2 }, "c", 3, true },
    { "gap", 0, { 0, 2 }, "a", 3, false },
    { "last token missing", 0, { 0, 1 }, "ab", 3, false },
    { "more tokens than announced", 0, { 0, 1, 2 }, "abc", 2, false },
    { "no tokens requested, none received", 3, {}, "", 3, true },
};

TEST_CASE("tokens are put in order without duplicates, and gaps are detected")
{
    for (const auto& row : assemblerCases) {
        CAPTURE(std::string(row.name));
        StreamAssembler assembler(row.first);
        for (const auto offset : row.received)
            CHECK_FALSE(assembler.add(offset, { static_cast<char>('a' + offset) }));
        std::string ready;
        while (assembler.isReady())
            ready += assembler.take();
        CHECK(ready == row.ready);
        CHECK(assembler.isComplete(row.tokens) == row.isWhole);
    }
}

TEST_CASE("a 65th token after a missing one makes the answer bad")
{
    StreamAssembler assembler(0);
    for (std::int64_t offset = 1; offset <= 64; ++offset)
        CHECK_FALSE(assembler.add(offset, "x"));
    CHECK(assembler.add(65, "x") == Error::BadAnswer);
}

} // namespace
