#include "mixedrun.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

using Json = nlohmann::json;

constexpr std::size_t nodeCount = 4;
constexpr std::size_t roundsPerBatch = 8;
constexpr std::size_t maxConcurrentCalls = 3;
constexpr std::size_t repeatedRoundsOfTen = 5; ///< Average number of rounds in ten that try to reuse an earlier key.
constexpr std::chrono::milliseconds callDeadline = 1'500ms;
constexpr std::chrono::milliseconds longestPause = 2s; ///< Longest pause of a node. The deadline of a call that waits there starts when the node resumes.
constexpr std::chrono::milliseconds answerGrace = 500ms; ///< Margin for the last call to the store and the transmission of the answer.
constexpr std::chrono::milliseconds recoveryTimeout = 10s;
constexpr std::chrono::milliseconds answerBound = callDeadline + longestPause + answerGrace;

auto clusterOptions() -> Testkit::ClusterOptions
{
    Testkit::ClusterOptions options;
    options.nodes = nodeCount;
    options.engines = 1;
    options.plainServices = 3;
    options.plainService = { { "working_ms", 20 } };
    options.settings = { { "timeouts", { { "store", "400ms" }, { "instance_poll", "200ms" } } }, { "claims", { { "wait", "600ms" } } } };
    return options;
}

} // namespace

MixedRun::MixedRun(std::uint32_t seed, std::size_t requests)
    : requests(requests)
    , cluster(clusterOptions())
    , bookings(this->cluster)
    , injector(this->cluster, nodeCount, seed)
{
    this->bookings.setDeadline(callDeadline);
    this->keyLedger.setLongestAnswer(answerBound);
}

auto MixedRun::run() -> bool
{
    if (!this->cluster.start())
        return false;
    if (!this->runStoreOutage())
        return false;
    while (this->callCount < this->requests) {
        if (!this->runBatch())
            return false;
    }
    this->repeatAllKeys();
    this->keyLedger.close(this->bookings.runs());
    return true;
}

auto MixedRun::runStoreOutage() -> bool
{
    this->injector.inject(Fault::StoreDown);
    std::vector<Round> rounds;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        rounds.push_back(this->beginCalls(this->addKey(), 1));
        this->bookings.waitFor(*rounds.back().answers.front());
    }
    this->finishRounds(rounds);
    return this->waitForRecovery();
}

auto MixedRun::runBatch() -> bool
{
    const auto rounds = this->beginRounds(this->injector.chooseFaults());
    const auto pauseEnd = EventLoop::now() + longestPause;
    const auto isDone = [&rounds] {
        return std::all_of(rounds.begin(), rounds.end(), [](const Round& round) {
            return std::all_of(round.answers.begin(), round.answers.end(), [](const auto& answer) { return answer->isDone; });
        });
    };
    this->cluster.client().waitUntil([&isDone, pauseEnd] { return isDone() || EventLoop::now() >= pauseEnd; }, 2 * longestPause);
    this->injector.resumeNodes();
    this->cluster.client().waitUntil(isDone, 2 * answerBound);
    this->finishRounds(rounds);
    return this->waitForRecovery();
}

auto MixedRun::waitForRecovery() -> bool
{
    if (!this->injector.clearFaults())
        return false;
    this->bookings.setRepeated(false);
    for (std::size_t node = 0; node < nodeCount; ++node) {
        const auto isAnswered = [this, node] { return this->bookings.confirm(node, "probe-" + std::to_string(this->probes++), "{}").status == HttpStatus::ok; };
        if (!this->cluster.client().waitUntil(isAnswered, recoveryTimeout))
            return false;
    }
    return true;
}

auto MixedRun::beginRounds(const std::vector<Fault>& faults) -> std::vector<Round>
{
    std::vector<std::size_t> faultRounds;
    faultRounds.reserve(faults.size());
    for (std::size_t index = 0; index < faults.size(); ++index)
        faultRounds.push_back(this->injector.random(roundsPerBatch));

    this->batchKeys.clear();
    std::vector<Round> rounds;
    for (std::size_t roundIndex = 0; roundIndex < roundsPerBatch; ++roundIndex) {
        for (std::size_t index = 0; index < faults.size(); ++index) {
            if (faultRounds[index] == roundIndex)
                this->injector.inject(faults[index]);
        }
        rounds.push_back(this->beginRound());
    }
    return rounds;
}

auto MixedRun::chooseKey() -> std::size_t
{
    if (!this->keys.empty() && this->injector.random(10) < repeatedRoundsOfTen) {
        const auto key = this->injector.random(this->keys.size());
        if (std::find(this->batchKeys.begin(), this->batchKeys.end(), key) == this->batchKeys.end())
            return key;
    }
    return this->addKey();
}

auto MixedRun::addKey() -> std::size_t
{
    const auto key = this->keys.size();
    this->keys.push_back({ "key-" + std::to_string(key), Json { { "chair", key } }.dump() });
    return key;
}

auto MixedRun::beginRound() -> Round
{
    const auto key = this->chooseKey();
    this->batchKeys.push_back(key);
    return this->beginCalls(key, 1 + this->injector.random(maxConcurrentCalls));
}

auto MixedRun::beginCalls(std::size_t keyIndex, std::size_t count) -> Round
{
    Round round;
    round.key = keyIndex;
    auto& key = this->keys[keyIndex];
    this->bookings.setRepeated(key.wasUsed || count > 1);
    key.wasUsed = true;
    for (std::size_t index = 0; index < count; ++index)
        round.answers.push_back(this->bookings.begin(this->injector.random(nodeCount), key.name, key.body));
    this->callCount += count;
    return round;
}

auto MixedRun::finishRounds(const std::vector<Round>& rounds) -> void
{
    const auto runs = this->bookings.runs();
    for (const auto& round : rounds) {
        KeyLedger::Answers answers;
        for (const auto& answer : round.answers)
            answers.push_back(*answer);
        this->keyLedger.addRound(this->keys[round.key].name, this->keys[round.key].body, answers, runs);
    }
}

auto MixedRun::repeatAllKeys() -> void
{
    this->bookings.setRepeated(true);
    for (const auto& key : this->keys)
        this->keyLedger.addFinalAnswer(key.name, key.body, this->bookings.confirm(this->injector.random(nodeCount), key.name, key.body));
}

} // namespace Primrosefork::Measure
