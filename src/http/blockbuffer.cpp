#include "blockbuffer.h"

#include "units.h"

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
        auto& block = this->list.back();
        const auto part = bytes.substr(0, blockBytes - block.size());
        block += part;
        bytes.remove_prefix(part.size());
    }
}

} // namespace Primrosefork
