#pragma once

#include "commandline.h"
#include "exitcode.h"

namespace Primrosefork {

/**
 * Base class of the subcommands.
 */
class Command {
public:
    virtual ~Command() = default;

    /** Runs the subcommand with the arguments and options of \a line, prints the outcome and returns the exit code. */
    [[nodiscard]] virtual auto run(const CommandLine& line) const -> ExitCode = 0;
};

} // namespace Primrosefork
