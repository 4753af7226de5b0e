#include "trace.h"

#include "prefixcache.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <random>

using namespace std::chrono_literals;

namespace Primrosefork::Measure {

namespace {

using Json = nlohmann::json;

constexpr std::size_t bytesPerToken = 4;
constexpr std::size_t instructionTokens = 512;
constexpr std::size_t turnTokens = 100; ///< Tokens that one turn adds to the prompt of the next one.
constexpr std::size_t draftTokens = 900; ///< Tokens that follow the instructions in the prompt of a long request.
constexpr std::int64_t minTurnTokens = 20;
constexpr std::int64_t maxTurnTokens = 60;
constexpr std::int64_t minDraftTokens = 200;
constexpr std::int64_t maxDraftTokens = 300;
constexpr auto burstLength = 2s;
constexpr auto turnPause = 1500ms; ///< Minimum time between two turns of a conversation.
constexpr auto maxExtraTurnPause = 1000ms;

/** Returns a random text of \a tokens words of one token each. */
auto randomWords(std::mt19937_64& random, std::size_t tokens) -> std::string
{
    std::string text;
    text.reserve(tokens * bytesPerToken);
    for (std::size_t token = 0; token < tokens; ++token) {
        for (std::size_t letter = 1; letter < bytesPerToken; ++letter)
            text += static_cast<char>('a' + random() % 26);
        text += ' ';
    }
    return text;
}

auto randomBetween(std::mt19937_64& random, std::int64_t least, std::int64_t most) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(random);
}

/** Adds the turns of conversations whose starts follow a Poisson process. */
auto addConversations(Trace& trace, const Deployment& deployment, const std::vector<std::string>& instructions,
    std::mt19937_64& random, std::chrono::milliseconds length) -> void
{
    const auto conversationsPerSecond = deployment.turnsPerSecond / deployment.turnsPerConversation;
    std::exponential_distribution<double> pause(conversationsPerSecond);
    // Start conversations before the trace begins, so that the rate of turns is steady from the start.
    const auto leadTime = turnPause * deployment.turnsPerConversation;
    for (auto begin = std::chrono::duration<double>(-leadTime); begin < length; begin += std::chrono::duration<double>(pause(random))) {
        auto prompt = instructions[random() % instructions.size()];
        auto at = std::chrono::duration_cast<std::chrono::milliseconds>(begin);
        for (int turn = 0; turn < deployment.turnsPerConversation; ++turn) {
            prompt += randomWords(random, turnTokens);
            const auto maxTokens = randomBetween(random, minTurnTokens, maxTurnTokens);
            if (at >= 0ms && at < length)
                trace.push_back({ at, "chat", prompt, maxTokens, false });
            at += turnPause + std::chrono::milliseconds(randomBetween(random, 0, maxExtraTurnPause / 1ms));
        }
    }
}

auto addDraft(Trace& trace, const std::string& instructions, std::mt19937_64& random, std::chrono::milliseconds at) -> void
{
    trace.push_back({ at, "draft", instructions + randomWords(random, draftTokens), randomBetween(random, minDraftTokens, maxDraftTokens), true });
}

auto addLongWork(Trace& trace, const Deployment& deployment, const std::vector<std::string>& instructions,
    std::mt19937_64& random, std::chrono::milliseconds warmup, std::chrono::milliseconds length) -> void
{
    for (std::size_t draft = 0; draft < deployment.longBurst; ++draft)
        addDraft(trace, instructions[random() % instructions.size()], random,
            warmup + std::chrono::milliseconds(randomBetween(random, 0, burstLength / 1ms)));
    std::exponential_distribution<double> pause(deployment.longPerSecond);
    for (auto at = warmup + std::chrono::duration<double>(pause(random)); at < length; at += std::chrono::duration<double>(pause(random)))
        addDraft(trace, instructions[random() % instructions.size()], random, std::chrono::duration_cast<std::chrono::milliseconds>(at));
}

} // namespace

auto makeTrace(const Deployment& deployment, std::uint64_t seed, std::chrono::milliseconds warmup, std::chrono::milliseconds length) -> Trace
{
    std::mt19937_64 random(seed);
    std::vector<std::string> instructions;
    for (std::size_t prompt = 0; prompt < deployment.prompts; ++prompt)
        instructions.push_back(randomWords(random, instructionTokens));
    Trace trace;
    addConversations(trace, deployment, instructions, random, length);
    addLongWork(trace, deployment, instructions, random, warmup, length);
    std::stable_sort(trace.begin(), trace.end(), [](const auto& first, const auto& second) { return first.at < second.at; });
    return trace;
}

auto withoutLongWork(const Trace& trace) -> Trace
{
    Trace result;
    std::copy_if(trace.begin(), trace.end(), std::back_inserter(result), [](const auto& request) { return !request.isLong; });
    return result;
}

auto minimumPromptTokens(const Trace& trace, std::chrono::milliseconds warmup) -> std::int64_t
{
    constexpr std::size_t endless = 1'000'000;
    PrefixCache cache(endless);
    std::int64_t computed = 0;
    for (const auto& request : trace) {
        const auto tokens = static_cast<std::int64_t>((request.prompt.size() + bytesPerToken - 1) / bytesPerToken);
        const auto cached = cache.lookUpAndInsert(request.prompt);
        if (request.at >= warmup)
            computed += std::max<std::int64_t>(1, tokens - cached);
    }
    return computed;
}

auto writeTrace(const Trace& trace, const std::string& path) -> bool
{
    std::ofstream file(path);
    for (const auto& request : trace) {
        const Json line { { "at_ms", request.at.count() }, { "route", request.route }, { "prompt", request.prompt },
            { "max_tokens", request.maxTokens }, { "long", request.isLong } };
        file << line.dump() << "\n";
    }
    return file.good();
}

auto readTrace(const std::string& path) -> Trace
{
    std::ifstream file(path);
    Trace trace;
    for (std::string line; std::getline(file, line);) {
        const auto json = Json::parse(line, nullptr, false);
        if (!json.is_object())
            return {};
        trace.push_back({ std::chrono::milliseconds(json.value("at_ms", 0)), json.value("route", ""), json.value("prompt", ""),
            json.value("max_tokens", std::int64_t { 1 }), json.value("long", false) });
    }
    return trace;
}

} // namespace Primrosefork::Measure
