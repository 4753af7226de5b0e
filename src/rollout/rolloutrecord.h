#pragma once

#include "rolloutplan.h"

#include <string>
#include <vector>

namespace Primrosefork {

/** Returns the text of the store's record of \a rollouts. */
[[nodiscard]] auto encodeRolloutRecord(const std::vector<RolloutProgress>& rollouts) -> std::string;

/** Returns the roll-outs in \a text, the store's record; entries that are not valid are left out. */
[[nodiscard]] auto decodeRolloutRecord(const std::string& text) -> std::vector<RolloutProgress>;

/** Returns whether \a first is further than \a second, which is about the same service and version. */
[[nodiscard]] auto isLater(const RolloutProgress& first, const RolloutProgress& second) -> bool;

} // namespace Primrosefork
