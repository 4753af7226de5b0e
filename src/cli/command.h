#pragma once

#include "commandline.h"
#include "exitcode.h"

namespace Primrosefork {

/**
 * One subcommand.
 */
class Command {
public:
    virtual ~Command() = default;

    /** Does what \a line asks for and prints the outcome. */
    [[nodiscard]] virtual auto run(const CommandLine& line) const -> ExitCode = 0;
};

} // namespace Primrosefork
