#pragma once

#include "backendserver.h"
#include "backendsubset.h"
#include "configuration.h"
#include "lifecycle.h"
#include "membership.h"
#include "section.h"

#include <string>
#include <vector>

namespace Primrosefork {

/** The name of a section and of the controller that writes it. */
struct SectionOwner {
    std::string section;
    std::string writer;

    auto operator==(const SectionOwner&) const -> bool = default;
};

/**
 * What the controllers of one node share. The table of sections, writers and
 * readers is in docs/BLACKBOARD.md.
 */
class Blackboard {
public:
    Section<Lifecycle> lifecycle { "lifecycle" };
    Section<Configuration> configuration { "configuration" };
    Section<BackendServers> backendServers { "backendServers" };
    Section<LoadReports> loadReports { "loadReports" };
    Section<ReclaimNotices> reclaimNotices { "reclaimNotices" };
    Section<BackendSubsetIds> backendSubset { "backendSubset" }; ///< The engines that this node works with.
    Section<Peers> peers { "peers" };
    Section<ReclaimNotices> peerNotices { "peerNotices" }; ///< Those that peers told of.

    /** Returns every section with its writer, in the order of declaration. */
    [[nodiscard]] auto owners() const -> std::vector<SectionOwner>;
};

} // namespace Primrosefork
