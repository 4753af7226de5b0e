#include "fakestore.h"

#include "claimrecord.h"
#include "eventlog.h"
#include "metrics.h"
#include "nodesettings.h"
#include "storeclaimmanager.h"

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

/** A claim manager with a store in memory. */
class Fixture {
public:
    auto acquire(std::chrono::milliseconds deadline = 5s) -> std::shared_ptr<Claim>
    {
        this->answer.reset();
        return this->manager.acquire({ testKey, "d1", EventLoop::now() + deadline }, [this](const ClaimResult& result) { this->answer = result; });
    }

    auto waitUntil(const std::function<bool()>& isMet) -> bool
    {
        const auto end = EventLoop::now() + 5s;
        while (!isMet() && EventLoop::now() < end)
            this->loop.runOnce();
        return isMet();
    }

    /** Waits for the verdict on the last claim and returns it, or nothing after 5 s. */
    auto verdict() -> std::optional<ClaimVerdict>
    {
        this->waitUntil([this] { return this->answer.has_value(); });
        return this->answer ? std::optional(this->answer->verdict) : std::nullopt;
    }

    /** Returns the state of the record in the store, or nothing when there is none. */
    [[nodiscard]] auto state() const -> std::optional<ClaimState>
    {
        const auto found = this->store.entries.find(testKey);
        const auto record = found == this->store.entries.end() ? std::nullopt : decodeClaim(found->second.value);
        return record ? std::optional(record->state) : std::nullopt;
    }

    auto putRecordOfOtherNode(ClaimState state, std::chrono::milliseconds remaining) -> void
    {
        this->store.put(testKey, encodeClaim({ state, "node-2", "other", "d1", remaining, { 200, "text/plain", "done", true } }));
    }

    NodeSettings settings = testSettings();
    EventLoop loop;
    FakeStore store { loop };
    Metrics metrics;
    EventLog log { "error" };
    StoreClaimManager manager { loop, store, settings, metrics, log };
    std::optional<ClaimResult> answer;
};

struct WriteOutcomeCase {
    const char* name;
    std::deque<WriteOutcome> writeOutcomes;
    ClaimVerdict verdict;
    int writes;
    int reads;
};

const WriteOutcomeCase writeOutcomeCases[] = {
    { "answered", { WriteOutcome::Answered }, ClaimVerdict::Granted, 1, 0 },
    { "reply lost", { WriteOutcome::ReplyLost }, ClaimVerdict::Granted, 1, 1 },
    { "write lost", { WriteOutcome::Lost }, ClaimVerdict::Granted, 2, 1 },
    { "connection refused once", { WriteOutcome::ConnectionRefused }, ClaimVerdict::Granted, 2, 0 },
    { "write lost, then the reply to its retry lost", { WriteOutcome::Lost, WriteOutcome::ReplyLost }, ClaimVerdict::Granted, 2, 2 },
};

TEST_CASE("a claim is granted despite lost writes, lost replies and refused connections")
{
    for (const auto& row : writeOutcomeCases) {
        CAPTURE(std::string(row.name));
        Fixture fixture;
        fixture.store.writeOutcomes = row.writeOutcomes;

        const auto claim = fixture.acquire();

        CHECK(fixture.verdict() == row.verdict);
        CHECK(fixture.store.writes == row.writes);
        CHECK(fixture.store.reads == row.reads);
        CHECK(fixture.state() == ClaimState::Claimed);
    }
}

TEST_CASE("a delayed first write does not overwrite the outcome written after its retry")
{
    Fixture fixture;
    fixture.store.writeOutcomes = { WriteOutcome::Delayed };
    const auto claim = fixture.acquire();
    REQUIRE(fixture.verdict() == ClaimVerdict::Granted);
    claim->recordAnswer({ 200, "text/plain", "done", true });
    REQUIRE(fixture.waitUntil([&fixture] { return fixture.state() == ClaimState::Answered; }));

    fixture.store.applyDelayedWrites();

    CHECK(fixture.state() == ClaimState::Answered);
}

TEST_CASE("an abandoned claim whose write takes effect later is released")
{
    Fixture fixture;
    fixture.store.writeOutcomes = std::deque<WriteOutcome>(1, WriteOutcome::Delayed);
    const auto claim = fixture.acquire();
    REQUIRE(fixture.waitUntil([&fixture] { return fixture.store.writes == 1; }));
    claim->abandon();

    fixture.store.applyDelayedWrites();

    REQUIRE(fixture.state() == ClaimState::Claimed);
    CHECK(fixture.waitUntil([&fixture] { return fixture.state() == ClaimState::NotRun; }));
    CHECK_FALSE(fixture.answer.has_value());
}

TEST_CASE("a claim whose reply is read after the deadline is not granted and is released")
{
    Fixture fixture;
    fixture.store.writeOutcomes = { WriteOutcome::ReplyHeld };
    const auto claim = fixture.acquire(50ms);
    const auto deadline = EventLoop::now() + 50ms;
    REQUIRE(fixture.waitUntil([&fixture] { return fixture.store.writes == 1; }));

    // The event loop does not run until the deadline, as in a process that is paused.
    while (EventLoop::now() <= deadline) { }
    fixture.store.sendHeldReply();

    CHECK(fixture.verdict() == ClaimVerdict::GrantedLate);
    CHECK(fixture.waitUntil([&fixture] { return fixture.state() == ClaimState::NotRun; }));
}

TEST_CASE("after a claim is refused because the store does not answer, the next one is refused without a write")
{
    Fixture fixture;
    fixture.store.writeOutcomes = std::deque<WriteOutcome>(20, WriteOutcome::Lost);
    const auto claim = fixture.acquire();

    CHECK(fixture.verdict() == ClaimVerdict::Unavailable);
    fixture.store.writeOutcomes.clear();
    const auto writesBefore = fixture.store.writes;
    const auto second = fixture.acquire();
    CHECK(fixture.verdict() == ClaimVerdict::Unavailable);
    CHECK(fixture.store.writes == writesBefore);
}

TEST_CASE("an expired lease is replaced by a new one")
{
    Fixture fixture;
    const auto first = fixture.acquire();
    REQUIRE(fixture.verdict() == ClaimVerdict::Granted);
    first->recordAnswer({ 200, "text/plain", "done", true });
    fixture.store.expireLeases();

    const auto second = fixture.acquire();

    CHECK(fixture.verdict() == ClaimVerdict::Granted);
    CHECK(fixture.store.leaseDurations == std::deque<std::chrono::milliseconds> { 25h, 25h });
}

TEST_CASE("claims of the same period share one lease, which is not renewed")
{
    Fixture fixture;
    for (int index = 0; index < 10; ++index) {
        const auto claim = fixture.acquire();
        REQUIRE(fixture.verdict() == ClaimVerdict::Granted);
        claim->release([] {});
        REQUIRE(fixture.waitUntil([&fixture] { return fixture.state() == ClaimState::NotRun; }));
    }
    CHECK(fixture.store.leaseDurations.size() == 1);
    CHECK(fixture.store.renewals == 0);
    CHECK(fixture.store.writes == 29);
}

struct OtherNodeCase {
    const char* name;
    ClaimState first; ///< State of the other node's record before the claim is requested.
    std::chrono::milliseconds remaining; ///< Time from the other node's claim to the deadline of its call.
    std::optional<ClaimState> later; ///< State that the other node writes while this one waits.
    std::chrono::milliseconds deadline;
    ClaimVerdict verdict;
};

const OtherNodeCase otherNodeCases[] = {
    { "answered", ClaimState::Answered, 0ms, std::nullopt, 5s, ClaimVerdict::Answered },
    { "unknown", ClaimState::Unknown, 0ms, std::nullopt, 5s, ClaimVerdict::Unknown },
    { "not run", ClaimState::NotRun, 0ms, std::nullopt, 5s, ClaimVerdict::Granted },
    { "answered while this node waits", ClaimState::Claimed, 5s, ClaimState::Answered, 5s, ClaimVerdict::Answered },
    { "released while this node waits", ClaimState::Claimed, 5s, ClaimState::NotRun, 5s, ClaimVerdict::Granted },
    { "unknown while this node waits", ClaimState::Claimed, 5s, ClaimState::Unknown, 5s, ClaimVerdict::Unknown },
    { "no outcome before the deadline", ClaimState::Claimed, 10s, std::nullopt, 200ms, ClaimVerdict::TimedOut },
    { "no outcome before the other node's claim expires", ClaimState::Claimed, 100ms, std::nullopt, 10s, ClaimVerdict::Unknown },
};

TEST_CASE("a claim waits for the outcome of another node's claim and takes it over only after its release")
{
    for (const auto& row : otherNodeCases) {
        CAPTURE(std::string(row.name));
        Fixture fixture;
        fixture.putRecordOfOtherNode(row.first, row.remaining);

        const auto claim = fixture.acquire(row.deadline);
        if (row.later) {
            REQUIRE(fixture.waitUntil([&fixture] { return fixture.store.watches > 0; }));
            fixture.putRecordOfOtherNode(*row.later, row.remaining);
        }

        CHECK(fixture.verdict() == row.verdict);
    }
}

} // namespace
