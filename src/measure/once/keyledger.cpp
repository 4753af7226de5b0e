#include "keyledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Primrosefork::Measure {

namespace {

using Json = nlohmann::json;

enum CheckIndex : std::size_t {
    RunAtMostOnce,
    NotRunIsCorrect,
    AnswerMatchesRequest,
    SameAnswerPerKey,
    AnsweredInTime,
    DecidedAfterFaults,
};

auto runsOf(const KeyLedger::Runs& runs, const std::string& key) -> std::int64_t
{
    const auto found = runs.find(key);
    return found == runs.end() ? 0 : found->second;
}

auto reportsNotRun(const Testkit::BookingAnswer& answer) -> bool
{
    return !answer.transportError && answer.execution == "not run";
}

} // namespace

KeyLedger::KeyLedger()
    : results { Check("each key was run at most once"), Check("no key reported as \"not run\" was run"), Check("each answer belongs to its request"),
        Check("all answers for a key are the same"), Check("each answer arrived in time"), Check("each key is \"run\" or \"unknown\" after the faults") }
{
}

auto KeyLedger::evaluate(std::size_t check, bool holds, const std::string& detail) -> void
{
    auto& result = this->results[check];
    ++result.evaluations;
    if (!holds)
        result.violations.push_back(detail);
}

auto KeyLedger::addAnswer(const std::string& key, const std::string& body, const Testkit::BookingAnswer& answer) -> void
{
    if (answer.transportError) {
        ++this->answerCounts["node died"];
        return;
    }
    ++this->answerCounts[answer.execution + (answer.error.empty() ? "" : ", " + answer.error) + (answer.isReplayed ? ", replayed" : "")];
    this->evaluate(AnsweredInTime, answer.isDone && answer.elapsed <= this->longestAnswer, key + " took " + std::to_string(answer.elapsed.count()) + " ms");
    if (answer.status != HttpStatus::ok)
        return;
    const auto json = Json::parse(answer.body, nullptr, false);
    const auto isMatching = json.is_object() && json.value("key", "") == key && json.value("echo", "") == body;
    this->evaluate(AnswerMatchesRequest, isMatching, key + " got " + answer.body);
    auto& first = this->histories[key].answer;
    if (first.empty())
        first = answer.body;
    this->evaluate(SameAnswerPerKey, first == answer.body, key + " got " + answer.body + " after " + first);
}

auto KeyLedger::addRound(const std::string& key, const std::string& body, const Answers& answers, const Runs& runs) -> void
{
    for (const auto& answer : answers)
        this->addAnswer(key, body, answer);
    // With concurrent calls, "not run" holds only for a moment at which no other call had been forwarded
    // yet, so it is checked only when all of them report it.
    const auto areAllNotRun = std::all_of(answers.begin(), answers.end(), reportsNotRun);
    this->histories[key].lastReportedNotRun = areAllNotRun;
    if (areAllNotRun)
        this->evaluate(NotRunIsCorrect, runsOf(runs, key) == 0, key + " was run before \"not run\" was reported");
}

auto KeyLedger::addFinalAnswer(const std::string& key, const std::string& body, const Testkit::BookingAnswer& answer) -> void
{
    this->addAnswer(key, body, answer);
    this->histories[key].lastReportedNotRun = reportsNotRun(answer);
    const auto isDecided = answer.execution == "run" || answer.execution == "unknown";
    this->evaluate(DecidedAfterFaults, !answer.transportError && isDecided, key + " got " + std::to_string(answer.status) + " " + answer.body);
}

auto KeyLedger::close(const Runs& runs) -> void
{
    for (const auto& [key, history] : this->histories) {
        const auto count = runsOf(runs, key);
        this->evaluate(RunAtMostOnce, count <= 1, key + " was run " + std::to_string(count) + " times");
        if (history.lastReportedNotRun)
            this->evaluate(NotRunIsCorrect, count == 0, key + " was run after \"not run\" was reported");
        if (!history.answer.empty())
            this->evaluate(AnswerMatchesRequest, count >= 1, key + " was answered but never run");
    }
}

} // namespace Primrosefork::Measure
