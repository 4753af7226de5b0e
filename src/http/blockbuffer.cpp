#include "blockbuffer.h"

#include "units.h"

#include <algorithm>

namespace Primrosefork {

namespace {

constexpr std::size_t blockBytes = 64 * kibibyte;

} // namespace

auto BlockBuffer::add(std::string_view bytes) -> void
{
    this->total += bytes.size();
    while (!bytes.empty()) {
        if (this->list.empty() || this->list.back().size() >= blockBytes)
            this->list.emplace_back();
        const auto part = bytes.substr(0, blockBytes - this->list.back().size());
        this->growLast(part.size());
        this->list.back() += part;
        bytes.remove_prefix(part.size());
    }
}

auto BlockBuffer::growLast(std::size_t addedBytes) -> void
{
    auto& block = this->list.back();
    const auto needed = block.size() + addedBytes;
    if (needed <= block.capacity())
        return;
    // The first block grows with its bytes, as most bodies are small; a text that grows by itself would exceed the size of a block.
    const auto isFirst = this->list.size() == 1;
    std::string larger;
    larger.reserve(isFirst ? std::min(blockBytes, std::max(needed, 2 * block.capacity())) : blockBytes);
    larger += block;
    this->allocated += larger.capacity() - (block.empty() ? 0 : block.capacity());
    block = std::move(larger);
}

auto BlockBuffer::takeBlocks() -> std::vector<std::string>
{
    this->total = 0;
    this->allocated = 0;
    return std::exchange(this->list, {});
}

} // namespace Primrosefork
