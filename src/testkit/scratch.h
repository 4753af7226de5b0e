#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace Primrosefork::Testkit {

/** Returns the first three bytes of loopback addresses, derived from the process id so that tests can run in parallel. */
[[nodiscard]] auto uniqueNetwork() -> std::string;

/** Creates a temporary folder and returns its path. */
[[nodiscard]] auto makeTemporaryFolder() -> std::string;

/** Writes \a json to the file at \a path. */
auto writeJson(const std::string& path, const nlohmann::json& json) -> void;

} // namespace Primrosefork::Testkit
