#pragma once

#include "command.h"

#include <memory>
#include <string>
#include <vector>

namespace Primrosefork {

/** A subcommand with its names and help texts. */
struct CommandEntry {
    std::string group;
    std::string verb; ///< Empty when the group is a subcommand by itself.
    std::string arguments; ///< Synopsis of the arguments and options for the help.
    std::string summary; ///< One line of the help.
    bool isOffline = false; ///< Runs without the administration API, so it needs no --node and no credential.
    std::unique_ptr<Command> command;
};

/** Returns all subcommands in the order in which the help lists them. */
[[nodiscard]] auto makeCommands() -> std::vector<CommandEntry>;

/** Returns the help of the program. */
[[nodiscard]] auto helpText(const std::vector<CommandEntry>& commands) -> std::string;

} // namespace Primrosefork
