#include "errors.h"
#include "silentservers.h"
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
    std::uint64_t hash;
    std::int64_t tokensLeft;
    std::chrono::microseconds tokenGap;
    std::chrono::milliseconds notice;
    std::chrono::milliseconds now; ///< After the notice.
    int abandonedMoves;
    MoveAction action;
    std::chrono::milliseconds when; ///< After the notice.
};

// With 10 s of notice, the last move begins at 8 s and the window is 0 s to 4 s.
const MoveCase moveCases[] = {
    { "can finish", 0, 200, 31ms, 10s, 0ms, 0, MoveAction::Stay, 500ms },
    { "can just finish with its reserve", 0, 288, 25ms, 10s, 0ms, 0, MoveAction::Stay, 500ms },
    { "finishes only without its reserve", 512, 289, 25ms, 10s, 0ms, 0, MoveAction::MoveLater, 2s },
    { "first place of the window", 0, 2000, 31ms, 10s, 0ms, 0, MoveAction::MoveNow, 0ms },
    { "middle of the window, too early", 512, 2000, 31ms, 10s, 1999ms, 0, MoveAction::MoveLater, 2s },
    { "middle of the window, due", 512, 2000, 31ms, 10s, 2s, 0, MoveAction::MoveNow, 2s },
    { "the hash beyond the places wraps", 1024, 2000, 31ms, 10s, 0ms, 0, MoveAction::MoveNow, 0ms },
    { "slowed down after it seemed to finish", 512, 200, 100ms, 10s, 5s, 0, MoveAction::MoveNow, 5s },
    { "one move abandoned", 512, 2000, 31ms, 10s, 3s, 1, MoveAction::MoveNow, 3s },
    { "two moves abandoned waits for the last moment", 512, 2000, 31ms, 10s, 3s, 2, MoveAction::MoveLater, 8s },
    { "the last moment", 512, 2000, 31ms, 10s, 8s, 2, MoveAction::MoveNow, 8s },
    { "notice too short to spread", 1023, 2000, 31ms, 2s, 0ms, 0, MoveAction::MoveNow, 0ms },
    { "notice too short for anything", 1023, 2000, 31ms, 0ms, 0ms, 0, MoveAction::MoveNow, 0ms },
    { "deadline passed", 1023, 2000, 31ms, 10s, 11s, 0, MoveAction::MoveNow, 11s },
    { "nothing left to make", 0, 0, 31ms, 10s, 0ms, 0, MoveAction::Stay, 500ms },
};

TEST_CASE("a stream stays, waits for its place or moves")
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
    std::chrono::milliseconds now;
    int abandonedMoves;
    bool mayAbandon;
};

const AbandonCase abandonCases[] = {
    { "much time left", 1s, 0, true },
    { "before the last moment", 7999ms, 1, true },
    { "the last moment", 8s, 0, false },
    { "abandoned often enough", 1s, 2, false },
};

TEST_CASE("a slow move is given up while there is time for another")
{
    const SpreadMovePolicy policy({ 0, 500 });
    const TimePoint noticed { 1h };
    for (const auto& row : abandonCases) {
        CAPTURE(std::string(row.name));
        const MovingStream stream { 0, 2000, 31ms, noticed, noticed + 10s, row.abandonedMoves };
        CHECK(policy.mayAbandon(stream, noticed + row.now) == row.mayAbandon);
    }
}

TEST_CASE("a wave of streams is spread evenly over its window")
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
    std::int64_t tokens; ///< To compute before the first piece.
    std::vector<std::chrono::milliseconds> pieces; ///< After the start.
    std::chrono::microseconds silenceLimit;
};

const PaceCase paceCases[] = {
    { "short prompt, nothing came", 0, {}, 1480ms },
    { "long prompt, nothing came", 4000, {}, 3480ms },
    { "the first piece came", 4000, { 300ms }, 500ms },
    { "the usual pace", 0, { 300ms, 331ms, 362ms }, 500ms },
    { "a slow engine", 0, { 300ms, 1131ms }, 1048ms },
};

TEST_CASE("silence is borne in proportion to the pace")
{
    for (const auto& row : paceCases) {
        CAPTURE(std::string(row.name));
        const TimePoint sent { 1h };
        StreamPace pace(sent, row.tokens);
        for (const auto piece : row.pieces)
            pace.pieceReceived(sent + piece);
        CHECK(pace.silenceLimit() == row.silenceLimit);
    }
}

enum class Happening {
    FellSilent,
    Tried,
    Spoke,
};

struct SilenceStep {
    Happening happening;
    std::chrono::milliseconds at;
};

struct SilenceCase {
    std::string name;
    std::vector<SilenceStep> steps;
    std::chrono::milliseconds now;
    bool isSilent;
};

const SilenceCase silenceCases[] = {
    { "nothing happened", {}, 0ms, false },
    { "tried without having been silent", { { Happening::Tried, 0ms } }, 0ms, false },
    { "fell silent", { { Happening::FellSilent, 0ms } }, 1999ms, true },
    { "may be tried again", { { Happening::FellSilent, 0ms } }, 2s, false },
    { "another one tries it", { { Happening::FellSilent, 0ms }, { Happening::Tried, 2s } }, 3s, true },
    { "spoke again", { { Happening::FellSilent, 0ms }, { Happening::Spoke, 1s } }, 1s, false },
    { "tried after it spoke", { { Happening::FellSilent, 0ms }, { Happening::Spoke, 1s }, { Happening::Tried, 1s } }, 1s, false },
};

TEST_CASE("streams keep away from a silent server for a while")
{
    for (const auto& row : silenceCases) {
        CAPTURE(std::string(row.name));
        const TimePoint start { 1h };
        SilentServers servers;
        for (const auto& step : row.steps) {
            if (step.happening == Happening::FellSilent)
                servers.fellSilent("engine-0", start + step.at);
            else if (step.happening == Happening::Tried)
                servers.tried("engine-0", start + step.at);
            else
                servers.spoke("engine-0");
        }
        CHECK(servers.isSilent("engine-0", start + row.now) == row.isSilent);
        CHECK_FALSE(servers.isSilent("engine-1", start + row.now));
    }
}

TEST_CASE("a stream learns from others that its server is silent")
{
    const TimePoint start { 1h };
    SilentServers servers;
    CHECK_FALSE(servers.isFoundSilentAfter("engine-0", start));
    servers.fellSilent("engine-0", start + 1s);
    CHECK(servers.isFoundSilentAfter("engine-0", start));
    servers.tried("engine-0", start + 4s);
    CHECK_FALSE(servers.isFoundSilentAfter("engine-0", start + 4s));
    servers.spoke("engine-0");
    CHECK_FALSE(servers.isFoundSilentAfter("engine-0", start));
}

struct AssemblerCase {
    std::string name;
    std::int64_t first;
    std::vector<std::int64_t> received;
    std::string ready; ///< One letter a token, "a" at offset 0.
    std::int64_t tokens;
    bool isWhole;
};

const AssemblerCase assemblerCases[] = {
    { "in order", 0, { 0, 1, 2 }, "abc", 3, true },
    { "from an offset", 2, { 2, 3 }, "cd", 4, true },
    { "out of order", 0, { 2, 0, 1 }, "abc", 3, true },
    { "backwards", 0, { 3, 2, 1, 0 }, "abcd", 4, true },
    { "duplicates", 0, { 0, 0, 1, 0, 1, 2 }, "abc", 3, true },
    { "duplicate of an early one", 0, { 2, 2, 0, 1 }, "abc", 3, true },
    { "from before the offset", 2, { 0, 1, 2 }, "c", 3, true },
    { "a gap", 0, { 0, 2 }, "a", 3, false },
    { "the last one missing", 0, { 0, 1 }, "ab", 3, false },
    { "more than announced", 0, { 0, 1, 2 }, "abc", 2, false },
    { "nothing asked for, nothing came", 3, {}, "", 3, true },
};

TEST_CASE("tokens are put in order")
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
        CHECK(assembler.isWhole(row.tokens) == row.isWhole);
    }
}

TEST_CASE("an answer with too many early tokens is not an answer")
{
    StreamAssembler assembler(0);
    for (std::int64_t offset = 1; offset <= 64; ++offset)
        CHECK_FALSE(assembler.add(offset, "x"));
    CHECK(assembler.add(65, "x") == Error::BadAnswer);
}

} // namespace
