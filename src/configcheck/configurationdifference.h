#pragma once

#include "trafficconfiguration.h"

#include <string>
#include <vector>

namespace Primrosefork {

/** One difference between two configurations. */
struct ConfigurationDifference {
    std::string place; ///< The entry, such as "route read".
    std::string field; ///< Empty when the whole entry was added or removed.
    std::string before; ///< Empty when there was none.
    std::string after; ///< Empty when there is none any more.

    auto operator==(const ConfigurationDifference&) const -> bool = default;
};

/** Returns what changes from \a current to \a next; credentials are counted and not named, and the order of entries does not count. */
[[nodiscard]] auto differencesOf(const TrafficConfiguration& current, const TrafficConfiguration& next) -> std::vector<ConfigurationDifference>;

} // namespace Primrosefork
