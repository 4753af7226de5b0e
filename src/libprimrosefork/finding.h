#pragma once

#include <string>
#include <vector>

namespace Primrosefork {

/**
 * One thing wrong with a document that was checked.
 */
struct Finding {
    std::string place; ///< JSON path of the value, "/listen/callers".
    std::string message;

    auto operator==(const Finding&) const -> bool = default;
};

/**
 * The findings of one check, in the order they were met.
 */
using Findings = std::vector<Finding>;

/** Returns \a findings as text, one "place: message" a line. */
[[nodiscard]] auto formatFindings(const Findings& findings) -> std::string;

} // namespace Primrosefork
