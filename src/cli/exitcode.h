#pragma once

namespace Primrosefork {

/** The exit codes of the command line; docs/OPERATORS.md has them for scripts. */
enum class ExitCode {
    Success = 0,
    Failed = 1, ///< Refused, or surely not accepted.
    Usage = 2,
    Findings = 3, ///< What was given is not valid.
    Conflict = 4, ///< The record is not at the base revision.
    Unreachable = 5, ///< The node did not answer.
    Unknown = 6, ///< The change may have taken effect; the same command with the same write id tells.
};

} // namespace Primrosefork
