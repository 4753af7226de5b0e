#pragma once

#include "bootclock.h"
#include "finding.h"
#include "gatewaysettings.h"
#include "statesource.h"

#include <optional>
#include <string>
#include <vector>

namespace Primrosefork {

class EventLog;
class Metrics;

/**
 * Applies settings files that are read again, and shows operators which settings
 * the node runs.
 */
class SettingsMonitor : public StateSource {
public:
    /** \a settings are those of the node; its other parts read the bounds in them at each decision. */
    SettingsMonitor(GatewaySettings& settings, Metrics&, const EventLog&);

    /** Applies the bounds of \a next. Fields that hold for the life of the process stay as they are, and are reported when they differ. */
    auto reloaded(const GatewaySettings& next) -> void;

    /** Records that a settings file was rejected because of \a findings. */
    auto rejected(const Findings& findings) -> void;

    [[nodiscard]] auto stateName() const -> std::string override { return "settings"; }
    [[nodiscard]] auto dumpState() const -> nlohmann::json override;

private:
    struct Rejection {
        BootClock::time_point moment;
        Findings findings;
    };

    auto publish() -> void;

    GatewaySettings& settings;
    Metrics& metrics;
    const EventLog& log;
    BootClock::time_point inForceSince;
    std::vector<std::string> unapplied; ///< Paths of the fields of the last valid file that need a restart of the process.
    std::optional<Rejection> rejection; ///< The last file, when it was rejected.
};

} // namespace Primrosefork
