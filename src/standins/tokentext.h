#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Primrosefork {

/**
 * Returns the token at \a offset of the stand-in engines' answer to \a prompt.
 * Every engine gives the same one, so that a checker can tell each byte.
 */
[[nodiscard]] auto tokenText(std::string_view prompt, std::int64_t offset) -> std::string;

} // namespace Primrosefork
