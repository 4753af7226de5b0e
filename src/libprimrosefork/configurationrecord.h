#pragma once

#include "configuration.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

/** Keys of the configuration records in the store. */
namespace ConfigurationKeys {
constexpr std::string_view prefix = "config/";
[[nodiscard]] auto workspace(const std::string& name) -> std::string;
[[nodiscard]] auto serviceTemplate(const std::string& name) -> std::string;
[[nodiscard]] auto service(const std::string& workspace, const std::string& name) -> std::string;
} // namespace ConfigurationKeys

/**
 * One accepted version of a configuration record, with its author and time.
 */
struct RecordVersion {
    Revision revision = 0;
    std::string writeId; ///< Id of the write; shows whether a write whose reply was lost took effect.
    std::string author; ///< Name of the credential of the operator who made the change.
    std::chrono::system_clock::time_point time;
    std::string templateName; ///< Name of the template of a service; empty for other records.
    bool isDeleted = false;
    nlohmann::json content;
};

/**
 * A configuration record as stored: the current version and the earlier ones.
 */
struct ConfigurationRecord {
    RecordVersion current;
    std::vector<RecordVersion> history; ///< Earlier versions, the newest first.

    /** Returns the version with \a revision, or null when the record does not contain it. */
    [[nodiscard]] auto findRevision(Revision revision) const -> const RecordVersion*;

    /** Returns the version created by the write \a writeId, or null when the record does not contain it. */
    [[nodiscard]] auto findWrite(const std::string& writeId) const -> const RecordVersion*;
};

/**
 * Parses the stored \a value of a record, a JSON object with "revision", "write_id",
 * "author", "time_ms", "content", "history" and, where they apply, "template"
 * and "deleted". Returns nothing when it is not a valid record.
 */
[[nodiscard]] auto parseRecord(std::string_view value) -> std::optional<ConfigurationRecord>;

/** Returns \a record as the value to be stored. */
[[nodiscard]] auto formatRecord(const ConfigurationRecord& record) -> std::string;

/** Returns \a version as the JSON used in stored records and in answers to operators. */
[[nodiscard]] auto toJson(const RecordVersion& version) -> nlohmann::json;

/**
 * Applies the record at \a key with the stored \a value to \a configuration.
 *
 * A record with the same or a lower revision than the one in force changes
 * nothing. A deletion is a record with "deleted": true, so a record that is
 * missing from the store stays in force. Returns false and adds to \a findings
 * when the record is not valid, or when a template conflicts with a service in
 * force that uses it. Templates must be applied before the services that use them.
 */
auto applyRecord(Configuration& configuration, const std::string& key, std::string_view value, Findings& findings) -> bool;

/** Returns whether \a value is a record with a lower revision than the one in force at \a key. */
[[nodiscard]] auto isOlderRecord(const Configuration& configuration, const std::string& key, std::string_view value) -> bool;

/** Applies \a version of the record at \a key to \a configuration whatever its revision; adds to \a findings what is wrong with it. */
auto applyVersion(Configuration& configuration, const std::string& key, const RecordVersion& version, Findings& findings) -> void;

} // namespace Primrosefork
