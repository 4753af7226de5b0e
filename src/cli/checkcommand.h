#pragma once

#include "command.h"

#include <string>
#include <utility>

namespace Primrosefork {

/** Validates a file of the kind "settings", "template", "parameters" or "workspace" without calling a node. */
class CheckCommand : public Command {
public:
    explicit CheckCommand(std::string kind)
        : kind(std::move(kind))
    {
    }

    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;

private:
    std::string kind;
};

} // namespace Primrosefork
