#pragma once

namespace Primrosefork {

/** The exit codes of the command line; scripts rely on the values, see docs/OPERATORS.md. */
enum class ExitCode {
    Success = 0, ///< The call succeeded or the change was accepted.
    Failed = 1, ///< The command failed, and a change was definitely not accepted.
    Usage = 2, ///< Wrong arguments or options.
    Findings = 3, ///< The input is invalid; the findings are printed.
    Conflict = 4, ///< The record has another revision than the base revision.
    Unreachable = 5, ///< No connection to the node, or no response to a read.
    Unknown = 6, ///< The change may have taken effect; repeating the command with the same write id returns its outcome.
};

} // namespace Primrosefork
