#pragma once

#include "command.h"

namespace Primrosefork {

/** Shows the nodes, and which configuration each has in force. */
class NodeStatusCommand : public Command {
public:
    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;
};

/** Prints the state dump of the node as JSON. */
class StateCommand : public Command {
public:
    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;
};

} // namespace Primrosefork
