#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Primrosefork {

/**
 * An engine's cache of prompt prefixes in blocks, the least recently used
 * dropped first.
 */
class PrefixCache {
public:
    explicit PrefixCache(std::size_t capacityBlocks);

    /** Returns how many tokens at the start of \a prompt are cached, and makes the whole prompt cached. */
    auto take(std::string_view prompt) -> std::int64_t;

    auto clear() -> void;

private:
    using Order = std::list<std::uint64_t>;

    std::size_t capacityBlocks;
    Order order; ///< Hashes of cached prefixes, the latest used in front.
    std::unordered_map<std::uint64_t, Order::iterator> blocks;
};

} // namespace Primrosefork
