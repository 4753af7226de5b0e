#pragma once

#include "command.h"

namespace Primrosefork {

/** Lists the backend servers that the node knows. */
class ListBackendsCommand : public Command {
public:
    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;
};

/**
 * Drains a backend server in every service that uses it, or ends the drain. It
 * may be run again: what is done already stays as it is.
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
