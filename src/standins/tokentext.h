#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Primrosefork {

/**
 * Returns the token at \a offset of the stand-in engines' answer to \a prompt.
 * All engines return the same token, so that a test can check every byte.
 */
[[nodiscard]] auto tokenText(std::string_view prompt, std::int64_t offset) -> std::string;

/**
 * Returns the token that an engine of \a variant appends to \a history, the prompt
 * and all tokens before it. The token differs for another variant and for another
 * history.
 */
[[nodiscard]] auto variantTokenText(std::string_view history, std::string_view variant) -> std::string;

} // namespace Primrosefork
