#pragma once

#include "address.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * What the operator wrote after the name of the program.
 */
struct CommandLine {
    std::string group; ///< "service", "backend" and so on.
    std::string verb; ///< "create", "list" and so on.
    std::vector<std::string> arguments; ///< What follows group and verb.
    Address node; ///< Operators' address of the node that is asked.
    std::string credential;
    bool isJson = false; ///< The node's answer is printed as it is.
    std::optional<std::uint64_t> baseRevision;
    std::uint64_t toRevision = 0;
    std::string writeId; ///< Empty for a new change.
    std::string file;
    std::string templateName;
    std::string templateFile;
    std::string service; ///< Restricts a drain to one service.
    std::chrono::milliseconds timeout { 20'000 };
};

} // namespace Primrosefork
