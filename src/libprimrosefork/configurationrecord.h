#pragma once

#include "configuration.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

/** Where the records of the configuration stand in the store. */
namespace ConfigurationKeys {
constexpr std::string_view all = "config/";
[[nodiscard]] auto workspace(const std::string& name) -> std::string;
[[nodiscard]] auto serviceTemplate(const std::string& name) -> std::string;
[[nodiscard]] auto service(const std::string& workspace, const std::string& name) -> std::string;
} // namespace ConfigurationKeys

/**
 * One version of a configuration record: what was accepted, from whom and when.
 */
struct RecordVersion {
    Revision revision = 0;
    std::string writeId; ///< Identifies the write, so that a lost reply can be told apart.
    std::string author; ///< Name of the operator's credential.
    std::chrono::system_clock::time_point time;
    std::string templateName; ///< Of a service.
    bool isDeleted = false;
    nlohmann::json content;
};

/**
 * A configuration record as the store holds it: the version in force and the
 * ones before it.
 */
struct ConfigurationRecord {
    RecordVersion current;
    std::vector<RecordVersion> history; ///< The newest first.

    /** Returns the version of \a revision, or null when it is not kept. */
    [[nodiscard]] auto findRevision(Revision revision) const -> const RecordVersion*;

    /** Returns the version that the write \a writeId made, or null when it is not kept. */
    [[nodiscard]] auto findWrite(const std::string& writeId) const -> const RecordVersion*;
};

/**
 * Reads the \a value of a record, an object with "revision", "write_id",
 * "author", "time_ms", "content", "history" and, where they apply, "template"
 * and "deleted". Returns nothing when it is not a record.
 */
[[nodiscard]] auto parseRecord(std::string_view value) -> std::optional<ConfigurationRecord>;

/** Returns \a record as the store holds it. */
[[nodiscard]] auto formatRecord(const ConfigurationRecord& record) -> std::string;

/** Returns \a version as JSON, as it stands in a record and in answers to operators. */
[[nodiscard]] auto toJson(const RecordVersion& version) -> nlohmann::json;

/**
 * Puts the record at \a key with the content \a value into \a configuration.
 *
 * A record with a lower revision than the one in force changes nothing. A
 * deletion is a record with "deleted": true, so that a record missing from the
 * store takes nothing out of force. Returns false and adds to \a findings when
 * the record is not valid, or a template clashes with a service in force that is
 * made from it. Templates must be applied before the services made from them.
 */
auto applyRecord(Configuration& configuration, const std::string& key, std::string_view value, Findings& findings) -> bool;

/** Returns whether \a value is a record with a lower revision than the one at \a key in force. */
[[nodiscard]] auto isOlderRecord(const Configuration& configuration, const std::string& key, std::string_view value) -> bool;

/** Puts \a version into \a configuration without regard to revisions; adds to \a findings what is wrong with it. */
auto applyVersion(Configuration& configuration, const std::string& key, const RecordVersion& version, Findings& findings) -> void;

} // namespace Primrosefork
