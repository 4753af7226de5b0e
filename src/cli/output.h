#pragma once

#include "apiclient.h"
#include "finding.h"

#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/** Prints \a rows below \a headers with aligned columns. */
auto printTable(const std::vector<std::string>& headers, const std::vector<std::vector<std::string>>& rows) -> void;

/** Prints the error \a message to standard error, after the name of the program. */
auto printError(const std::string& message) -> void;

/** Prints the \a findings about \a file to standard error, one on each line. */
auto printFindings(const std::string& file, const Findings& findings) -> void;

/** Prints the error of \a answer: its findings, both contents of a conflict, or the message. */
auto printFailure(const ApiAnswer& answer) -> void;

/** Prints the outcome of the change that \a answer belongs to and returns the exit code. */
auto printChange(const CommandLine& line, const ApiAnswer& answer) -> ExitCode;

/** Prints \a answer, or the error when there is no response, as JSON; returns the exit code. */
auto printJson(const ApiAnswer& answer) -> ExitCode;

/**
 * Prints \a answer as JSON when the option --json is given, or else its error, and
 * returns the exit code. Returns nothing for a successful answer that the caller
 * prints as text.
 */
[[nodiscard]] auto printJsonOrFailure(const CommandLine& line, const ApiAnswer& answer) -> std::optional<ExitCode>;

/** Returns the value of the member \a key of \a json as text; empty when there is no such member. */
[[nodiscard]] auto textOf(const nlohmann::json& json, const std::string& key) -> std::string;

/**
 * Returns the time in the member \a key of \a json, in milliseconds since 1970, as
 * text in UTC; empty when there is no such number.
 */
[[nodiscard]] auto timeOf(const nlohmann::json& json, const std::string& key) -> std::string;

} // namespace Primrosefork
