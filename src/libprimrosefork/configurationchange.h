#pragma once

#include "configurationrecord.h"
#include "finding.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Primrosefork {

/** The content of a record after a change. */
struct ChangedContent {
    std::string templateName; ///< Name of the template of a service; empty for other records.
    bool isDeleted = false;
    nlohmann::json content;
};

/**
 * One operator's edit of one configuration record.
 */
class ConfigurationChange {
public:
    virtual ~ConfigurationChange() = default;

    /** Returns the store key of the record that is changed. */
    [[nodiscard]] virtual auto key() const -> std::string = 0;

    /** Returns whether the change is allowed when no record is in force. */
    [[nodiscard]] virtual auto isAllowedWithoutRecord() const -> bool = 0;

    /**
     * Returns the content of \a record after the change and adds to \a findings why
     * the change can't be made. \a record is null when there is none; it may also be
     * a deleted one.
     */
    [[nodiscard]] virtual auto apply(const ConfigurationRecord* record, Findings& findings) const -> ChangedContent = 0;
};

/** The author, time and identity of a change, and the revision that it is based on. */
struct ChangeOrigin {
    Revision base = 0; ///< Revision that the author changed; 0 when no record may be in force.
    std::string writeId; ///< Id of the change; a request with the same id is a repetition of the same change.
    std::string author;
    std::chrono::system_clock::time_point time;
};

/** Whether a change can be written. */
enum class ChangeVerdict {
    Ready, ///< The changed record can be written.
    AlreadyAccepted, ///< The record already contains the change, as its current or an earlier version.
    Invalid, ///< The content is not valid.
    Conflict, ///< The record is not at the base revision.
    NotFound, ///< There is no record to change.
};

/** The result of applying a change to a record. */
struct PreparedChange {
    ChangeVerdict verdict = ChangeVerdict::Invalid;
    ConfigurationRecord record; ///< The record to be written when the verdict is Ready, otherwise the unchanged one.
    RecordVersion version; ///< The version that the change creates, or created when the verdict is AlreadyAccepted.
    Findings findings;
};

/** Maximum number of earlier versions in a record; fewer are kept when their contents would make it too large. */
constexpr std::size_t maxHistoryVersions = 20;

/**
 * Applies \a change to \a record, the current one, and checks the result together
 * with the other records of \a configuration.
 *
 * Nothing is written: the caller has to write the result by a compare-and-swap
 * against \a record.
 */
[[nodiscard]] auto prepareChange(const ConfigurationChange& change, const ChangeOrigin& origin,
    const std::optional<ConfigurationRecord>& record, const Configuration& configuration) -> PreparedChange;

/**
 * Adds to \a findings where the record at \a key conflicts with other records of
 * \a configuration: a service whose workspace does not exist, a workspace whose
 * callers' key belongs to another one too, a deleted workspace that has services.
 */
auto checkReferences(const Configuration& configuration, const std::string& key, Findings& findings) -> void;

/**
 * Returns \a record with its current version replaced by the previous one, as a
 * new revision with \a writeId. A record without a previous version is marked as
 * deleted.
 */
[[nodiscard]] auto undoLastVersion(const ConfigurationRecord& record, const std::string& writeId) -> ConfigurationRecord;

} // namespace Primrosefork
