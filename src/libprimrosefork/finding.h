#pragma once

#include <string>
#include <vector>

namespace Primrosefork {

/**
 * One problem found when a document was checked.
 */
struct Finding {
    std::string place; ///< Path of the value in the document, such as "/listen/callers"; empty for the document itself.
    std::string message;

    auto operator==(const Finding&) const -> bool = default;
};

/**
 * The findings of one check, in the order in which they were found.
 */
using Findings = std::vector<Finding>;

/** Returns \a findings as text, with one line "place: message" for each. */
[[nodiscard]] auto formatFindings(const Findings& findings) -> std::string;

} // namespace Primrosefork
