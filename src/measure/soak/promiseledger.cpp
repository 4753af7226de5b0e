#include "promiseledger.h"

#include <algorithm>
#include <array>

namespace Primrosefork::Measure {

namespace {

constexpr int statusTooMany = 429;
constexpr int statusUnavailable = 503;
constexpr int statusOk = 200;

constexpr std::array statements {
    "a request that may not be repeated runs once at most",
    "a request that is refused as not run has not run, and does not run later",
    "each answer is its own request's, whole and in order",
    "a stream looks complete only when it is",
    "a planned stop cuts no request off",
    "a server that has left gets nothing after the drain bound",
    "a server that said that it leaves gets nothing more from that node after the drain bound",
    "a server that asked for a pause gets at most two requests from that node in it",
    "a change of the configuration is in force within the bound",
    "a configuration in force does not go back",
    "a withdrawn credential is refused after the bound",
    "all nodes serve everything within the bound after the faults",
    "each call is answered while there are no faults",
    "no node ends by itself",
    "memory, descriptors and threads of the nodes do not grow",
};

auto text(PromiseLedger::Time time) -> std::string
{
    return std::to_string(time.count()) + " ms";
}

} // namespace

PromiseLedger::PromiseLedger(const PromiseBounds& bounds)
    : bounds(bounds)
{
    for (const auto* statement : statements)
        this->checks.emplace_back().statement = statement;
}

auto PromiseLedger::evaluate(Promise promise, bool holds, const std::function<std::string()>& seen) -> void
{
    auto& check = this->checks[static_cast<std::size_t>(promise)];
    ++check.evaluations;
    if (holds)
        return;
    check.violations.push_back(seen());
    if (this->violated)
        this->violated(check.statement, check.violations.back());
}

auto PromiseLedger::effectiveStart(const std::vector<std::string>& who, Time begin, Time now) const -> std::optional<Time>
{
    auto start = begin;
    for (const auto& name : who) {
        const auto found = this->disturbances.find(name);
        if (found == this->disturbances.end())
            continue;
        for (const auto& disturbance : found->second) {
            if (disturbance.begin > now || (disturbance.end && *disturbance.end < begin))
                continue;
            if (!disturbance.end || *disturbance.end >= now)
                return std::nullopt;
            start = std::max(start, *disturbance.end);
        }
    }
    return start;
}

auto PromiseLedger::requestSent(const std::string& request, CallKind kind, std::size_t node, Time now) -> void
{
    this->calls[request] = { kind, node, now };
}

auto PromiseLedger::requestArrived(const Server& server, const std::string& request, Time now) -> void
{
    const auto found = this->calls.find(request);
    if (found == this->calls.end())
        return;
    const auto& call = found->second;
    if (const auto left = this->departures.find(server); left != this->departures.end())
        this->checkDeparture(Promise::LeftGetsNothing, server, call, left->second, now);
    if (const auto said = this->announcements.find({ server, call.node }); said != this->announcements.end())
        this->checkDeparture(Promise::LeavingGetsNothing, server, call, said->second, now);
    this->checkPause(server, call, now);
}

auto PromiseLedger::checkDeparture(Promise promise, const Server& server, const Call& call, Time leftAt, Time now) -> void
{
    std::vector<std::string> who { nodeName(call.node) };
    if (promise == Promise::LeftGetsNothing)
        who.emplace_back(store);
    const auto start = this->effectiveStart(who, leftAt, now);
    this->evaluate(promise, !start || now <= *start + this->bounds.drain,
        [&] { return server + " got a request from " + nodeName(call.node) + " at " + text(now) + ", left at " + text(leftAt); });
}

auto PromiseLedger::checkPause(const Server& server, const Call& call, Time now) -> void
{
    const auto found = this->pauses.find({ server, call.node });
    if (found == this->pauses.end() || now >= found->second.end)
        return;
    auto& pause = found->second;
    const auto start = this->effectiveStart({ nodeName(call.node) }, pause.begin, now);
    if (start && now > *start + this->bounds.pauseContact)
        ++pause.requests;
    this->evaluate(Promise::PauseIsKept, pause.requests <= this->bounds.requestsInPause,
        [&] { return server + " got " + std::to_string(pause.requests) + " requests from " + nodeName(call.node) + " until " + text(now) + " in the pause asked for at " + text(pause.begin); });
}

auto PromiseLedger::requestRan(const Server& server, const std::string& request, Time now) -> void
{
    const auto found = this->calls.find(request);
    if (found == this->calls.end())
        return;
    auto& call = found->second;
    ++call.runs;
    if (call.kind == CallKind::Once)
        this->evaluate(Promise::RunsOnce, call.runs == 1, [&] { return request + " ran " + std::to_string(call.runs) + " times, lastly at " + text(now) + " on " + server; });
    if (call.isRefused)
        this->evaluate(Promise::RefusalIsTrue, false, [&] { return request + " ran at " + text(now) + " on " + server + " after it was refused"; });
}

auto PromiseLedger::callEnded(const std::string& request, const CallEnd& end, Time now) -> void
{
    const auto found = this->calls.find(request);
    if (found == this->calls.end())
        return;
    auto& call = found->second;
    if (end.status == statusTooMany || end.status == statusUnavailable) {
        call.isRefused = true;
        this->evaluate(Promise::RefusalIsTrue, call.runs == 0, [&] { return request + " was refused at " + text(now) + " with " + std::to_string(end.status) + " after it had run"; });
    }
    if (end.status == statusOk) {
        const auto isOwn = end.isComplete ? end.body == end.expectedBody : end.expectedBody.starts_with(end.body);
        this->evaluate(Promise::AnswerIsOwn, isOwn, [&] { return request + " got \"" + end.body.substr(0, 300) + "\""; });
        if (call.kind == CallKind::Stream)
            this->evaluate(Promise::StreamEndIsTrue, !end.isComplete || end.body.size() >= end.expectedBody.size(), [&] { return request + " ended with \"" + end.body.substr(0, 300) + "\""; });
    }
    if (this->calmSince && call.sentAt >= *this->calmSince)
        this->evaluate(Promise::ServesInCalm, end.status == statusOk && end.isComplete, [&] { return request + ", sent at " + text(call.sentAt) + ", ended with status " + std::to_string(end.status) + " at " + text(now); });
    this->checkStop(request, call, end, now);
}

auto PromiseLedger::checkStop(const std::string& request, const Call& call, const CallEnd& end, Time now) -> void
{
    const auto stop = this->stops.find(call.node);
    if (stop == this->stops.end() || this->harmed.contains(request) || now > stop->second + this->bounds.stopGrace)
        return;
    this->evaluate(Promise::StopCutsNothing, end.isComplete, [&] { return request + ", sent at " + text(call.sentAt) + ", was cut off at " + text(now) + " by " + nodeName(call.node) + ", told to stop at " + text(stop->second); });
}

auto PromiseLedger::serverLeft(const Server& server, Time now) -> void
{
    this->departures.emplace(server, now);
}

auto PromiseLedger::leavingSaid(const Server& server, const std::string& request, Time now) -> void
{
    const auto found = this->calls.find(request);
    if (found != this->calls.end())
        this->announcements.try_emplace({ server, found->second.node }, now);
}

auto PromiseLedger::pauseAsked(const Server& server, const std::string& request, Time pause, Time now) -> void
{
    const auto found = this->calls.find(request);
    if (found == this->calls.end())
        return;
    auto& current = this->pauses[{ server, found->second.node }];
    if (now < current.end)
        return;
    current = { now, now + pause, 0 };
    this->evaluate(Promise::PauseIsKept, true, {}); // Requests that arrive in it are counted as they do.
}

auto PromiseLedger::serverReturned(const Server& server) -> void
{
    if (this->departures.erase(server) > 0)
        this->evaluate(Promise::LeftGetsNothing, true, {}); // What arrived too late was counted as it arrived.
    const auto said = std::erase_if(this->announcements, [&server](const auto& entry) { return entry.first.first == server; });
    if (said > 0)
        this->evaluate(Promise::LeavingGetsNothing, true, {});
}

auto PromiseLedger::stopRequested(std::size_t node, Time now) -> void
{
    this->stops[node] = now;
}

auto PromiseLedger::nodeStopped(std::size_t node, int exitCode, Time now) -> void
{
    const auto stop = this->stops.find(node);
    if (stop == this->stops.end())
        return;
    this->evaluate(Promise::StopCutsNothing, exitCode == 0 && now <= stop->second + this->bounds.stopGrace,
        [&] { return nodeName(node) + " told to stop at " + text(stop->second) + " ended at " + text(now) + " with exit code " + std::to_string(exitCode); });
}

auto PromiseLedger::nodeDied(std::size_t node, int exitCode, Time now) -> void
{
    this->evaluate(Promise::RunsOn, false, [&] { return nodeName(node) + " ended at " + text(now) + " with exit code " + std::to_string(exitCode); });
}

auto PromiseLedger::nodeKilled(std::size_t node) -> void
{
    this->stops.erase(node);
}

auto PromiseLedger::nodeStarted(std::size_t node) -> void
{
    this->stops.erase(node);
    this->taken.erase(node);
    std::erase_if(this->announcements, [node](const auto& entry) { return entry.first.second == node; });
    std::erase_if(this->pauses, [node](const auto& entry) { return entry.first.second == node; });
}

auto PromiseLedger::disturbanceBegan(const std::string& what, Time now) -> void
{
    this->disturbances[what].push_back({ now, std::nullopt });
}

auto PromiseLedger::disturbanceEnded(const std::string& what, Time now) -> void
{
    for (auto& disturbance : this->disturbances[what]) {
        if (!disturbance.end) {
            disturbance.end = now;
            return;
        }
    }
}

auto PromiseLedger::configurationWritten(int version, Time now) -> void
{
    this->versions[version] = now;
}

auto PromiseLedger::credentialTried(std::size_t node, int version, bool isTaken, Time sentAt) -> void
{
    if (this->versions.empty() || version > this->versions.rbegin()->first)
        return;
    const auto newest = this->versions.rbegin()->first;
    if (version < newest) {
        const auto withdrawnAt = this->versions.at(version + 1);
        if (sentAt > withdrawnAt + this->bounds.revocation)
            this->evaluate(Promise::RevocationIsKept, !isTaken, [&] { return nodeName(node) + " took the credential of version " + std::to_string(version) + " at " + text(sentAt) + ", withdrawn at " + text(withdrawnAt); });
        return;
    }
    const auto writtenAt = this->versions.at(version);
    const auto seen = [&] { return nodeName(node) + " refused the credential of version " + std::to_string(version) + " at " + text(sentAt) + ", written at " + text(writtenAt); };
    if (const auto before = this->taken.find(node); before != this->taken.end() && before->second == version)
        this->evaluate(Promise::ChangeStays, isTaken, seen);
    if (isTaken)
        this->taken[node] = version;
    const auto start = this->effectiveStart({ nodeName(node), store }, writtenAt, sentAt);
    if (start && sentAt > *start + this->bounds.configuration)
        this->evaluate(Promise::ChangeIsInForce, isTaken, seen);
}

auto PromiseLedger::recovered(bool areAllServing, Time time) -> void
{
    this->longest = std::max(this->longest, time);
    this->evaluate(Promise::Recovers, areAllServing && time <= this->bounds.recovery, [&] { return (areAllServing ? "served everything after " : "did not serve everything within ") + text(time); });
}

auto PromiseLedger::resourcesMeasured(std::size_t node, int process, const ResourceUse& use) -> void
{
    this->evaluate(Promise::RunsOn, true, {});
    const auto [first, isFirst] = this->firstUse.try_emplace(process, use);
    if (isFirst)
        return;
    const auto& before = first->second;
    const auto holds = use.residentBytes <= before.residentBytes + this->bounds.growth.residentBytes && use.descriptors <= before.descriptors + this->bounds.growth.descriptors
        && use.threads <= before.threads + this->bounds.growth.threads;
    this->evaluate(Promise::DoesNotGrow, holds, [&] {
        return nodeName(node) + " grew from " + std::to_string(before.residentBytes) + " bytes, " + std::to_string(before.descriptors) + " descriptors, " + std::to_string(before.threads) + " threads to "
            + std::to_string(use.residentBytes) + ", " + std::to_string(use.descriptors) + ", " + std::to_string(use.threads);
    });
}

} // namespace Primrosefork::Measure
