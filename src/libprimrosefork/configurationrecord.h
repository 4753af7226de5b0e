#pragma once

#include "configuration.h"

#include <optional>
#include <string>
#include <string_view>

namespace Primrosefork {

/** Where the records of the configuration stand in the store. */
namespace ConfigurationKeys {
constexpr std::string_view all = "config/";
[[nodiscard]] auto workspace(const std::string& name) -> std::string;
[[nodiscard]] auto serviceTemplate(const std::string& name) -> std::string;
[[nodiscard]] auto service(const std::string& workspace, const std::string& name) -> std::string;
} // namespace ConfigurationKeys

/**
 * Puts the record at \a key with the content \a value into \a configuration.
 *
 * A record is {"revision", "write_id", "content"}; a service's has "template"
 * besides. A record with a lower revision than the one in force changes
 * nothing. Returns false and adds to \a findings when the record is not valid.
 * Templates must be applied before the services made from them.
 */
auto applyRecord(Configuration& configuration, const std::string& key, std::string_view value, Findings& findings) -> bool;

} // namespace Primrosefork
