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
 * A token that came before is dropped, one that is early is kept until those
 * before it are there.
 */
class StreamAssembler {
public:
    /** The attempt was asked for the tokens from \a firstOffset on. */
    explicit StreamAssembler(std::int64_t firstOffset);

    /** Takes the token at \a offset. Returns Error::BadAnswer when too many tokens before it are missing. */
    auto add(std::int64_t offset, std::string text) -> std::error_code;

    /** Returns whether the next token is there. */
    [[nodiscard]] auto isReady() const -> bool { return !this->ready.empty(); }

    /** Removes the next token and returns its text. */
    auto take() -> std::string;

    /** Returns whether the tokens received make up an answer of \a tokens tokens without a gap. */
    [[nodiscard]] auto isWhole(std::int64_t tokens) const -> bool { return this->early.empty() && this->nextOffset == tokens; }

private:
    std::int64_t nextOffset; ///< Of the first token that is missing.
    std::deque<std::string> ready;
    std::map<std::int64_t, std::string> early;
};

} // namespace Primrosefork
