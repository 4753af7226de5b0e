#pragma once

#include "apiclient.h"
#include "finding.h"

#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/** Prints \a rows below \a headers with aligned columns. */
auto printTable(const std::vector<std::string>& headers, const std::vector<std::vector<std::string>>& rows) -> void;

/** Prints that something went wrong to standard error. */
auto printError(const std::string& message) -> void;

/** Prints \a findings, one a line, to standard error. */
auto printFindings(const std::string& file, const Findings& findings) -> void;

/** Prints why \a answer is not a success: findings, both contents of a conflict, or the message. */
auto printFailure(const ApiAnswer& answer) -> void;

/** Prints the outcome of the change that \a answer is of, and returns its exit code. */
auto printChange(const CommandLine& line, const ApiAnswer& answer) -> ExitCode;

/** Prints the answer as JSON, or why there is none; returns its exit code. */
auto printJson(const ApiAnswer& answer) -> ExitCode;

/**
 * Prints \a answer as JSON when that was asked for, or why it is not a success,
 * and returns the exit code. Returns nothing when it is to be shown as text.
 */
[[nodiscard]] auto printUnlessText(const CommandLine& line, const ApiAnswer& answer) -> std::optional<ExitCode>;

/** Returns the value at \a key of \a json as text for a table. */
[[nodiscard]] auto textOf(const nlohmann::json& json, const std::string& key) -> std::string;

/** Returns the moment at \a key of \a json, milliseconds since 1970, as UTC text. */
[[nodiscard]] auto timeOf(const nlohmann::json& json, const std::string& key) -> std::string;

} // namespace Primrosefork
