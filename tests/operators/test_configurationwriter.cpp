#include "configurationchanges.h"
#include "configurationwriter.h"
#include "errors.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <thread>

using namespace Primrosefork;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

constexpr auto templateKey = "config/templates/bookings";

/** The fault of one call to the store. */
enum class CallFault {
    None,
    ReplyLost, ///< The swap takes effect, and its reply is lost.
    RequestLost, ///< The call does not reach the store and times out.
    AppliedLate, ///< The swap times out and takes effect just before the next call.
    NotConnected, ///< The connection fails.
    StaleRead, ///< The read returns the entry before the last write.
};

/** A store of one key with a scripted fault for each call. */
class ScriptedStore : public KeyValueStore {
public:
    explicit ScriptedStore(EventLoop& loop)
        : loop(loop)
    {
    }

    std::deque<CallFault> listFaults;
    std::deque<CallFault> getFaults;
    std::deque<CallFault> swapFaults;
    std::optional<StoreEntry> entry;
    std::optional<StoreEntry> olderEntry;
    std::optional<StoreEntry> otherRecord; ///< Record of another key, written by another operator just before the first swap; listed once a swap has taken effect.
    int writes = 0;
    int swapCalls = 0;

    auto get(const std::string& /*key*/, EntryHandler handler) -> void override
    {
        this->applyLateSwap();
        const auto fault = next(this->getFaults);
        const auto error = errorOf(fault);
        const auto answer = fault == CallFault::StaleRead ? this->olderEntry : this->entry;
        this->loop.post([handler = std::move(handler), error, answer] { handler(error, answer); });
    }

    auto list(const std::string& /*prefix*/, ListingHandler handler) -> void override
    {
        this->applyLateSwap();
        const auto fault = next(this->listFaults);
        const auto error = errorOf(fault);
        const auto answer = fault == CallFault::StaleRead ? this->olderEntry : this->entry;
        StoreListing listing;
        if (answer)
            listing.entries.push_back(*answer);
        if (this->otherRecord && this->writes > 0)
            listing.entries.push_back(*this->otherRecord);
        this->loop.post([handler = std::move(handler), error, listing] { handler(error, listing); });
    }

    auto compareAndSwap(const StoreSwap& swap, SwapHandler handler) -> void override
    {
        ++this->swapCalls;
        this->applyLateSwap();
        const auto fault = next(this->swapFaults);
        StoreSwapResult result;
        if (fault == CallFault::AppliedLate)
            this->lateSwap = swap;
        else if (fault == CallFault::None || fault == CallFault::ReplyLost)
            result = this->apply(swap);
        this->loop.post([handler = std::move(handler), error = errorOf(fault), result] { handler(error, result); });
    }

    auto watch(const std::string&, StoreRevision, std::chrono::milliseconds, ListingHandler) -> void override { }
    auto grantLease(std::chrono::milliseconds, LeaseHandler) -> void override { }
    auto renewLease(LeaseId, DoneHandler) -> void override { }
    auto revokeLease(LeaseId, DoneHandler) -> void override { }

    auto apply(const StoreSwap& swap) -> StoreSwapResult
    {
        const auto current = this->entry ? this->entry->revision : 0;
        if (current != swap.expected)
            return { false, this->entry.value_or(StoreEntry { swap.key, "", 0 }) };
        this->olderEntry = this->entry;
        this->entry = StoreEntry { swap.key, swap.value, ++this->revision };
        ++this->writes;
        return { true, *this->entry };
    }

private:
    static auto next(std::deque<CallFault>& faults) -> CallFault
    {
        if (faults.empty())
            return CallFault::None;
        const auto fault = faults.front();
        faults.pop_front();
        return fault;
    }

    static auto errorOf(CallFault fault) -> std::error_code
    {
        switch (fault) {
        case CallFault::None:
        case CallFault::StaleRead:
            return {};
        case CallFault::ReplyLost:
            return Error::ConnectionLost;
        case CallFault::RequestLost:
        case CallFault::AppliedLate:
            return Error::Timeout;
        case CallFault::NotConnected:
            return Error::ConnectionFailed;
        }
        return {};
    }

    auto applyLateSwap() -> void
    {
        if (this->lateSwap)
            this->apply(*this->lateSwap);
        this->lateSwap.reset();
    }

    EventLoop& loop;
    std::optional<StoreSwap> lateSwap;
    StoreRevision revision = 7;
};

auto templateContent(const char* route) -> Json
{
    return { { "routes", Json::array({ { { "path", route }, { "kind", "plain" }, { "idempotent", true } } }) } };
}

auto storedTemplate(Revision revision, const std::string& writeId) -> StoreSwap
{
    const ConfigurationRecord record { { revision, writeId, "ben", {}, "", false, templateContent("old") }, {} };
    return { templateKey, 0, formatRecord(record), 0 };
}

/** Makes one change and runs the loop until its outcome is known. */
auto runChange(EventLoop& loop, KeyValueStore& store, const Blackboard& blackboard, const ChangeOrigin& origin, bool isRepeated) -> ChangeReport
{
    ConfigurationWriter writer(loop, store, blackboard, { 60ms, 5ms });
    std::optional<ChangeReport> report;
    writer.submit(std::make_shared<PutTemplate>("bookings", templateContent("new")), origin, isRepeated,
        [&report](const ChangeReport& outcome) { report = outcome; });
    const auto end = EventLoop::now() + 5s;
    while (!report && EventLoop::now() < end) {
        loop.runOnce();
        std::this_thread::sleep_for(1ms);
    }
    REQUIRE(report);
    return *report;
}

const std::deque<CallFault> everyCallTimesOut(200, CallFault::RequestLost);

struct WriteCase {
    std::string name;
    std::deque<CallFault> listFaults;
    std::deque<CallFault> getFaults;
    std::deque<CallFault> swapFaults;
    Revision base;
    const char* writeId;
    bool isRepeated;
    ChangeOutcome outcome;
    int writes; ///< Number of swaps that took effect.
    Revision revision; ///< Revision of the record at the end; it starts at 4, made by the write "before".
};

const WriteCase writeCases[] = {
    { "no fault", {}, {}, {}, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "base older than the record", {}, {}, {}, 3, "w", false, ChangeOutcome::Conflict, 0, 4 },
    { "first read fails", { CallFault::RequestLost }, {}, {}, 4, "w", false, ChangeOutcome::NotAccepted, 0, 4 },
    { "first read fails, write id used before", { CallFault::RequestLost }, {}, {}, 4, "w", true, ChangeOutcome::Unknown, 0, 4 },
    { "connection for the write fails", {}, {}, { CallFault::NotConnected }, 4, "w", false, ChangeOutcome::NotAccepted, 0, 4 },
    { "reply lost", {}, {}, { CallFault::ReplyLost }, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "reply lost, the first two reads back fail", {}, { CallFault::RequestLost, CallFault::RequestLost }, { CallFault::ReplyLost }, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "reply lost, reading back returns a stale value", {}, { CallFault::StaleRead }, { CallFault::ReplyLost }, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "request lost", {}, {}, { CallFault::RequestLost }, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "write takes effect late", {}, {}, { CallFault::AppliedLate }, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "reply lost, reading back keeps failing", {}, everyCallTimesOut, { CallFault::ReplyLost }, 4, "w", false, ChangeOutcome::Unknown, 1, 5 },
    { "first read returns a stale value", { CallFault::StaleRead }, {}, {}, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "write id of the last change repeated", {}, {}, {}, 3, "before", true, ChangeOutcome::Accepted, 0, 4 },
    { "write id of the last change repeated without being marked as repeated", {}, {}, {}, 3, "before", false, ChangeOutcome::Accepted, 0, 4 },
};

TEST_CASE("a change is accepted only when it is durable, and is written at most once")
{
    for (const auto& row : writeCases) {
        CAPTURE(std::string(row.name));
        EventLoop loop;
        ScriptedStore store(loop);
        store.apply(storedTemplate(3, "first"));
        auto second = storedTemplate(4, "before");
        second.expected = store.entry->revision;
        store.apply(second);
        store.writes = 0;
        store.listFaults = row.listFaults;
        store.getFaults = row.getFaults;
        store.swapFaults = row.swapFaults;
        const Blackboard blackboard;

        const auto report = runChange(loop, store, blackboard, { row.base, row.writeId, "ana", {} }, row.isRepeated);

        CHECK(report.outcome == row.outcome);
        CHECK(store.writes == row.writes);
        CHECK(parseRecord(store.entry->value)->current.revision == row.revision);
    }
}

TEST_CASE("repeating a change of unknown outcome reports that it was accepted")
{
    EventLoop loop;
    ScriptedStore store(loop);
    store.apply(storedTemplate(4, "before"));
    store.writes = 0;
    store.swapFaults = { CallFault::ReplyLost };
    store.getFaults = everyCallTimesOut;
    const Blackboard blackboard;
    const ChangeOrigin origin { 4, "w", "ana", {} };
    REQUIRE(runChange(loop, store, blackboard, origin, false).outcome == ChangeOutcome::Unknown);

    const auto report = runChange(loop, store, blackboard, origin, true);

    CHECK(report.outcome == ChangeOutcome::Accepted);
    CHECK(report.version.revision == 5);
    CHECK(store.writes == 1);
}

TEST_CASE("a conflict reports both contents and the author of the one in force")
{
    EventLoop loop;
    ScriptedStore store(loop);
    store.apply(storedTemplate(4, "before"));
    const Blackboard blackboard;

    const auto report = runChange(loop, store, blackboard, { 3, "w", "ana", {} }, false);

    REQUIRE(report.outcome == ChangeOutcome::Conflict);
    CHECK(report.version.content == templateContent("new"));
    CHECK(report.inForce.content == templateContent("old"));
    CHECK(report.inForce.revision == 4);
    CHECK(report.inForce.author == "ben");
}

TEST_CASE("a template change that clashes with a concurrent service change is undone")
{
    EventLoop loop;
    ScriptedStore store(loop);
    store.apply(storedTemplate(4, "before"));
    store.writes = 0;
    const ConfigurationRecord service { { 1, "other", "ben", {}, "bookings", false, Json::parse(R"({"backend_pools": []})") }, {} };
    store.otherRecord = StoreEntry { "config/services/jadeleaf/desk", formatRecord(service), 3 };
    const Blackboard blackboard;

    const auto report = runChange(loop, store, blackboard, { 4, "w", "ana", {} }, false);

    CHECK(report.outcome == ChangeOutcome::Invalid);
    CHECK(report.findings == Findings { { "/config/services/jadeleaf/desk/backend_pools", "at least one pool is needed" } });
    const auto record = parseRecord(store.entry->value);
    CHECK(record->current.revision == 6);
    CHECK(record->current.content == templateContent("old"));
    CHECK(record->findWrite("w") == nullptr);
    CHECK(store.writes == 2);
}

TEST_CASE("a change is based on the record in force when the store holds an older revision")
{
    EventLoop loop;
    ScriptedStore store(loop);
    store.apply(storedTemplate(2, "restored"));
    Blackboard blackboard;
    auto section = blackboard.configuration.acquireWriter("Test");
    Configuration inForce;
    Findings findings;
    REQUIRE(applyRecord(inForce, templateKey, storedTemplate(4, "before").value, findings));
    section.write(inForce);

    const auto report = runChange(loop, store, blackboard, { 4, "w", "ana", {} }, false);

    CHECK(report.outcome == ChangeOutcome::Accepted);
    CHECK(parseRecord(store.entry->value)->current.revision == 5);
}

} // namespace
