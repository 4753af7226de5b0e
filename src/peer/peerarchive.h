#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * Reads or writes \a text with its length as a \a Size, of at most \a limit
 * bytes. Throws std::length_error when a longer one is read.
 */
template <typename Size, typename Archive>
auto serializeText(Archive& archive, std::string& text, std::size_t limit) -> void
{
    auto size = static_cast<Size>(std::min(text.size(), limit));
    archive(size);
    if (size > limit)
        throw std::length_error("text");
    text.resize(size);
    archive(cereal::binary_data(text.data(), size));
}

/**
 * Reads or writes \a items with their number as a \a Size, of at most \a limit
 * items. Throws std::length_error when more are read.
 */
template <typename Size, typename Archive, typename Item, typename Serialize>
auto serializeList(Archive& archive, std::vector<Item>& items, std::size_t limit, Serialize serialize) -> void
{
    auto size = static_cast<Size>(std::min(items.size(), limit));
    archive(size);
    if (size > limit)
        throw std::length_error("list");
    items.resize(size);
    for (auto& item : items)
        serialize(archive, item);
}

/** Reads or writes a time. */
template <typename Archive>
auto serializeMilliseconds(Archive& archive, std::chrono::milliseconds& time) -> void
{
    auto count = static_cast<std::int64_t>(time.count());
    archive(count);
    time = std::chrono::milliseconds(count);
}

} // namespace Primrosefork
