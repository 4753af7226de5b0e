#include "promiseledger.h"

#include <doctest/doctest.h>
#include <vector>

using namespace Primrosefork::Measure;
using namespace std::chrono_literals;

namespace {

using Script = void (*)(PromiseLedger&);

const CallEnd whole { 200, true, "answer", "answer" };
const CallEnd cut { 0, false, "", "answer" };
const CallEnd refused { 503, true, "", "answer" };

auto send(PromiseLedger& ledger, const std::string& request, PromiseLedger::Time at, CallKind kind = CallKind::Once) -> void
{
    ledger.requestSent(request, kind, 0, at);
}

/** Lets a request that is sent at \a at arrive at a server. */
auto arrive(PromiseLedger& ledger, PromiseLedger::Time at) -> void
{
    const auto request = "r" + std::to_string(at.count());
    send(ledger, request, at);
    ledger.requestArrived("server", request, at);
}

struct Row {
    const char* name;
    Promise promise;
    Script script;
    std::size_t violations;
};

const Row callRows[] = {
    { "a call runs once", Promise::RunsOnce, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.requestRan("a", "r", 1ms); }, 0 },
    { "a call runs twice", Promise::RunsOnce, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.requestRan("a", "r", 1ms); ledger.requestRan("b", "r", 2ms); }, 1 },
    { "a call that may be repeated runs twice", Promise::RunsOnce, [](PromiseLedger& ledger) { send(ledger, "r", 0ms, CallKind::Read); ledger.requestRan("a", "r", 1ms); ledger.requestRan("b", "r", 2ms); }, 0 },
    { "a refused call did not run", Promise::RefusalIsTrue, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.callEnded("r", refused, 2ms); }, 0 },
    { "a refused call had run", Promise::RefusalIsTrue, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.requestRan("a", "r", 1ms); ledger.callEnded("r", refused, 2ms); }, 1 },
    { "a refused call runs later", Promise::RefusalIsTrue, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.callEnded("r", refused, 2ms); ledger.requestRan("a", "r", 900ms); }, 1 },
    { "a whole answer", Promise::AnswerIsOwn, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.callEnded("r", whole, 2ms); }, 0 },
    { "another request's answer", Promise::AnswerIsOwn, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.callEnded("r", { 200, true, "stranger", "answer" }, 2ms); }, 1 },
    { "a part that looks whole", Promise::AnswerIsOwn, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.callEnded("r", { 200, true, "ans", "answer" }, 2ms); }, 1 },
    { "a part that does not look whole", Promise::AnswerIsOwn, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.callEnded("r", { 200, false, "ans", "answer" }, 2ms); }, 0 },
    { "events out of order in a stream that breaks off", Promise::AnswerIsOwn, [](PromiseLedger& ledger) { send(ledger, "r", 0ms, CallKind::Stream); ledger.callEnded("r", { 200, false, "1 3 2", "1 2 3 4" }, 2ms); }, 1 },
    { "a stream that breaks off and looks complete", Promise::StreamEndIsTrue, [](PromiseLedger& ledger) { send(ledger, "r", 0ms, CallKind::Stream); ledger.callEnded("r", { 200, true, "1 2", "1 2 3" }, 2ms); }, 1 },
    { "a stream that breaks off", Promise::StreamEndIsTrue, [](PromiseLedger& ledger) { send(ledger, "r", 0ms, CallKind::Stream); ledger.callEnded("r", { 200, false, "1 2", "1 2 3" }, 2ms); }, 0 },
    { "a call is not answered in calm", Promise::ServesInCalm, [](PromiseLedger& ledger) { ledger.calmBegan(1s); send(ledger, "r", 2s); ledger.callEnded("r", refused, 3s); }, 1 },
    { "a call sent before the calm is not answered", Promise::ServesInCalm, [](PromiseLedger& ledger) { ledger.calmBegan(1s); send(ledger, "r", 900ms); ledger.callEnded("r", refused, 3s); }, 0 },
    { "a call in calm is answered", Promise::ServesInCalm, [](PromiseLedger& ledger) { ledger.calmBegan(1s); send(ledger, "r", 2s); ledger.callEnded("r", whole, 3s); }, 0 },
};

const Row nodeRows[] = {
    { "a stop that answers what is open", Promise::StopCutsNothing, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.stopRequested(0, 1s); ledger.callEnded("r", whole, 2s); ledger.nodeStopped(0, 0, 4s); }, 0 },
    { "a stop that cuts a call off", Promise::StopCutsNothing, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.stopRequested(0, 1s); ledger.callEnded("r", cut, 2s); }, 1 },
    { "a stop that cuts off a call sent after it began", Promise::StopCutsNothing, [](PromiseLedger& ledger) { ledger.stopRequested(0, 1s); send(ledger, "r", 3s); ledger.callEnded("r", cut, 3s); }, 1 },
    { "a call that its server harmed, during a stop", Promise::StopCutsNothing, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.requestHarmed("r"); ledger.stopRequested(0, 1s); ledger.callEnded("r", cut, 2s); }, 0 },
    { "a call at a node that is killed", Promise::StopCutsNothing, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.stopRequested(0, 1s); ledger.nodeKilled(0); ledger.callEnded("r", cut, 2s); }, 0 },
    { "a stop that ends with an error", Promise::StopCutsNothing, [](PromiseLedger& ledger) { ledger.stopRequested(0, 1s); ledger.nodeStopped(0, 139, 2s); }, 1 },
    { "a stop that takes too long", Promise::StopCutsNothing, [](PromiseLedger& ledger) { ledger.stopRequested(0, 1s); ledger.nodeStopped(0, 0, 9'100ms); }, 1 },
    { "a node that ends by itself", Promise::RunsOn, [](PromiseLedger& ledger) { ledger.nodeDied(0, 139, 2s); }, 1 },
    { "a quick recovery", Promise::Recovers, [](PromiseLedger& ledger) { ledger.recovered(true, 5s); }, 0 },
    { "a slow recovery", Promise::Recovers, [](PromiseLedger& ledger) { ledger.recovered(true, 7s); }, 1 },
    { "no recovery", Promise::Recovers, [](PromiseLedger& ledger) { ledger.recovered(false, 5s); }, 1 },
    { "a process that uses as much as before", Promise::DoesNotGrow, [](PromiseLedger& ledger) { ledger.resourcesMeasured(0, 1, { 1'000, 20, 1 }); ledger.resourcesMeasured(0, 1, { 1'000, 20, 1 }); }, 0 },
    { "a process with more memory", Promise::DoesNotGrow, [](PromiseLedger& ledger) { ledger.resourcesMeasured(0, 1, { 1'000, 20, 1 }); ledger.resourcesMeasured(0, 1, { 90'000'000, 20, 1 }); }, 1 },
    { "a process with more descriptors", Promise::DoesNotGrow, [](PromiseLedger& ledger) { ledger.resourcesMeasured(0, 1, { 1'000, 20, 1 }); ledger.resourcesMeasured(0, 1, { 1'000, 200, 1 }); }, 1 },
    { "a process with more threads", Promise::DoesNotGrow, [](PromiseLedger& ledger) { ledger.resourcesMeasured(0, 1, { 1'000, 20, 1 }); ledger.resourcesMeasured(0, 1, { 1'000, 20, 2 }); }, 1 },
    { "another process that uses more", Promise::DoesNotGrow, [](PromiseLedger& ledger) { ledger.resourcesMeasured(0, 1, { 1'000, 20, 1 }); ledger.resourcesMeasured(0, 2, { 90'000'000, 200, 2 }); }, 0 },
};

const Row serverRows[] = {
    { "a request within the drain bound", Promise::LeftGetsNothing, [](PromiseLedger& ledger) { ledger.serverLeft("server", 1s); arrive(ledger, 2'900ms); }, 0 },
    { "a request after the drain bound", Promise::LeftGetsNothing, [](PromiseLedger& ledger) { ledger.serverLeft("server", 1s); arrive(ledger, 3'100ms); }, 1 },
    { "a request to a server that has returned", Promise::LeftGetsNothing, [](PromiseLedger& ledger) { ledger.serverLeft("server", 1s); ledger.serverReturned("server"); arrive(ledger, 4s); }, 0 },
    { "a request while the store is away", Promise::LeftGetsNothing, [](PromiseLedger& ledger) { ledger.disturbanceBegan("store", 500ms); ledger.serverLeft("server", 1s); arrive(ledger, 5s); }, 0 },
    { "a request within the bound after the store is back", Promise::LeftGetsNothing, [](PromiseLedger& ledger) { ledger.serverLeft("server", 1s); ledger.disturbanceBegan("store", 2s); ledger.disturbanceEnded("store", 4s); arrive(ledger, 5'900ms); }, 0 },
    { "a request after the bound after the store is back", Promise::LeftGetsNothing, [](PromiseLedger& ledger) { ledger.serverLeft("server", 1s); ledger.disturbanceBegan("store", 2s); ledger.disturbanceEnded("store", 4s); arrive(ledger, 6'100ms); }, 1 },
    { "a request after an earlier outage", Promise::LeftGetsNothing, [](PromiseLedger& ledger) { ledger.disturbanceBegan("store", 0ms); ledger.disturbanceEnded("store", 900ms); ledger.serverLeft("server", 1s); arrive(ledger, 3'100ms); }, 1 },
    { "a request although the server said that it leaves", Promise::LeavingGetsNothing, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.leavingSaid("server", "r", 1s); arrive(ledger, 3'100ms); }, 1 },
    { "a request although the server said that it leaves, with the store away", Promise::LeavingGetsNothing, [](PromiseLedger& ledger) { ledger.disturbanceBegan("store", 500ms); send(ledger, "r", 0ms); ledger.leavingSaid("server", "r", 1s); arrive(ledger, 3'100ms); }, 1 },
    { "a request of a new process of the node", Promise::LeavingGetsNothing, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.leavingSaid("server", "r", 1s); ledger.nodeStarted(0); arrive(ledger, 3'100ms); }, 0 },
    { "two requests in a pause", Promise::PauseIsKept, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.pauseAsked("server", "r", 2s, 1s); arrive(ledger, 1'600ms); arrive(ledger, 1'700ms); }, 0 },
    { "three requests in a pause", Promise::PauseIsKept, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.pauseAsked("server", "r", 2s, 1s); arrive(ledger, 1'600ms); arrive(ledger, 1'700ms); arrive(ledger, 1'800ms); }, 1 },
    { "three requests as a pause begins", Promise::PauseIsKept, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.pauseAsked("server", "r", 2s, 1s); arrive(ledger, 1'100ms); arrive(ledger, 1'200ms); arrive(ledger, 1'300ms); }, 0 },
    { "three requests after a pause", Promise::PauseIsKept, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.pauseAsked("server", "r", 2s, 1s); arrive(ledger, 3'100ms); arrive(ledger, 3'200ms); arrive(ledger, 3'300ms); }, 0 },
    { "three requests of a node that was frozen as the pause began", Promise::PauseIsKept, [](PromiseLedger& ledger) { send(ledger, "r", 0ms); ledger.disturbanceBegan("node-0", 900ms); ledger.pauseAsked("server", "r", 2s, 1s); ledger.disturbanceEnded("node-0", 1'600ms); arrive(ledger, 1'700ms); arrive(ledger, 1'800ms); arrive(ledger, 1'900ms); }, 0 },
};

const Row configurationRows[] = {
    { "a change within the bound", Promise::ChangeIsInForce, [](PromiseLedger& ledger) { ledger.configurationWritten(1, 0ms); ledger.credentialTried(0, 1, false, 1'900ms); ledger.credentialTried(0, 1, true, 2'100ms); }, 0 },
    { "a change after the bound", Promise::ChangeIsInForce, [](PromiseLedger& ledger) { ledger.configurationWritten(1, 0ms); ledger.credentialTried(0, 1, false, 2'100ms); }, 1 },
    { "a change within the bound after a freeze", Promise::ChangeIsInForce, [](PromiseLedger& ledger) { ledger.configurationWritten(1, 0ms); ledger.disturbanceBegan("node-0", 100ms); ledger.disturbanceEnded("node-0", 3s); ledger.credentialTried(0, 1, false, 4'900ms); }, 0 },
    { "a change after the bound, another node being frozen", Promise::ChangeIsInForce, [](PromiseLedger& ledger) { ledger.configurationWritten(1, 0ms); ledger.disturbanceBegan("node-1", 100ms); ledger.credentialTried(0, 1, false, 2'100ms); }, 1 },
    { "a change that goes back", Promise::ChangeStays, [](PromiseLedger& ledger) { ledger.configurationWritten(1, 0ms); ledger.credentialTried(0, 1, true, 100ms); ledger.credentialTried(0, 1, false, 200ms); }, 1 },
    { "a change that another process had", Promise::ChangeStays, [](PromiseLedger& ledger) { ledger.configurationWritten(1, 0ms); ledger.credentialTried(0, 1, true, 100ms); ledger.nodeStarted(0); ledger.credentialTried(0, 1, false, 200ms); }, 0 },
    { "a withdrawn credential within the bound", Promise::RevocationIsKept, [](PromiseLedger& ledger) { ledger.configurationWritten(1, 0ms); ledger.configurationWritten(2, 1s); ledger.credentialTried(0, 1, true, 5'900ms); }, 0 },
    { "a withdrawn credential after the bound", Promise::RevocationIsKept, [](PromiseLedger& ledger) { ledger.configurationWritten(1, 0ms); ledger.configurationWritten(2, 1s); ledger.credentialTried(0, 1, true, 6'100ms); }, 1 },
    { "a withdrawn credential after the bound, with the store away", Promise::RevocationIsKept, [](PromiseLedger& ledger) { ledger.configurationWritten(1, 0ms); ledger.disturbanceBegan("store", 0ms); ledger.configurationWritten(2, 1s); ledger.credentialTried(0, 1, true, 6'100ms); }, 1 },
};

template <std::size_t size>
auto checkRows(const Row (&rows)[size]) -> void
{
    for (const auto& row : rows) {
        CAPTURE(row.name);
        PromiseLedger ledger { {} };
        std::size_t reported = 0;
        ledger.violated = [&reported](const std::string&, const std::string&) { ++reported; };
        row.script(ledger);
        std::size_t all = 0;
        for (const auto& check : ledger.results())
            all += check.violations.size();
        CHECK(ledger.results()[static_cast<std::size_t>(row.promise)].violations.size() == row.violations);
        CHECK(reported == all);
    }
}

TEST_CASE("what becomes of calls is checked")
{
    checkRows(callRows);
}

TEST_CASE("what becomes of nodes is checked")
{
    checkRows(nodeRows);
}

TEST_CASE("what servers get is checked")
{
    checkRows(serverRows);
}

TEST_CASE("changes of the configuration are checked")
{
    checkRows(configurationRows);
}

} // namespace
