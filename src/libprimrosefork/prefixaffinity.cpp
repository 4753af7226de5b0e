#include "prefixaffinity.h"

#include "hash.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace Primrosefork {

namespace {

constexpr std::size_t blockBytes = 256;
constexpr std::int64_t blockTokens = 64;
constexpr std::size_t maxBlocks = 48;
constexpr std::uint32_t decayThreshold = 2048; ///< All counts are halved when this many prompts have been counted.
constexpr std::uint32_t assumedPrompts = 8; ///< Added to the number of prompts, so that the first prompts are not spread over several servers.
constexpr std::uint32_t minPromptsForShare = 16; ///< Number of counted prompts from which the shares are meaningful.
constexpr double maxKeyShare = 0.5; ///< A block with a larger share of the prompts is a common opening that tells few prompts apart.
constexpr std::size_t spillServers = 2; ///< Further servers on the ring, for when the assigned ones are loaded.

auto rendezvousHash(std::uint64_t key, std::string_view id) -> std::uint64_t
{
    return hash64(std::to_string(key) + std::string(id));
}

/** Rounds \a proportional to one of a few numbers that lie far apart, so that nodes with slightly different counts agree. */
auto serverCount(double proportional) -> std::size_t
{
    constexpr double severalThreshold = 0.75;
    constexpr double manyThreshold = 6;
    constexpr std::size_t several = 4;
    constexpr std::size_t many = 16;
    if (proportional < severalThreshold)
        return 1;
    return proportional < manyThreshold ? several : many;
}

} // namespace

auto prefixBlocks(std::string_view prompt) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> blocks;
    std::string chained;
    for (std::size_t end = blockBytes; end <= prompt.size() && blocks.size() < maxBlocks; end += blockBytes) {
        chained.assign(prompt.substr(end - blockBytes, blockBytes));
        if (!blocks.empty())
            chained += std::to_string(blocks.back());
        blocks.push_back(hash64(chained));
    }
    return blocks;
}

auto PrefixAffinity::preferred(std::span<const std::uint64_t> blocks, std::int64_t promptTokens, const CandidateList& candidates,
    RingFilter filter, std::size_t limit)
    -> std::vector<PreferredServer>
{
    if (blocks.empty())
        return {};
    this->countPrompt(blocks);
    const auto depth = this->sharedDepth(blocks);
    const auto sharedBlock = this->ringBlock(blocks, depth);
    const auto ownBlock = blocks[std::min(depth, blocks.size() - 1)];
    const auto wanted = serverCount(this->shareOf(sharedBlock) * static_cast<double>(candidates.count(filter)));
    const auto servers = candidates.ringSuccessors(sharedBlock, filter, std::min(wanted + spillServers, limit));
    const auto assigned = std::span(servers).first(std::min(wanted, servers.size()));

    const auto best = std::max_element(assigned.begin(), assigned.end(),
        [ownBlock](const auto* first, const auto* second) { return rendezvousHash(ownBlock, first->id) < rendezvousHash(ownBlock, second->id); });
    const auto sharedTokens = std::min(promptTokens, static_cast<std::int64_t>(depth) * blockTokens);
    std::vector<PreferredServer> result;
    if (best != assigned.end())
        result.push_back({ *best, promptTokens });
    for (const auto* server : servers) {
        if (server != *best)
            result.push_back({ server, sharedTokens });
    }
    return result;
}

auto PrefixAffinity::countPrompt(std::span<const std::uint64_t> blocks) -> void
{
    // The counts decay before the prompt is counted, so that its own blocks stay.
    if (this->promptCount + 1 >= decayThreshold)
        this->decayCounts();
    ++this->promptCount;
    for (std::size_t depth = 0; depth < blocks.size(); ++depth) {
        auto& block = this->statistics[blocks[depth]];
        ++block.prompts;
        if (depth + 1 == blocks.size())
            continue;
        if (block.firstSuccessor == 0)
            block.firstSuccessor = blocks[depth + 1];
        block.hasBranches = block.hasBranches || block.firstSuccessor != blocks[depth + 1];
    }
}

auto PrefixAffinity::decayCounts() -> void
{
    this->promptCount /= 2;
    for (auto& [hash, block] : this->statistics)
        block.prompts /= 2;
    std::erase_if(this->statistics, [](const auto& entry) { return entry.second.prompts == 0; });
}

auto PrefixAffinity::sharedDepth(std::span<const std::uint64_t> blocks) const -> std::size_t
{
    auto depth = blocks.size();
    while (depth > 0 && !this->statistics.at(blocks[depth - 1]).hasBranches)
        --depth;
    return depth;
}

auto PrefixAffinity::ringBlock(std::span<const std::uint64_t> blocks, std::size_t depth) const -> std::uint64_t
{
    if (depth == 0 || this->promptCount < minPromptsForShare)
        return blocks.front();
    for (const auto block : blocks.first(depth)) {
        if (this->shareOf(block) < maxKeyShare)
            return block;
    }
    return blocks[depth - 1];
}

auto PrefixAffinity::shareOf(std::uint64_t block) const -> double
{
    return static_cast<double>(this->statistics.at(block).prompts) / static_cast<double>(this->promptCount + assumedPrompts);
}

} // namespace Primrosefork
