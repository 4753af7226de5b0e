#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Primrosefork {

/** Returns the text of the file \a path, or of standard input for "-"; nothing when it cannot be read. */
[[nodiscard]] auto readFile(const std::string& path) -> std::optional<std::string>;

/** Returns the JSON of the file \a path; prints an error and returns nothing when it cannot be read or parsed. */
[[nodiscard]] auto readJsonFile(const std::string& path) -> std::optional<nlohmann::json>;

} // namespace Primrosefork
