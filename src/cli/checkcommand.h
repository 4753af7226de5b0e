#pragma once

#include "command.h"

#include <string>
#include <utility>

namespace Primrosefork {

/** Checks a file without a node: "settings", "template", "parameters" or "workspace". */
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
