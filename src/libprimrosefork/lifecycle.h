#pragma once

namespace Primrosefork {

/** Phase of a node between its start and its exit. */
enum class Lifecycle {
    Starting, ///< No configuration is in force yet.
    Serving,
    Draining, ///< The node finishes its open requests; the load balancer is told to send no new ones.
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
