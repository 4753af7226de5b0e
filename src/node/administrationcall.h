#pragma once

#include "configurationchange.h"
#include "httpmessage.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Primrosefork {

/**
 * The configuration record or collection of records that a path of the
 * administration API names, and the action on it.
 */
struct RecordPath {
    std::string kind; ///< Kind of the record: "workspaces", "templates" or "services".
    std::string name; ///< Name of the record, for a service "workspace/name"; empty when the path names all records of the kind.
    std::string key; ///< Key of the record in the store.
    ServiceKey service; ///< Workspace and name of the service; empty for other kinds.
    std::string action; ///< Last part of the path, such as "history" or "drain"; empty for the record itself.

    [[nodiscard]] auto isCollection() const -> bool { return this->name.empty(); }
};

/** Returns the record or collection that \a path, relative to the root of the API, names, or nothing when it names none. */
[[nodiscard]] auto parseRecordPath(std::string_view path) -> std::optional<RecordPath>;

/** A configuration change requested by an operator. */
struct ChangeCall {
    std::shared_ptr<const ConfigurationChange> change;
    Revision base = 0; ///< Revision that the change is based on; 0 when the record must not exist.
    std::string writeId; ///< Id of the change, from the Write-Id header or generated.
    bool isRepeated = false; ///< Whether an earlier request may have carried the same write id.
};

/** The error of a request that is not a valid change. */
struct ChangeCallError {
    int status = HttpStatus::ok; ///< Status of the error response; HttpStatus::ok when there is no error.
    const char* code = ""; ///< Value of "error" in the body of the response.
    Findings findings;
};

/** Returns the change that \a request makes at \a path. Sets \a error when the request is not valid. */
[[nodiscard]] auto parseChangeCall(const HttpRequest& request, const RecordPath& path, ChangeCallError& error) -> ChangeCall;

} // namespace Primrosefork
