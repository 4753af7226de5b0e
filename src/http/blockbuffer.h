#pragma once

#include <cstddef>
#include <string>
#include <string_view>
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
    [[nodiscard]] auto blocks() const -> const std::vector<std::string>& { return this->list; }

private:
    std::vector<std::string> list;
    std::size_t total = 0;
};

} // namespace Primrosefork
