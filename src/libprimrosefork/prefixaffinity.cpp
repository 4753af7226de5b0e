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
constexpr std::uint32_t countedPrompts = 2048; ///< After so many all counts are halved.
constexpr std::uint32_t unknownPrompts = 8; ///< Added to the total, so that the first prompts do not spread at once.
constexpr std::uint32_t countedForAnchor = 16; ///< Prompts after which shares tell something.
constexpr double largestShare = 0.5; ///< A block of more of the prompts is a common opening and says little.
constexpr std::size_t spillServers = 2; ///< Further servers on the ring, for when those are loaded.

auto mix(std::uint64_t key, std::string_view id) -> std::uint64_t
{
    return hash64(std::to_string(key) + std::string(id));
}

/** Returns one of few numbers that lie far apart, so that nodes with slightly different counts agree. */
auto serverCount(double proportional) -> std::size_t
{
    constexpr double severalFrom = 0.75;
    constexpr double manyFrom = 6;
    constexpr std::size_t several = 4;
    constexpr std::size_t many = 16;
    if (proportional < severalFrom)
        return 1;
    return proportional < manyFrom ? several : many;
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
    RingPlaces places, std::size_t limit)
    -> std::vector<PreferredServer>
{
    if (blocks.empty())
        return {};
    this->count(blocks);
    const auto depth = this->sharedDepth(blocks);
    const auto sharedBlock = this->anchorOf(blocks, depth);
    const auto ownBlock = blocks[std::min(depth, blocks.size() - 1)];
    const auto wanted = serverCount(this->shareOf(sharedBlock) * static_cast<double>(candidates.count(places)));
    const auto servers = candidates.onRing(sharedBlock, places, std::min(wanted + spillServers, limit));
    const auto keepers = std::span(servers).first(std::min(wanted, servers.size()));

    const auto best = std::max_element(keepers.begin(), keepers.end(),
        [ownBlock](const auto* first, const auto* second) { return mix(ownBlock, first->id) < mix(ownBlock, second->id); });
    const auto sharedTokens = std::min(promptTokens, static_cast<std::int64_t>(depth) * blockTokens);
    std::vector<PreferredServer> result;
    if (best != keepers.end())
        result.push_back({ *best, promptTokens });
    for (const auto* server : servers) {
        if (server != *best)
            result.push_back({ server, sharedTokens });
    }
    return result;
}

auto PrefixAffinity::count(std::span<const std::uint64_t> blocks) -> void
{
    for (std::size_t depth = 0; depth < blocks.size(); ++depth) {
        auto& block = this->known[blocks[depth]];
        ++block.prompts;
        if (depth + 1 == blocks.size())
            continue;
        if (block.firstNext == 0)
            block.firstNext = blocks[depth + 1];
        block.branches = block.branches || block.firstNext != blocks[depth + 1];
    }
    if (++this->total < countedPrompts)
        return;
    this->total /= 2;
    for (auto& [hash, block] : this->known)
        block.prompts /= 2;
    std::erase_if(this->known, [](const auto& entry) { return entry.second.prompts == 0; });
}

auto PrefixAffinity::sharedDepth(std::span<const std::uint64_t> blocks) const -> std::size_t
{
    auto depth = blocks.size();
    while (depth > 0 && !this->known.at(blocks[depth - 1]).branches)
        --depth;
    return depth;
}

auto PrefixAffinity::anchorOf(std::span<const std::uint64_t> blocks, std::size_t depth) const -> std::uint64_t
{
    if (depth == 0 || this->total < countedForAnchor)
        return blocks.front();
    for (const auto block : blocks.first(depth)) {
        if (this->shareOf(block) < largestShare)
            return block;
    }
    return blocks[depth - 1];
}

auto PrefixAffinity::shareOf(std::uint64_t block) const -> double
{
    return static_cast<double>(this->known.at(block).prompts) / static_cast<double>(this->total + unknownPrompts);
}

} // namespace Primrosefork
