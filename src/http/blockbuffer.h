#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Primrosefork {

/**
 * Bytes in blocks of limited size, which take little more memory than the bytes
 * themselves while they grow.
 */
class BlockBuffer {
public:
    auto add(std::string_view bytes) -> void;

    [[nodiscard]] auto size() const -> std::size_t { return this->total; }
    [[nodiscard]] auto isEmpty() const -> bool { return this->total == 0; }

    /** Returns the number of bytes that are allocated, whether they are used or not. */
    [[nodiscard]] auto capacity() const -> std::size_t { return this->allocated; }
    [[nodiscard]] auto blocks() const -> const std::vector<std::string>& { return this->list; }

    /** Returns the blocks and leaves the buffer empty. */
    auto takeBlocks() -> std::vector<std::string>;

private:
    auto growLast(std::size_t addedBytes) -> void;

    std::vector<std::string> list;
    std::size_t total = 0;
    std::size_t allocated = 0;
};

} // namespace Primrosefork
