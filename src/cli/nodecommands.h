#pragma once

#include "command.h"

namespace Primrosefork {

/** Lists the nodes with the configuration that each has in force. */
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
