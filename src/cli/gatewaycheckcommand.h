#pragma once

#include "command.h"

namespace Primrosefork {

/** Checks a file with the gateway's configuration, and compares it with the one in another file or with the version that a node runs. */
class GatewayCheckCommand : public Command {
public:
    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;
};

} // namespace Primrosefork
