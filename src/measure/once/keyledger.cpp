#include "keyledger.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Primrosefork::Measure {

namespace {

using Json = nlohmann::json;

enum CheckIndex : std::size_t {
    RunOnce,
    NotRunIsTrue,
    OwnAnswer,
    SameAnswer,
    InTime,
    AnswersToTheEnd,
};

auto runsOf(const KeyLedger::Runs& runs, const std::string& key) -> std::int64_t
{
    const auto found = runs.find(key);
    return found == runs.end() ? 0 : found->second;
}

auto saysNotRun(const Testkit::BookingAnswer& answer) -> bool
{
    return !answer.transportError && answer.execution == "not run";
}

} // namespace

KeyLedger::KeyLedger()
    : results { Check("each key was run at most once"), Check("what was \"not run\" was not run"), Check("each answer belongs to its request"),
        Check("all answers to a key are the same"), Check("each answer came in time"), Check("each key is answered or \"unknown\" after the faults") }
{
}

auto KeyLedger::look(std::size_t check, bool holds, const std::string& detail) -> void
{
    auto& result = this->results[check];
    ++result.looked;
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
    this->look(InTime, answer.isDone && answer.elapsed <= this->longestAnswer, key + " took " + std::to_string(answer.elapsed.count()) + " ms");
    if (answer.status != HttpStatus::ok)
        return;
    const auto json = Json::parse(answer.body, nullptr, false);
    const auto isOwn = json.is_object() && json.value("key", "") == key && json.value("echo", "") == body;
    this->look(OwnAnswer, isOwn, key + " got " + answer.body);
    auto& first = this->histories[key].answer;
    if (first.empty())
        first = answer.body;
    this->look(SameAnswer, first == answer.body, key + " got " + answer.body + " after " + first);
}

auto KeyLedger::addRound(const std::string& key, const std::string& body, const Answers& answers, const Runs& runs) -> void
{
    for (const auto& answer : answers)
        this->addAnswer(key, body, answer);
    // Next to another ask, "not run" speaks of a moment at which the other one had not sent yet.
    const auto isNotRun = std::all_of(answers.begin(), answers.end(), saysNotRun);
    this->histories[key].lastSaidNotRun = isNotRun;
    if (isNotRun)
        this->look(NotRunIsTrue, runsOf(runs, key) == 0, key + " was run before \"not run\" was said");
}

auto KeyLedger::addLastAsk(const std::string& key, const std::string& body, const Testkit::BookingAnswer& answer) -> void
{
    this->addAnswer(key, body, answer);
    this->histories[key].lastSaidNotRun = saysNotRun(answer);
    const auto isDecided = answer.execution == "run" || answer.execution == "unknown";
    this->look(AnswersToTheEnd, !answer.transportError && isDecided, key + " got " + std::to_string(answer.status) + " " + answer.body);
}

auto KeyLedger::close(const Runs& runs) -> void
{
    for (const auto& [key, history] : this->histories) {
        const auto count = runsOf(runs, key);
        this->look(RunOnce, count <= 1, key + " was run " + std::to_string(count) + " times");
        if (history.lastSaidNotRun)
            this->look(NotRunIsTrue, count == 0, key + " was run after \"not run\" was said");
        if (!history.answer.empty())
            this->look(OwnAnswer, count >= 1, key + " was answered and never run");
    }
}

} // namespace Primrosefork::Measure
