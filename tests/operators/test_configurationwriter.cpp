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

/** What happens to one call of the store. */
enum class CallFault {
    None,
    ReplyLost, ///< A swap takes effect, and its reply is lost.
    RequestLost, ///< Nothing takes effect, and the call times out.
    Late, ///< A swap times out and takes effect at the next call.
    NotConnected,
    Older, ///< A read gives the entry before the last write.
};

/** A store of one key whose faults are scripted call by call. */
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
    std::optional<StoreEntry> other; ///< Another record, written by someone else just before the first swap.
    int writes = 0;
    int swapCalls = 0;

    auto get(const std::string& /*key*/, EntryHandler handler) -> void override
    {
        this->applyLate();
        const auto fault = next(this->getFaults);
        const auto error = errorOf(fault);
        const auto answer = fault == CallFault::Older ? this->olderEntry : this->entry;
        this->loop.post([handler = std::move(handler), error, answer] { handler(error, answer); });
    }

    auto list(const std::string& /*prefix*/, ListingHandler handler) -> void override
    {
        this->applyLate();
        const auto fault = next(this->listFaults);
        const auto error = errorOf(fault);
        const auto answer = fault == CallFault::Older ? this->olderEntry : this->entry;
        StoreListing listing;
        if (answer)
            listing.entries.push_back(*answer);
        if (this->other && this->writes > 0)
            listing.entries.push_back(*this->other);
        this->loop.post([handler = std::move(handler), error, listing] { handler(error, listing); });
    }

    auto compareAndSwap(const StoreSwap& swap, SwapHandler handler) -> void override
    {
        ++this->swapCalls;
        this->applyLate();
        const auto fault = next(this->swapFaults);
        StoreSwapResult result;
        if (fault == CallFault::Late)
            this->late = swap;
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
        case CallFault::Older:
            return {};
        case CallFault::ReplyLost:
            return Error::ConnectionLost;
        case CallFault::RequestLost:
        case CallFault::Late:
            return Error::Timeout;
        case CallFault::NotConnected:
            return Error::ConnectionFailed;
        }
        return {};
    }

    auto applyLate() -> void
    {
        if (this->late)
            this->apply(*this->late);
        this->late.reset();
    }

    EventLoop& loop;
    std::optional<StoreSwap> late;
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

const std::deque<CallFault> always(200, CallFault::RequestLost);

struct WriteCase {
    std::string name;
    std::deque<CallFault> listFaults;
    std::deque<CallFault> getFaults;
    std::deque<CallFault> swapFaults;
    Revision base;
    const char* writeId;
    bool isRepeated;
    ChangeOutcome outcome;
    int writes; ///< That took effect.
    Revision revision; ///< Of the record in the end; the record starts at 4, by the write "before".
};

const WriteCase writeCases[] = {
    { "no fault", {}, {}, {}, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "older base", {}, {}, {}, 3, "w", false, ChangeOutcome::Conflict, 0, 4 },
    { "store down at the first read", { CallFault::RequestLost }, {}, {}, 4, "w", false, ChangeOutcome::NotAccepted, 0, 4 },
    { "store down at the first read, write id used before", { CallFault::RequestLost }, {}, {}, 4, "w", true, ChangeOutcome::Unknown, 0, 4 },
    { "no connection for the write", {}, {}, { CallFault::NotConnected }, 4, "w", false, ChangeOutcome::NotAccepted, 0, 4 },
    { "reply lost", {}, {}, { CallFault::ReplyLost }, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "reply lost, reading back fails at first", {}, { CallFault::RequestLost, CallFault::RequestLost }, { CallFault::ReplyLost }, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "reply lost, reading back gives the older value", {}, { CallFault::Older }, { CallFault::ReplyLost }, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "request lost", {}, {}, { CallFault::RequestLost }, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "write takes effect late", {}, {}, { CallFault::Late }, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "reply lost and the store stays away", {}, always, { CallFault::ReplyLost }, 4, "w", false, ChangeOutcome::Unknown, 1, 5 },
    { "first read gives the older value", { CallFault::Older }, {}, {}, 4, "w", false, ChangeOutcome::Accepted, 1, 5 },
    { "write id of the last change", {}, {}, {}, 3, "before", true, ChangeOutcome::Accepted, 0, 4 },
    { "write id of the last change, without saying so", {}, {}, {}, 3, "before", false, ChangeOutcome::Accepted, 0, 4 },
};

TEST_CASE("a change is accepted when durable, and written once")
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

TEST_CASE("a change of unknown outcome is told when asked for again")
{
    EventLoop loop;
    ScriptedStore store(loop);
    store.apply(storedTemplate(4, "before"));
    store.writes = 0;
    store.swapFaults = { CallFault::ReplyLost };
    store.getFaults = always;
    const Blackboard blackboard;
    const ChangeOrigin origin { 4, "w", "ana", {} };
    REQUIRE(runChange(loop, store, blackboard, origin, false).outcome == ChangeOutcome::Unknown);

    const auto report = runChange(loop, store, blackboard, origin, true);

    CHECK(report.outcome == ChangeOutcome::Accepted);
    CHECK(report.version.revision == 5);
    CHECK(store.writes == 1);
}

TEST_CASE("a conflict shows both contents and who was first")
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

TEST_CASE("of a template and a service that clash the later one is undone")
{
    EventLoop loop;
    ScriptedStore store(loop);
    store.apply(storedTemplate(4, "before"));
    store.writes = 0;
    const ConfigurationRecord service { { 1, "other", "ben", {}, "bookings", false, Json::parse(R"({"backend_pools": []})") }, {} };
    store.other = StoreEntry { "config/services/jadeleaf/desk", formatRecord(service), 3 };
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

TEST_CASE("a change goes on from what is in force when the store holds less")
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
