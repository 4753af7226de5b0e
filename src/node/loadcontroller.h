#pragma once

#include "blackboard.h"
#include "engine.h"
#include "eventloop.h"
#include "statesource.h"

#include <chrono>

namespace Primrosefork {

/**
 * Collects the load that engines report.
 */
class LoadController : public StateSource {
public:
    LoadController(EventLoop&, Engines&, Blackboard&, std::chrono::milliseconds period);

    auto begin() -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "load_reports"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    auto poll() -> void;
    auto received(const std::string& id, std::error_code, LoadReport) -> void;

    Engines& engines;
    const Blackboard& blackboard;
    SectionWriter<LoadReports> reports;
    LoadReports collected; ///< Of the round under way.
    std::chrono::milliseconds period;
    Timer timer;
};

} // namespace Primrosefork
