#pragma once

#include "configurationchange.h"
#include "httpmessage.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Primrosefork {

/**
 * Which record of the configuration a path of the administration API names, and
 * what is to be done with it.
 */
struct RecordPath {
    std::string kind; ///< "workspaces", "templates" or "services".
    std::string name; ///< Empty for all records of the kind; of a service "workspace/name".
    std::string key; ///< In the store.
    ServiceKey service; ///< Of a service.
    std::string action; ///< "history", "drain" or the like; empty for the record itself.

    [[nodiscard]] auto isCollection() const -> bool { return this->name.empty(); }
};

/** Returns what \a path, below the root of the API, names, or nothing. */
[[nodiscard]] auto parseRecordPath(std::string_view path) -> std::optional<RecordPath>;

/** A change as a request asks for it. */
struct ChangeCall {
    std::shared_ptr<const ConfigurationChange> change;
    Revision base = 0;
    std::string writeId;
    bool isRepeated = false; ///< Whether the write id may have been used before.
};

/** Why a request is not a change. */
struct ChangeCallError {
    int status = HttpStatus::ok; ///< HttpStatus::ok when it is one.
    const char* code = "";
    Findings findings;
};

/** Reads the change that \a request asks for at \a path; says in \a error why it cannot. */
[[nodiscard]] auto parseChangeCall(const HttpRequest& request, const RecordPath& path, ChangeCallError& error) -> ChangeCall;

} // namespace Primrosefork
