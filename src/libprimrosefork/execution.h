#pragma once

namespace Primrosefork {

/**
 * What is known of whether a refused or failed request was run by a backend
 * server.
 */
enum class Execution {
    NotRun, ///< No byte of it reached a backend server.
    Run, ///< It was run to its end.
    Unknown, ///< A byte of it may have reached a backend server.
};

/** Returns \a execution as it stands in the answer to a caller. */
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
