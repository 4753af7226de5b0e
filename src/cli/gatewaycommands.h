#pragma once

#include "command.h"

namespace Primrosefork {

/** Lists which settings and which configuration gateway nodes run; the arguments are their operators' addresses. */
class GatewaySettingsCommand : public Command {
public:
    [[nodiscard]] auto run(const CommandLine&) const -> ExitCode override;
};

} // namespace Primrosefork
