#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/**
 * An engine's cache of prompt prefixes in blocks, which evicts the least recently
 * used block first.
 */
class PrefixCache {
public:
    explicit PrefixCache(std::size_t capacityBlocks);

    /**
     * Returns the number of tokens at the start of \a prompt that are cached, and adds
     * the whole blocks of the prompt to the cache.
     */
    auto lookUpAndInsert(std::string_view prompt) -> std::int64_t;

    auto clear() -> void;

private:
    using RecencyList = std::list<std::uint64_t>;

    std::size_t capacityBlocks;
    RecencyList recency; ///< Hashes of the cached prefixes, most recently used first.
    std::unordered_map<std::uint64_t, RecencyList::iterator> blocks; ///< Position in the recency list by hash.
};

} // namespace Primrosefork
