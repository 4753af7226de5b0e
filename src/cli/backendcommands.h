#pragma once

#include "command.h"

namespace Primrosefork {

/** Lists the backend servers that are known to the node. */
class ListBackendsCommand : public Command {
public:
    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;
};

/**
 * Drains a backend server in every service that uses it, or ends the drain.
 * Running it again is safe: services that are already in the requested state
 * are not changed.
 */
class DrainCommand : public Command {
public:
    explicit DrainCommand(bool isDrained)
        : isDrained(isDrained)
    {
    }

    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;

private:
    bool isDrained;
};

} // namespace Primrosefork
