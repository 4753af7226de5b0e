#include "fakestore.h"

#include "claimrecord.h"
#include "eventlog.h"
#include "metrics.h"
#include "nodesettings.h"
#include "storeclaimkeeper.h"

#include <doctest/doctest.h>
#include <functional>
#include <optional>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

constexpr auto testKey = "claims/jadeleaf/desk/k1";

auto testSettings() -> NodeSettings
{
    NodeSettings settings;
    settings.id = "node-1";
    settings.claims.wait = 300ms;
    settings.claims.retention = 24h;
    return settings;
}

/** A keeper of claims on a store in memory. */
class Fixture {
public:
    auto take(std::chrono::milliseconds deadline = 5s) -> std::shared_ptr<Claim>
    {
        this->answer.reset();
        return this->keeper.take({ testKey, "d1", EventLoop::now() + deadline }, [this](const ClaimAnswer& given) { this->answer = given; });
    }

    auto waitUntil(const std::function<bool()>& isMet) -> bool
    {
        const auto end = EventLoop::now() + 5s;
        while (!isMet() && EventLoop::now() < end)
            this->loop.runOnce();
        return isMet();
    }

    /** Returns the verdict on the last claim, once it is there. */
    auto verdict() -> std::optional<ClaimVerdict>
    {
        this->waitUntil([this] { return this->answer.has_value(); });
        return this->answer ? std::optional(this->answer->verdict) : std::nullopt;
    }

    /** Returns the state of the record in the store. */
    [[nodiscard]] auto state() const -> std::optional<ClaimState>
    {
        const auto found = this->store.entries.find(testKey);
        const auto record = found == this->store.entries.end() ? std::nullopt : decodeClaim(found->second.value);
        return record ? std::optional(record->state) : std::nullopt;
    }

    auto putOther(ClaimState state, std::chrono::milliseconds remaining) -> void
    {
        this->store.put(testKey, encodeClaim({ state, "node-2", "other", "d1", remaining, { 200, "text/plain", "done", true } }));
    }

    NodeSettings settings = testSettings();
    EventLoop loop;
    FakeStore store { loop };
    Metrics metrics;
    EventLog log { "error" };
    StoreClaimKeeper keeper { loop, store, settings, metrics, log };
    std::optional<ClaimAnswer> answer;
};

struct FateCase {
    const char* name;
    std::deque<WriteFate> fates;
    ClaimVerdict verdict;
    int writes;
    int reads;
};

const FateCase fateCases[] = {
    { "answered", { WriteFate::Answered }, ClaimVerdict::Granted, 1, 0 },
    { "reply lost", { WriteFate::ReplyLost }, ClaimVerdict::Granted, 1, 1 },
    { "write lost", { WriteFate::Lost }, ClaimVerdict::Granted, 2, 1 },
    { "connection refused once", { WriteFate::Refused }, ClaimVerdict::Granted, 2, 0 },
    { "write lost, then its repetition's reply", { WriteFate::Lost, WriteFate::ReplyLost }, ClaimVerdict::Granted, 2, 2 },
};

TEST_CASE("a claim is recognised whatever becomes of its replies")
{
    for (const auto& row : fateCases) {
        CAPTURE(std::string(row.name));
        Fixture fixture;
        fixture.store.fates = row.fates;

        const auto claim = fixture.take();

        CHECK(fixture.verdict() == row.verdict);
        CHECK(fixture.store.writes == row.writes);
        CHECK(fixture.store.reads == row.reads);
        CHECK(fixture.state() == ClaimState::Claimed);
    }
}

TEST_CASE("a late first write does not undo the claim of its repetition")
{
    Fixture fixture;
    fixture.store.fates = { WriteFate::Late };
    const auto claim = fixture.take();
    REQUIRE(fixture.verdict() == ClaimVerdict::Granted);
    claim->settle({ 200, "text/plain", "done", true });
    REQUIRE(fixture.waitUntil([&fixture] { return fixture.state() == ClaimState::Answered; }));

    fixture.store.landLate();

    CHECK(fixture.state() == ClaimState::Answered);
}

TEST_CASE("a claim that was given up and takes effect later is released")
{
    Fixture fixture;
    fixture.store.fates = std::deque<WriteFate>(1, WriteFate::Late);
    const auto claim = fixture.take();
    REQUIRE(fixture.waitUntil([&fixture] { return fixture.store.writes == 1; }));
    claim->abandon();

    fixture.store.landLate();

    REQUIRE(fixture.state() == ClaimState::Claimed);
    CHECK(fixture.waitUntil([&fixture] { return fixture.state() == ClaimState::NotRun; }));
    CHECK_FALSE(fixture.answer.has_value());
}

TEST_CASE("a claim whose reply is read after the deadline is not used and released")
{
    Fixture fixture;
    fixture.store.fates = { WriteFate::Held };
    const auto claim = fixture.take(50ms);
    const auto deadline = EventLoop::now() + 50ms;
    REQUIRE(fixture.waitUntil([&fixture] { return fixture.store.writes == 1; }));

    // The loop stands still, as in a process that is paused.
    while (EventLoop::now() <= deadline) { }
    fixture.store.answerHeld();

    CHECK(fixture.verdict() == ClaimVerdict::Late);
    CHECK(fixture.waitUntil([&fixture] { return fixture.state() == ClaimState::NotRun; }));
}

TEST_CASE("no claim is granted after it was refused")
{
    Fixture fixture;
    fixture.store.fates = std::deque<WriteFate>(20, WriteFate::Lost);
    const auto claim = fixture.take();

    CHECK(fixture.verdict() == ClaimVerdict::Unavailable);
    fixture.store.fates.clear();
    const auto writesBefore = fixture.store.writes;
    const auto second = fixture.take();
    CHECK(fixture.verdict() == ClaimVerdict::Unavailable);
    CHECK(fixture.store.writes == writesBefore);
}

TEST_CASE("a lease that ended is replaced")
{
    Fixture fixture;
    const auto first = fixture.take();
    REQUIRE(fixture.verdict() == ClaimVerdict::Granted);
    first->settle({ 200, "text/plain", "done", true });
    fixture.store.endLeases();

    const auto second = fixture.take();

    CHECK(fixture.verdict() == ClaimVerdict::Granted);
    CHECK(fixture.store.durations == std::deque<std::chrono::milliseconds> { 25h, 25h });
}

TEST_CASE("claims of one slice share a lease that is not renewed")
{
    Fixture fixture;
    for (int index = 0; index < 10; ++index) {
        const auto claim = fixture.take();
        REQUIRE(fixture.verdict() == ClaimVerdict::Granted);
        claim->release([] {});
        REQUIRE(fixture.waitUntil([&fixture] { return fixture.state() == ClaimState::NotRun; }));
    }
    CHECK(fixture.store.durations.size() == 1);
    CHECK(fixture.store.renewals == 0);
    CHECK(fixture.store.writes == 29);
}

struct OtherCase {
    const char* name;
    ClaimState first;
    std::chrono::milliseconds remaining; ///< Of the other node's call.
    std::optional<ClaimState> later; ///< What the other node writes while this one waits.
    std::chrono::milliseconds deadline;
    ClaimVerdict verdict;
};

const OtherCase otherCases[] = {
    { "answered", ClaimState::Answered, 0ms, std::nullopt, 5s, ClaimVerdict::Answered },
    { "unknown", ClaimState::Unknown, 0ms, std::nullopt, 5s, ClaimVerdict::Unknown },
    { "not run", ClaimState::NotRun, 0ms, std::nullopt, 5s, ClaimVerdict::Granted },
    { "answered while waited for", ClaimState::Claimed, 5s, ClaimState::Answered, 5s, ClaimVerdict::Answered },
    { "released while waited for", ClaimState::Claimed, 5s, ClaimState::NotRun, 5s, ClaimVerdict::Granted },
    { "unknown while waited for", ClaimState::Claimed, 5s, ClaimState::Unknown, 5s, ClaimVerdict::Unknown },
    { "nothing before the deadline", ClaimState::Claimed, 10s, std::nullopt, 200ms, ClaimVerdict::TimedOut },
    { "nothing before the other node must have given up", ClaimState::Claimed, 100ms, std::nullopt, 10s, ClaimVerdict::Unknown },
};

TEST_CASE("another node's claim is waited for and never taken over")
{
    for (const auto& row : otherCases) {
        CAPTURE(std::string(row.name));
        Fixture fixture;
        fixture.putOther(row.first, row.remaining);

        const auto claim = fixture.take(row.deadline);
        if (row.later) {
            REQUIRE(fixture.waitUntil([&fixture] { return fixture.store.watches > 0; }));
            fixture.putOther(*row.later, row.remaining);
        }

        CHECK(fixture.verdict() == row.verdict);
    }
}

} // namespace
