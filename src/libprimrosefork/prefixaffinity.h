#pragma once

#include "candidatelist.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/** Returns a hash for each whole block of \a prompt, of the text from its start to the end of the block. */
[[nodiscard]] auto prefixBlocks(std::string_view prompt) -> std::vector<std::uint64_t>;

/**
 * A server that may have a part of a prompt in its cache.
 */
struct PreferredServer {
    const BackendServer* server = nullptr;
    std::int64_t cachedTokens = 0; ///< Of the prompt, when all goes as planned.
};

/**
 * Maps prompts to the servers that are to keep their prefixes, the same on every
 * node and without a word between them.
 *
 * A prefix that prompts share before they part, such as a service's instructions,
 * gets as many servers of the hash ring as its share of the requests asks for; what
 * comes after it, such as one conversation, gets one of these. A conversation that
 * only grows does not part, so that it stays where it is.
 */
class PrefixAffinity {
public:
    /**
     * Returns the servers for the prompt with \a blocks, the best first, and
     * counts the prompt. At most \a limit are returned, and none of the places
     * for long work unless \a places says so.
     */
    auto preferred(std::span<const std::uint64_t> blocks, std::int64_t promptTokens, const CandidateList&, RingPlaces places, std::size_t limit)
        -> std::vector<PreferredServer>;

private:
    auto count(std::span<const std::uint64_t> blocks) -> void;
    [[nodiscard]] auto sharedDepth(std::span<const std::uint64_t> blocks) const -> std::size_t;
    [[nodiscard]] auto anchorOf(std::span<const std::uint64_t> blocks, std::size_t depth) const -> std::uint64_t;
    [[nodiscard]] auto shareOf(std::uint64_t block) const -> double;

    /** What is known of a block of prompts. */
    struct Block {
        std::uint32_t prompts = 0;
        std::uint64_t firstNext = 0; ///< The block that followed first; 0 is none.
        bool branches = false; ///< Whether others followed too.
    };

    std::unordered_map<std::uint64_t, Block> known;
    std::uint32_t total = 0; ///< Prompts counted.
};

} // namespace Primrosefork
