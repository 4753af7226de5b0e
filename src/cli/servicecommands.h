#pragma once

#include "command.h"

namespace Primrosefork {

/** Creates a workspace service from a template and a file with parameters. */
class CreateServiceCommand : public Command {
public:
    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;
};

/**
 * Changes the parameters of a workspace service. A file replaces all of them;
 * arguments name=value replace single ones and keep the others.
 */
class SetServiceCommand : public Command {
public:
    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;
};

} // namespace Primrosefork
