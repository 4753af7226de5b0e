#include "prefixcache.h"

#include "hash.h"

namespace Primrosefork {

namespace {

constexpr std::size_t blockBytes = 256;
constexpr std::int64_t blockTokens = 64;

} // namespace

PrefixCache::PrefixCache(std::size_t capacityBlocks)
    : capacityBlocks(capacityBlocks)
{
}

auto PrefixCache::take(std::string_view prompt) -> std::int64_t
{
    std::int64_t cached = 0;
    bool isPrefixCached = true;
    for (std::size_t end = blockBytes; end <= prompt.size(); end += blockBytes) {
        const auto hash = hash64(prompt.substr(0, end));
        const auto found = this->blocks.find(hash);
        if (found != this->blocks.end()) {
            cached += isPrefixCached ? blockTokens : 0;
            this->order.splice(this->order.begin(), this->order, found->second);
            continue;
        }
        isPrefixCached = false;
        this->order.push_front(hash);
        this->blocks[hash] = this->order.begin();
    }
    while (this->order.size() > this->capacityBlocks) {
        this->blocks.erase(this->order.back());
        this->order.pop_back();
    }
    return cached;
}

auto PrefixCache::clear() -> void
{
    this->order.clear();
    this->blocks.clear();
}

} // namespace Primrosefork
