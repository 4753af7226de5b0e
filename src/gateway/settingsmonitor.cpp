#include "settingsmonitor.h"

#include "eventlog.h"
#include "metrics.h"

#include <nlohmann/json.hpp>

namespace Primrosefork {

namespace {

auto ageOf(BootClock::time_point moment) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - moment).count();
}

auto joined(const std::vector<std::string>& words) -> std::string
{
    std::string text;
    for (const auto& word : words)
        text += (text.empty() ? "" : " ") + word;
    return text;
}

} // namespace

SettingsMonitor::SettingsMonitor(GatewaySettings& settings, Metrics& metrics, const EventLog& log)
    : settings(settings)
    , metrics(metrics)
    , log(log)
    , inForceSince(BootClock::now())
{
    this->publish();
}

auto SettingsMonitor::reloaded(const GatewaySettings& next) -> void
{
    const auto earlier = settingsDigest(this->settings);
    this->settings.bounds = next.bounds;
    this->unapplied = fixedDifferences(this->settings, next);
    this->rejection.reset();
    if (settingsDigest(this->settings) != earlier)
        this->inForceSince = BootClock::now();
    this->publish();
    this->log.write(Event::SettingsReloaded,
        { { "node", this->settings.id }, { "digest", digestText(settingsDigest(this->settings)) }, { "earlier", digestText(earlier) }, { "unapplied", joined(this->unapplied) } });
}

auto SettingsMonitor::rejected(const Findings& findings) -> void
{
    this->rejection = Rejection { BootClock::now(), findings };
    this->publish();
    this->log.write(Event::SettingsRejected, { { "digest", digestText(settingsDigest(this->settings)) }, { "findings", formatFindings(findings) } });
}

auto SettingsMonitor::publish() -> void
{
    this->metrics.setGauge("settings_rejected", this->rejection ? 1 : 0);
    this->metrics.setGauge("settings_unapplied", static_cast<double>(this->unapplied.size()));
}

auto SettingsMonitor::dumpState() const -> nlohmann::json
{
    nlohmann::json state { { "digest", digestText(settingsDigest(this->settings)) }, { "in_force_ms", ageOf(this->inForceSince) },
        { "in_force", sharedSettings(this->settings) }, { "unapplied", this->unapplied }, { "rejected", nullptr } };
    if (this->rejection)
        state["rejected"] = { { "ms_ago", ageOf(this->rejection->moment) }, { "findings", formatFindings(this->rejection->findings) } };
    return state;
}

} // namespace Primrosefork
