#pragma once

namespace Primrosefork {

/**
 * Whether a backend server ran a request, as far as this is known.
 */
enum class Execution {
    NotRun, ///< No byte of the request reached a backend server.
    Run, ///< The request was run to its end.
    Unknown, ///< A byte of the request may have reached a backend server.
};

/** Returns the name of \a execution in answers to callers. */
[[nodiscard]] constexpr auto nameOf(Execution execution) -> const char*
{
    switch (execution) {
    case Execution::NotRun:
        return "not run";
    case Execution::Run:
        return "run";
    case Execution::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace Primrosefork
