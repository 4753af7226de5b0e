#include "prefixcache.h"

#include "hash.h"

namespace Primrosefork {

namespace {

constexpr std::size_t blockBytes = 256;
constexpr std::int64_t blockTokens = 64; ///< Tokens in a block at four bytes per token, as in the stand-in engines.

} // namespace

PrefixCache::PrefixCache(std::size_t capacityBlocks)
    : capacityBlocks(capacityBlocks)
{
}

auto PrefixCache::lookUpAndInsert(std::string_view prompt) -> std::int64_t
{
    std::int64_t cached = 0;
    bool isPrefixCached = true;
    for (std::size_t end = blockBytes; end <= prompt.size(); end += blockBytes) {
        const auto hash = hash64(prompt.substr(0, end));
        const auto found = this->blocks.find(hash);
        if (found != this->blocks.end()) {
            cached += isPrefixCached ? blockTokens : 0;
            this->recency.splice(this->recency.begin(), this->recency, found->second);
            continue;
        }
        isPrefixCached = false;
        this->recency.push_front(hash);
        this->blocks[hash] = this->recency.begin();
    }
    while (this->recency.size() > this->capacityBlocks) {
        this->blocks.erase(this->recency.back());
        this->recency.pop_back();
    }
    return cached;
}

auto PrefixCache::clear() -> void
{
    this->recency.clear();
    this->blocks.clear();
}

} // namespace Primrosefork
