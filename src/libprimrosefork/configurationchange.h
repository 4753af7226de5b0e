#pragma once

#include "configurationrecord.h"
#include "finding.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace Primrosefork {

/** What a change makes of a record. */
struct ChangedContent {
    std::string templateName; ///< Of a service.
    bool isDeleted = false;
    nlohmann::json content;
};

/**
 * One operator's edit of one configuration record.
 */
class ConfigurationChange {
public:
    virtual ~ConfigurationChange() = default;

    /** Returns the key of the record that the change is made to. */
    [[nodiscard]] virtual auto key() const -> std::string = 0;

    /** Returns whether the change may be made when no record is in force. */
    [[nodiscard]] virtual auto createsRecord() const -> bool = 0;

    /**
     * Returns the content that the change makes of \a record, which is null when
     * there is none and may be a deleted one, and adds to \a findings why it cannot be made.
     */
    [[nodiscard]] virtual auto apply(const ConfigurationRecord* record, Findings& findings) const -> ChangedContent = 0;
};

/** Who asks for a change, when, and on what it is based. */
struct ChangeOrigin {
    Revision base = 0; ///< 0 when the record must not exist.
    std::string writeId; ///< Names the change; the same one again is the same change.
    std::string author;
    std::chrono::system_clock::time_point time;
};

/** Whether a change can be written. */
enum class ChangeVerdict {
    Ready, ///< The record may be written.
    AlreadyAccepted, ///< The record holds the change already.
    Invalid, ///< The content is not valid.
    Conflict, ///< The record is not at the base revision.
    NotFound, ///< There is no record to change.
};

/** How a change stands against the record that it is made to. */
struct PreparedChange {
    ChangeVerdict verdict = ChangeVerdict::Invalid;
    ConfigurationRecord record; ///< To be written when ready; otherwise the one there is.
    RecordVersion version; ///< The version that the change makes, or made when it is accepted already.
    Findings findings;
};

/** How many earlier versions a record keeps, the sizes of their contents permitting. */
constexpr std::size_t maxKeptVersions = 20;

/**
 * Works \a change out against \a record, the one there is, and checks the result
 * as a whole against \a configuration.
 *
 * Nothing is written: a compare-and-swap against \a record is what is left to do.
 */
[[nodiscard]] auto prepareChange(const ConfigurationChange& change, const ChangeOrigin& origin,
    const std::optional<ConfigurationRecord>& record, const Configuration& configuration) -> PreparedChange;

/**
 * Adds to \a findings where the record at \a key clashes with others of
 * \a configuration: a service without its workspace, a workspace with the key of
 * another one, a deleted workspace with services.
 */
auto checkReferences(const Configuration& configuration, const std::string& key, Findings& findings) -> void;

/** Returns \a record with the version that it has now replaced by the one before, as a new revision. */
[[nodiscard]] auto undoLastVersion(const ConfigurationRecord& record, const std::string& writeId) -> ConfigurationRecord;

} // namespace Primrosefork
