#pragma once

#include "blackboard.h"
#include "engine.h"
#include "eventloop.h"
#include "statesource.h"

#include <string>
#include <system_error>
#include <vector>

namespace Primrosefork {

struct NodeSettings;

/**
 * Polls the load reports of the engines in the subset of this node. The subset is
 * widened while more than half of its engines do not answer or have more
 * requests waiting than running.
 */
class LoadController : public StateSource {
public:
    LoadController(EventLoop&, Engines&, Blackboard&, const NodeSettings&);

    auto begin() -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "load_reports"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto poll() -> void;
    auto adjustWidening() -> void;
    auto updateSubset() -> void;
    auto peersChanged() -> void;
    [[nodiscard]] auto liveNodes() const -> std::vector<SubsetNode>;
    auto received(const std::string& id, std::error_code, LoadReport) -> void;

    Engines& engines;
    const Blackboard& blackboard;
    SectionWriter<LoadReports> reports;
    LoadReports collected; ///< Reports received since the last poll.
    SectionWriter<BackendSubsetIds> subset;
    const NodeSettings& settings;
    BackendSubset subsetSelector;
    BackendServers engineServers; ///< The engines of the instance list.
    std::vector<SubsetNode> nodes; ///< Live nodes among which the subset was chosen.
    unsigned widening = 0; ///< Steps by which the subset is widened; each doubles the nodes of a server.
    int stableRounds = 0; ///< Consecutive polls in which at least half of the subset was usable.
    bool isSubsetOutdated = true; ///< Whether the subset is to be chosen again at the next poll.
    Timer timer;
};

} // namespace Primrosefork
