#include "mixedrun.h"

#include <algorithm>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

using Json = nlohmann::json;

constexpr std::size_t nodeCount = 4;
constexpr std::size_t roundsPerBatch = 8;
constexpr std::size_t mostAsksAtOnce = 3;
constexpr std::size_t repeatsOfTen = 5; ///< So many of ten rounds ask for a key again.
constexpr std::chrono::milliseconds askDeadline = 1'500ms;
constexpr std::chrono::milliseconds longestPause = 2s; ///< Of a node; the deadline of a call that waits there begins when it wakes.
constexpr std::chrono::milliseconds answerGrace = 500ms; ///< For the store's last call and the way back.
constexpr std::chrono::milliseconds recoveryLimit = 10s;
constexpr std::chrono::milliseconds answerBound = askDeadline + longestPause + answerGrace;

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
    , script(this->cluster, nodeCount, seed)
{
    this->bookings.setDeadline(askDeadline);
    this->keyLedger.setLongestAnswer(answerBound);
}

auto MixedRun::run() -> bool
{
    if (!this->cluster.start())
        return false;
    if (!this->runOutage())
        return false;
    while (this->made < this->requests) {
        if (!this->runBatch())
            return false;
    }
    this->askAll();
    this->keyLedger.close(this->bookings.runs());
    return true;
}

auto MixedRun::runOutage() -> bool
{
    this->script.begin(Fault::StoreDown);
    std::vector<Round> rounds;
    for (std::size_t node = 0; node < nodeCount; ++node) {
        rounds.push_back(this->beginAsks(this->addKey(), 1));
        this->bookings.waitFor(*rounds.back().answers.front());
    }
    this->finishRounds(rounds);
    return this->recover();
}

auto MixedRun::runBatch() -> bool
{
    const auto rounds = this->beginRounds(this->script.choose());
    const auto pauseEnd = EventLoop::now() + longestPause;
    const auto isDone = [&rounds] {
        return std::all_of(rounds.begin(), rounds.end(), [](const Round& round) {
            return std::all_of(round.answers.begin(), round.answers.end(), [](const auto& answer) { return answer->isDone; });
        });
    };
    this->cluster.client().waitUntil([&isDone, pauseEnd] { return isDone() || EventLoop::now() >= pauseEnd; }, 2 * longestPause);
    this->script.wake();
    this->cluster.client().waitUntil(isDone, 2 * answerBound);
    this->finishRounds(rounds);
    return this->recover();
}

auto MixedRun::recover() -> bool
{
    if (!this->script.heal())
        return false;
    this->bookings.setRepeated(false);
    for (std::size_t node = 0; node < nodeCount; ++node) {
        const auto isAnswered = [this, node] { return this->bookings.confirm(node, "probe-" + std::to_string(this->probes++), "{}").status == HttpStatus::ok; };
        if (!this->cluster.client().waitUntil(isAnswered, recoveryLimit))
            return false;
    }
    return true;
}

auto MixedRun::beginRounds(const std::vector<Fault>& faults) -> std::vector<Round>
{
    std::vector<std::size_t> faultPlaces;
    faultPlaces.reserve(faults.size());
    for (std::size_t index = 0; index < faults.size(); ++index)
        faultPlaces.push_back(this->script.random(roundsPerBatch));

    this->keysOfBatch.clear();
    std::vector<Round> rounds;
    for (std::size_t place = 0; place < roundsPerBatch; ++place) {
        for (std::size_t index = 0; index < faults.size(); ++index) {
            if (faultPlaces[index] == place)
                this->script.begin(faults[index]);
        }
        rounds.push_back(this->beginRound());
    }
    return rounds;
}

auto MixedRun::chooseKey() -> std::size_t
{
    if (!this->keys.empty() && this->script.random(10) < repeatsOfTen) {
        const auto key = this->script.random(this->keys.size());
        if (std::find(this->keysOfBatch.begin(), this->keysOfBatch.end(), key) == this->keysOfBatch.end())
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
    this->keysOfBatch.push_back(key);
    return this->beginAsks(key, 1 + this->script.random(mostAsksAtOnce));
}

auto MixedRun::beginAsks(std::size_t keyIndex, std::size_t asks) -> Round
{
    Round round;
    round.key = keyIndex;
    auto& key = this->keys[keyIndex];
    this->bookings.setRepeated(key.wasAsked || asks > 1);
    key.wasAsked = true;
    for (std::size_t ask = 0; ask < asks; ++ask)
        round.answers.push_back(this->bookings.begin(this->script.random(nodeCount), key.name, key.body));
    this->made += asks;
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

auto MixedRun::askAll() -> void
{
    this->bookings.setRepeated(true);
    for (const auto& key : this->keys)
        this->keyLedger.addLastAsk(key.name, key.body, this->bookings.confirm(this->script.random(nodeCount), key.name, key.body));
}

} // namespace Primrosefork::Measure
