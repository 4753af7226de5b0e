#pragma once

#include "address.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

/**
 * The parsed arguments and options of one invocation.
 */
struct CommandLine {
    std::string group; ///< First word of the subcommand, such as "service" or "backend".
    std::string verb; ///< Second word of the subcommand, such as "create" or "list".
    std::vector<std::string> arguments; ///< Positional arguments after group and verb.
    Address node; ///< Operators' address of the node to call.
    std::string credential; ///< Operator's key, sent as the bearer token.
    bool isJson = false; ///< Prints the node's response as JSON instead of text.
    std::optional<std::uint64_t> baseRevision; ///< Revision that the record must have for the change to be accepted.
    std::uint64_t toRevision = 0; ///< Earlier revision whose content a roll-forward restores.
    std::string writeId; ///< Write id of an earlier change that is repeated; empty for a new change.
    std::string file; ///< File with the content of a record; "-" is standard input.
    std::string templateName; ///< Template from which a service is created.
    std::string templateFile; ///< Template file against which parameters are checked.
    std::string service; ///< The only service in which a drain is begun or ended; empty for all.
    std::string against; ///< File with the configuration in force, or operators' address of a gateway node that runs it.
    std::chrono::milliseconds timeout { 20'000 }; ///< Limit for each phase of a call: connect, first byte and idle.
};

} // namespace Primrosefork
