#pragma once

#include "candidatelist.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/** Returns a hash for each complete block of \a prompt; it covers the text from the start of the prompt to the end of the block. */
[[nodiscard]] auto prefixBlocks(std::string_view prompt) -> std::vector<std::uint64_t>;

/**
 * A server that may have a part of a prompt in its prefix cache.
 */
struct PreferredServer {
    const BackendServer* server = nullptr;
    std::int64_t cachedTokens = 0; ///< Prompt tokens that the server is expected to have cached.
};

/**
 * Maps prompts to the servers that are to cache their prefixes. All nodes map a
 * prompt to the same servers without communicating.
 *
 * A prefix that prompts share before they diverge, such as the instructions of a
 * service, gets a number of servers on the hash ring that depends on its share of
 * the requests. The text after it, such as one conversation, is mapped to one of
 * these servers. The prompts of a conversation that only grows do not diverge, so
 * the conversation keeps its server.
 */
class PrefixAffinity {
public:
    /**
     * Returns the servers for the prompt with \a blocks, the best first, and
     * counts the prompt. At most \a limit servers are returned, and only those
     * that match \a filter.
     */
    auto preferred(std::span<const std::uint64_t> blocks, std::int64_t promptTokens, const CandidateList&, RingFilter filter, std::size_t limit)
        -> std::vector<PreferredServer>;

private:
    auto countPrompt(std::span<const std::uint64_t> blocks) -> void;
    auto decayCounts() -> void;
    [[nodiscard]] auto sharedDepth(std::span<const std::uint64_t> blocks) const -> std::size_t;
    [[nodiscard]] auto ringBlock(std::span<const std::uint64_t> blocks, std::size_t depth) const -> std::uint64_t;
    [[nodiscard]] auto shareOf(std::uint64_t block) const -> double;

    /** Statistics of the prompts that contain a block. */
    struct BlockStatistics {
        std::uint32_t prompts = 0; ///< Number of counted prompts that contain the block.
        std::uint64_t firstSuccessor = 0; ///< Hash of the first block that was seen after this one; 0 means none.
        bool hasBranches = false; ///< Whether different blocks were seen after this one.
    };

    std::unordered_map<std::uint64_t, BlockStatistics> statistics; ///< Statistics by the hash of the block.
    std::uint32_t promptCount = 0; ///< Number of counted prompts.
};

} // namespace Primrosefork
