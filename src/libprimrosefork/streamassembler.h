#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <system_error>

namespace Primrosefork {

/**
 * Puts the tokens of one attempt at a stream in order.
 *
 * A token that was already received is dropped, and one that arrives early is kept
 * until all tokens before it have arrived.
 */
class StreamAssembler {
public:
    /** Creates an assembler for an attempt that requested the tokens from \a firstOffset on. */
    explicit StreamAssembler(std::int64_t firstOffset);

    /** Adds the token at \a offset. Returns Error::BadAnswer when too many early tokens wait for a missing one. */
    auto add(std::int64_t offset, std::string text) -> std::error_code;

    /** Returns whether the next token has arrived. */
    [[nodiscard]] auto isReady() const -> bool { return !this->ready.empty(); }

    /** Removes the next token and returns its text. */
    auto take() -> std::string;

    /** Returns whether the received tokens form a complete answer of \a tokens tokens without a gap. */
    [[nodiscard]] auto isComplete(std::int64_t tokens) const -> bool { return this->early.empty() && this->nextOffset == tokens; }

private:
    std::int64_t nextOffset; ///< Offset of the first missing token.
    std::deque<std::string> ready; ///< Tokens in order that take() has not returned yet.
    std::map<std::int64_t, std::string> early; ///< Tokens after a missing one, by offset.
};

} // namespace Primrosefork
