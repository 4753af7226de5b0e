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

/**
 * Returns the token that engine \a variant puts after \a history, the prompt and
 * all tokens before it. Other engines put another one, and so does the same engine
 * after another history.
 */
[[nodiscard]] auto historyText(std::string_view history, std::string_view variant) -> std::string;

} // namespace Primrosefork
