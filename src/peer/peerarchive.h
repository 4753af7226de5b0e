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
 * Reads or writes \a text after its length, which is stored as a \a Size. Writes
 * at most \a limit bytes; throws std::length_error if a longer text is read.
 */
template <typename Size, typename Archive>
auto serializeText(Archive& archive, std::string& text, std::size_t limit) -> void
{
    auto size = static_cast<Size>(std::min(text.size(), limit));
    archive(size);
    if (size > limit)
        throw std::length_error("text is longer than its limit");
    text.resize(size);
    archive(cereal::binary_data(text.data(), size));
}

/**
 * Reads or writes \a items after their number, which is stored as a \a Size.
 * Writes at most \a limit items; throws std::length_error if more are read.
 */
template <typename Size, typename Archive, typename Item, typename Serialize>
auto serializeList(Archive& archive, std::vector<Item>& items, std::size_t limit, Serialize serialize) -> void
{
    auto size = static_cast<Size>(std::min(items.size(), limit));
    archive(size);
    if (size > limit)
        throw std::length_error("list has more items than its limit");
    items.resize(size);
    for (auto& item : items)
        serialize(archive, item);
}

/** Reads or writes \a time as a 64-bit number of milliseconds. */
template <typename Archive>
auto serializeMilliseconds(Archive& archive, std::chrono::milliseconds& time) -> void
{
    auto count = static_cast<std::int64_t>(time.count());
    archive(count);
    time = std::chrono::milliseconds(count);
}

} // namespace Primrosefork
