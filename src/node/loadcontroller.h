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
 * Collects the load that engines report: of those that are in the subset of
 * this node. The subset gets wider while most of its engines do not answer or
 * have a queue.
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
    LoadReports collected; ///< Of the round under way.
    SectionWriter<BackendSubsetIds> subset;
    const NodeSettings& settings;
    BackendSubset chooser;
    BackendServers engineServers; ///< The engines of the instance list.
    std::vector<SubsetNode> nodes; ///< Live ones that the subset was chosen among.
    unsigned widening = 0;
    int roundsAtEase = 0;
    bool isSubsetDue = true;
    Timer timer;
};

} // namespace Primrosefork
