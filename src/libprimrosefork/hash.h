#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Primrosefork {

/** Returns the SHA-256 of \a text as 64 lower-case hexadecimal digits. */
[[nodiscard]] auto sha256Hex(std::string_view text) -> std::string;

/** Returns a 64-bit hash of \a text that is the same on every node. */
[[nodiscard]] auto hash64(std::string_view text) -> std::uint64_t;

/** Returns \a bytes random bytes as lower-case hexadecimal digits. */
[[nodiscard]] auto randomHex(std::size_t bytes) -> std::string;

} // namespace Primrosefork
