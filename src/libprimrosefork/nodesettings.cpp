#include "nodesettings.h"

#include "jsonreader.h"
#include "units.h"

#include <algorithm>
#include <array>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t sha256HexDigits = 64;
constexpr std::array logLevels { "debug", "info", "warn", "error" };
constexpr std::array routingPolicies { "product", "round-robin", "least-outstanding", "least-reported-load" };

auto isHex(const std::string& text, std::size_t digits) -> bool
{
    return text.size() == digits && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

template <typename Names>
auto requireOneOf(JsonReader& reader, const std::string& key, const std::string& value, const Names& names) -> void
{
    if (std::find(names.begin(), names.end(), value) != names.end())
        return;
    std::string message = "expected one of";
    for (const auto* name : names)
        message += std::string(" ") + name;
    reader.report(key, message);
}

auto readNode(JsonReader& reader, NodeSettings& settings) -> void
{
    reader.string("id", settings.id);
    reader.string("zone", settings.zone);
    reader.string("region", settings.region);
}

auto readListen(JsonReader& reader, NodeSettings& settings) -> void
{
    reader.address("callers", settings.callers);
    reader.address("operators", settings.operators);
    reader.optionalAddress("peers", settings.peers);
}

auto readPlatform(JsonReader& reader, NodeSettings& settings) -> void
{
    reader.address("key_value_service", settings.keyValueService);
    reader.address("instance_list", settings.instanceList);
    reader.optionalAddress("cloud_api", settings.cloudApi);
}

auto readPeers(JsonReader& reader, NodeSettings& settings) -> void
{
    std::vector<std::string> seeds;
    reader.strings("seeds", seeds);
    for (const auto& seed : seeds) {
        const auto address = parseAddress(seed);
        if (!address)
            reader.report("seeds", "expected numeric addresses such as \"127.0.0.1:8080\"");
        else
            settings.peerSeeds.push_back(*address);
    }
    reader.objects("keys", [&settings](JsonReader& key) {
        PeerKey peerKey;
        key.integer("id", peerKey.id, 0, 255);
        key.string("secret", peerKey.secret);
        if (!isHex(peerKey.secret, sha256HexDigits))
            key.report("secret", "expected 64 lower-case hexadecimal digits");
        settings.peerKeys.push_back(std::move(peerKey));
    });
}

auto readLimits(JsonReader& reader, RequestLimits& limits) -> void
{
    reader.size("header_size", limits.headerBytes, 1024, mebibyte);
    reader.size("body_size", limits.bodyBytes, 1024, 64 * mebibyte);
    reader.size("answer_size", limits.answerBytes, 1024, 64 * mebibyte);
    reader.size("stream_buffer", limits.streamBufferBytes, 4096, 16 * mebibyte);
    reader.optionalInteger("open_requests", limits.openRequests, 1, 100'000);
    reader.duration("read_timeout", limits.readTimeout, 100ms, 10min);
    reader.duration("write_timeout", limits.writeTimeout, 100ms, 10min);
}

auto readTimeouts(JsonReader& reader, Timeouts& timeouts) -> void
{
    reader.duration("store", timeouts.store, 10ms, 1min);
    reader.duration("backend_connect", timeouts.backendConnect, 10ms, 1min);
    reader.duration("backend_first_byte", timeouts.backendFirstByte, 10ms, 1h);
    reader.duration("backend_idle", timeouts.backendIdle, 10ms, 1h);
    reader.duration("drain", timeouts.drain, 0ms, 1h);
    reader.duration("instance_poll", timeouts.instancePoll, 50ms, 1min);
    reader.duration("load_poll", timeouts.loadPoll, 50ms, 1min);
    reader.duration("notice_poll", timeouts.noticePoll, 50ms, 1min);
    reader.duration("watch", timeouts.watch, 100ms, 10min);
}

auto readClaims(JsonReader& reader, const Timeouts& timeouts, ClaimSettings& claims) -> void
{
    reader.duration("retention", claims.retention, 1s, 168h);
    reader.duration("wait", claims.wait, 10ms, 1min);
    reader.size("answer_size", claims.answerBytes, 0, 512 * kibibyte);
    if (reader.has("wait") && claims.wait < timeouts.store)
        reader.report("wait", "clashes with /timeouts/store: must not be shorter");
}

auto readOperators(JsonReader& reader, NodeSettings& settings) -> void
{
    reader.objects("operators", [&settings](JsonReader& entry) {
        OperatorCredential credential;
        entry.string("name", credential.name);
        entry.string("key_sha256", credential.keyHash);
        if (!isHex(credential.keyHash, sha256HexDigits))
            entry.report("key_sha256", "expected 64 lower-case hexadecimal digits");
        settings.operatorCredentials.push_back(std::move(credential));
    });
}

auto checkClashes(JsonReader& reader, const NodeSettings& settings) -> void
{
    if (settings.callers == settings.operators)
        reader.report("listen/operators", "clashes with /listen/callers: the same address");
    if (settings.peers.port != 0 && (settings.peers == settings.callers || settings.peers == settings.operators))
        reader.report("listen/peers", "clashes with another address of /listen");
    if (settings.peers.port != 0 && settings.peerKeys.empty())
        reader.report("peers/keys", "needed when /listen/peers is set");
    if (settings.timeouts.backendConnect > settings.timeouts.backendFirstByte)
        reader.report("timeouts/backend_connect", "clashes with /timeouts/backend_first_byte: must not be longer");
    if (settings.limits.headerBytes > settings.limits.bodyBytes)
        reader.report("limits/header_size", "clashes with /limits/body_size: must not be larger");
}

} // namespace

auto parseNodeSettings(std::string_view text, Findings& findings) -> NodeSettings
{
    NodeSettings settings;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        findings.push_back({ "", json.is_discarded() ? "not valid JSON" : "expected an object" });
        return settings;
    }

    JsonReader reader(json, "", findings);
    reader.object("node", [&settings](JsonReader& node) { readNode(node, settings); });
    reader.object("listen", [&settings](JsonReader& listen) { readListen(listen, settings); });
    reader.object("platform", [&settings](JsonReader& platform) { readPlatform(platform, settings); });
    reader.optionalObject("peers", [&settings](JsonReader& peers) { readPeers(peers, settings); });
    reader.optionalObject("limits", [&settings](JsonReader& limits) { readLimits(limits, settings.limits); });
    reader.optionalObject("timeouts", [&settings](JsonReader& timeouts) { readTimeouts(timeouts, settings.timeouts); });
    reader.optionalObject("claims", [&settings](JsonReader& claims) { readClaims(claims, settings.timeouts, settings.claims); });
    readOperators(reader, settings);
    reader.optionalString("routing_policy", settings.routingPolicy);
    requireOneOf(reader, "routing_policy", settings.routingPolicy, routingPolicies);
    reader.optionalString("log_level", settings.logLevel);
    requireOneOf(reader, "log_level", settings.logLevel, logLevels);
    checkClashes(reader, settings);
    reader.finish();
    return settings;
}

} // namespace Primrosefork
