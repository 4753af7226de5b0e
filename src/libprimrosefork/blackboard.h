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
 * State that the controllers of one node share, in sections with one writer each.
 * The table of sections, writers and readers is in docs/BLACKBOARD.md.
 */
class Blackboard {
public:
    Section<Lifecycle> lifecycle { "lifecycle" };
    Section<Configuration> configuration { "configuration" };
    Section<BackendServers> backendServers { "backendServers" };
    Section<LoadReports> loadReports { "loadReports" };
    Section<ReclaimNotices> reclaimNotices { "reclaimNotices" };
    Section<BackendSubsetIds> backendSubset { "backendSubset" }; ///< Ids of the engines that this node polls for their load and prefers for requests.
    Section<Peers> peers { "peers" };
    Section<ReclaimNotices> peerNotices { "peerNotices" }; ///< Reclaim notices received from peers.

    /** Returns every section with its writer, in the order of declaration. */
    [[nodiscard]] auto owners() const -> std::vector<SectionOwner>;
};

} // namespace Primrosefork
