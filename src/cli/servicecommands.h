#pragma once

#include "command.h"

namespace Primrosefork {

/** Makes a workspace service from a template and a file of parameters. */
class CreateServiceCommand : public Command {
public:
    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;
};

/**
 * Gives a workspace service other parameters: all of them from a file, or some
 * as name=value over the ones in force.
 */
class SetServiceCommand : public Command {
public:
    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;
};

} // namespace Primrosefork
