#pragma once

#include "command.h"

#include <memory>
#include <string>
#include <vector>

namespace Primrosefork {

/** A subcommand with its help. */
struct CommandEntry {
    std::string group;
    std::string verb; ///< Empty when the group has only one.
    std::string arguments;
    std::string summary;
    bool isOffline = false; ///< It asks no node.
    std::unique_ptr<Command> command;
};

/** Returns all subcommands, in the order of their help. */
[[nodiscard]] auto makeCommands() -> std::vector<CommandEntry>;

/** Returns the help of the program. */
[[nodiscard]] auto helpText(const std::vector<CommandEntry>& commands) -> std::string;

} // namespace Primrosefork
