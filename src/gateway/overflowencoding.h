#pragma once

#include "overflowshare.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

constexpr std::size_t maxOverflowShares = 64; ///< Shares in one message.

/**
 * Returns \a shares as a few bytes that are the same on every machine: each name once, then entries that refer to the
 * names by their number. What exceeds 255 names, 255 bytes of a name or the maximum of shares is left out.
 */
[[nodiscard]] auto encodeOverflow(const std::vector<OverflowShare>& shares) -> std::string;

/** Returns the shares in \a bytes, or nothing when these are not valid. */
[[nodiscard]] auto decodeOverflow(std::string_view bytes) -> std::optional<std::vector<OverflowShare>>;

} // namespace Primrosefork
