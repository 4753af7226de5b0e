#pragma once

namespace Primrosefork {

/** Where a node is between its start and its end. */
enum class Lifecycle {
    Starting, ///< No configuration is in force yet.
    Serving,
    Draining, ///< Finishes what it has; the balancer is told to send no more.
    Stopped,
};

/** Returns the name of \a lifecycle as shown to operators. */
[[nodiscard]] constexpr auto nameOf(Lifecycle lifecycle) -> const char*
{
    switch (lifecycle) {
    case Lifecycle::Starting:
        return "starting";
    case Lifecycle::Serving:
        return "serving";
    case Lifecycle::Draining:
        return "draining";
    case Lifecycle::Stopped:
        return "stopped";
    }
    return "unknown";
}

} // namespace Primrosefork
