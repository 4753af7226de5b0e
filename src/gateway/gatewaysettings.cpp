#include "gatewaysettings.h"

#include "hash.h"
#include "jsonreader.h"

#include <array>
#include <iomanip>
#include <sstream>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto gatewayInterface = "gateway";
constexpr double minProcessorShare = 0.01;
constexpr double maxProcessorShare = 1'024;
constexpr std::size_t minMemory = mebibyte;
constexpr std::size_t maxMemory = 1'048'576 * mebibyte;
constexpr std::size_t maxBodyRate = 1'024 * mebibyte;
constexpr std::int64_t maxDescriptors = 1'048'576;
constexpr std::array logLevels { "debug", "info", "warn", "error" };

auto readNode(JsonReader& reader, GatewaySettings& settings) -> void
{
    reader.string("id", settings.id);
    reader.string("zone", settings.zone);
    reader.string("region", settings.region);
    reader.number("processor_share", settings.processorShare, minProcessorShare, maxProcessorShare);
    reader.size("memory", settings.memory, minMemory, maxMemory);
}

auto readListen(JsonReader& reader, GatewaySettings& settings) -> void
{
    reader.address("callers", settings.callers);
    reader.address("readiness", settings.readiness);
    reader.address("peers", settings.peers);
    reader.address("operators", settings.operators);
}

auto readIntake(JsonReader& reader, IntakeSettings& intake) -> void
{
    reader.size("body_rate", intake.bodyRate, 1, maxBodyRate);
    reader.duration("body_time", intake.bodyTime, 100ms, 1h);
    auto descriptors = static_cast<std::int64_t>(intake.descriptors);
    reader.optionalInteger("descriptors", descriptors, 0, maxDescriptors);
    intake.descriptors = static_cast<std::size_t>(descriptors);
}

auto readSystems(JsonReader& reader, GatewaySettings& settings) -> void
{
    reader.address("key_value_service", settings.keyValueService);
    reader.optionalAddress("fleet_api", settings.fleetApi);
}

auto readBounds(JsonReader& reader, GatewayBounds& bounds) -> void
{
    using Rounding = JsonReader::Rounding;
    reader.duration("drain", bounds.drain, 100ms, 10min);
    reader.duration("stop_grace", bounds.stopGrace, 100ms, 1h);
    reader.duration("configuration", bounds.configuration, 100ms, 10min);
    reader.duration("revocation", bounds.revocation, 100ms, 10min);
    reader.duration("leadership", bounds.leadership, 1s, 10min);
    reader.duration("usage_window", bounds.usageWindow, 100ms, 1h);
    reader.duration("usage_due", bounds.usageDue, 100ms, 1h);
    reader.duration("attempt_window", bounds.attemptWindow, 100ms, 1h, Rounding::Up);
    reader.number("attempt_ratio", bounds.attemptRatio, 0, 1);
    reader.number("attempt_slack", bounds.attemptSlack, 0, 1'000'000);
    reader.duration("quota_window", bounds.quotaWindow, 100ms, 1h);
    reader.number("quota_excess", bounds.quotaExcess, 0, 1);
    reader.number("quota_slack", bounds.quotaSlack, 0, 1'000'000'000);
    if (reader.has("exposure_share"))
        reader.number("exposure_share", bounds.exposureShare.emplace(0), 0, 1);
    reader.number("exposure_slack", bounds.exposureSlack, 0, 1'000'000);
    reader.duration("rollback", bounds.rollback, 1s, 10min);
    reader.duration("heartbeat", bounds.heartbeat, 100ms, 10min, Rounding::Up);
}

auto readZones(JsonReader& reader, ZoneCosts& zones) -> void
{
    constexpr double maxTransferCost = 1'000'000;
    reader.number("transfer_cost", zones.transferPerMegabyte, 0, maxTransferCost);
    reader.duration("round_trip", zones.roundTrip, 0ms, 10s);
}

/** Returns \a duration in milliseconds, as a whole number where it is one. */
auto milliseconds(std::chrono::nanoseconds duration) -> nlohmann::json
{
    const auto whole = std::chrono::duration_cast<std::chrono::milliseconds>(duration);
    if (whole == duration)
        return whole.count();
    return std::chrono::duration<double, std::milli>(duration).count();
}

auto zonesJson(const ZoneCosts& zones) -> nlohmann::json
{
    return { { "transfer_cost", zones.transferPerMegabyte }, { "round_trip", milliseconds(zones.roundTrip) } };
}

auto isKnownLevel(const std::string& level) -> bool
{
    return std::find(logLevels.begin(), logLevels.end(), level) != logLevels.end();
}

} // namespace

auto isGatewaySettings(std::string_view text) -> bool
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() && json.contains("interface") && json["interface"] == gatewayInterface;
}

auto parseGatewaySettings(std::string_view text, Findings& findings) -> GatewaySettings
{
    GatewaySettings settings;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        findings.push_back({ "", json.is_discarded() ? "not valid JSON" : "expected an object" });
        return settings;
    }
    JsonReader reader(json, "", findings);
    std::string interfaceName;
    reader.string("interface", interfaceName);
    if (interfaceName != gatewayInterface)
        reader.report("interface", "expected \"gateway\"");
    reader.object("node", [&settings](JsonReader& node) { readNode(node, settings); });
    reader.object("listen", [&settings](JsonReader& listen) { readListen(listen, settings); });
    reader.object("systems", [&settings](JsonReader& systems) { readSystems(systems, settings); });
    reader.optionalObject("bounds", [&settings](JsonReader& bounds) { readBounds(bounds, settings.bounds); });
    reader.optionalObject("load", [&settings](JsonReader& load) { load.boolean("shared", settings.sharesLoad); });
    reader.optionalObject("admission", [&settings](JsonReader& admission) { admission.boolean("enabled", settings.admission.enabled); });
    reader.optionalObject("intake", [&settings](JsonReader& intake) { readIntake(intake, settings.intake); });
    reader.optionalObject("zones", [&settings](JsonReader& zones) { readZones(zones, settings.zones.emplace()); });
    reader.optionalString("log_level", settings.logLevel);
    if (!isKnownLevel(settings.logLevel))
        reader.report("log_level", "expected one of debug info warn error");
    if (settings.bounds.revocation < settings.bounds.configuration)
        reader.report("bounds/revocation", "clashes with /bounds/configuration: must not be shorter");
    reader.finish();
    return settings;
}

auto sharedSettings(const GatewaySettings& settings) -> nlohmann::json
{
    const auto& bounds = settings.bounds;
    nlohmann::json shared {
        { "bounds",
            {
                { "drain", bounds.drain.count() },
                { "stop_grace", bounds.stopGrace.count() },
                { "configuration", bounds.configuration.count() },
                { "revocation", bounds.revocation.count() },
                { "leadership", bounds.leadership.count() },
                { "usage_window", milliseconds(bounds.usageWindow) },
                { "usage_due", bounds.usageDue.count() },
                { "attempt_window", bounds.attemptWindow.count() },
                { "attempt_ratio", bounds.attemptRatio },
                { "attempt_slack", bounds.attemptSlack },
                { "quota_window", bounds.quotaWindow.count() },
                { "quota_excess", bounds.quotaExcess },
                { "quota_slack", bounds.quotaSlack },
                { "heartbeat", bounds.heartbeat.count() },
            } },
        { "load", { { "shared", settings.sharesLoad } } },
        { "admission", { { "enabled", settings.admission.enabled } } },
        { "log_level", settings.logLevel },
    };
    // Files without the section keep the digest that they had before the section existed.
    if (settings.zones)
        shared["zones"] = zonesJson(*settings.zones);
    // Left out while roll-outs are disabled, so that the digest of earlier settings files stays the same.
    if (bounds.exposureShare) {
        shared["bounds"]["exposure_share"] = *bounds.exposureShare;
        shared["bounds"]["exposure_slack"] = bounds.exposureSlack;
        shared["bounds"]["rollback"] = bounds.rollback.count();
    }
    return shared;
}

auto settingsDigest(const GatewaySettings& settings) -> std::uint64_t
{
    return hash64(sharedSettings(settings).dump());
}

auto digestText(std::uint64_t digest) -> std::string
{
    constexpr int digits = 2 * sizeof(digest);
    std::ostringstream text;
    text << std::hex << std::setw(digits) << std::setfill('0') << digest;
    return text.str();
}

auto fixedDifferences(const GatewaySettings& current, const GatewaySettings& next) -> std::vector<std::string>
{
    const std::pair<const char*, bool> fields[] = {
        { "/node/id", current.id == next.id },
        { "/node/zone", current.zone == next.zone },
        { "/node/region", current.region == next.region },
        { "/node/processor_share", current.processorShare == next.processorShare },
        { "/node/memory", current.memory == next.memory },
        { "/listen/callers", current.callers == next.callers },
        { "/listen/readiness", current.readiness == next.readiness },
        { "/listen/peers", current.peers == next.peers },
        { "/listen/operators", current.operators == next.operators },
        { "/systems/key_value_service", current.keyValueService == next.keyValueService },
        { "/systems/fleet_api", current.fleetApi == next.fleetApi },
        { "/load/shared", current.sharesLoad == next.sharesLoad },
        { "/admission/enabled", current.admission.enabled == next.admission.enabled },
        { "/intake/body_rate", current.intake.bodyRate == next.intake.bodyRate },
        { "/intake/body_time", current.intake.bodyTime == next.intake.bodyTime },
        { "/intake/descriptors", current.intake.descriptors == next.intake.descriptors },
        { "/log_level", current.logLevel == next.logLevel },
        { "/zones", current.zones == next.zones },
    };
    std::vector<std::string> paths;
    for (const auto& [path, isSame] : fields) {
        if (!isSame)
            paths.emplace_back(path);
    }
    return paths;
}

} // namespace Primrosefork
