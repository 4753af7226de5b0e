#include "fleetmessage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <exception>
#include <limits>
#include <map>
#include <sstream>
#include <zlib.h>

namespace Primrosefork {

namespace {

constexpr std::size_t minCompressedBytes = 700; ///< Smaller messages fit into one packet as they are.
constexpr std::size_t maxMessageBytes = 1'048'576; ///< Largest size of a message before compression.

/** The first byte of an encoded message. */
enum class Encoding : std::uint8_t {
    Plain,
    Deflated, ///< Followed by the size of the plain message in four bytes, least significant first.
};

constexpr std::size_t sizeBytes = 4;
constexpr unsigned bitsPerByte = 8;

auto deflateText(const std::string& plain) -> std::string
{
    auto size = compressBound(plain.size());
    std::string text(1 + sizeBytes + size, '\0');
    text[0] = static_cast<char>(Encoding::Deflated);
    for (std::size_t index = 0; index < sizeBytes; ++index)
        text[1 + index] = static_cast<char>(plain.size() >> (bitsPerByte * index));
    compress2(reinterpret_cast<Bytef*>(text.data() + 1 + sizeBytes), &size, reinterpret_cast<const Bytef*>(plain.data()), plain.size(), Z_BEST_SPEED);
    text.resize(1 + sizeBytes + size);
    return text;
}

auto inflateText(std::string_view text) -> std::optional<std::string>
{
    if (text.size() < sizeBytes)
        return std::nullopt;
    uLongf size = 0;
    for (std::size_t index = 0; index < sizeBytes; ++index)
        size |= static_cast<uLongf>(static_cast<std::uint8_t>(text[index])) << (bitsPerByte * index);
    if (size > maxMessageBytes)
        return std::nullopt;
    std::string plain(size, '\0');
    const auto result = uncompress(reinterpret_cast<Bytef*>(plain.data()), &size, reinterpret_cast<const Bytef*>(text.data() + sizeBytes), text.size() - sizeBytes);
    return result == Z_OK && size == plain.size() ? std::optional(std::move(plain)) : std::nullopt;
}

// Sizes are 16 bits wide, since most texts and lists are short and messages are frequent.

constexpr std::size_t maxSize = std::numeric_limits<std::uint16_t>::max();

template <typename Archive>
auto serializeSize(Archive& archive, std::size_t present) -> std::size_t
{
    auto size = static_cast<std::uint16_t>(std::min(present, maxSize));
    archive(size);
    return size;
}

template <typename Archive>
auto serializeText(Archive& archive, std::string& text) -> void
{
    text.resize(serializeSize(archive, text.size()));
    archive(cereal::binary_data(text.data(), text.size()));
}

template <typename Archive, typename Item>
auto serializeList(Archive& archive, std::vector<Item>& list) -> void
{
    list.resize(serializeSize(archive, list.size()));
    for (auto& item : list)
        archive(item);
}

/** Serialises \a value as the smaller type \a Wire. */
template <typename Wire, typename Archive, typename Value>
auto serializeAs(Archive& archive, Value& value) -> void
{
    auto wire = static_cast<Wire>(value);
    archive(wire);
    value = static_cast<Value>(wire);
}

/** Serialises \a time, which is not negative and at most 49 days, in four bytes. */
template <typename Archive>
auto serializeTime(Archive& archive, std::chrono::milliseconds& time) -> void
{
    auto count = time.count();
    serializeAs<std::uint32_t>(archive, count);
    time = std::chrono::milliseconds(count);
}

} // namespace

// cereal finds these functions by argument-dependent lookup, so they are in the namespace of the types.

template <typename Archive>
static auto serialize(Archive& archive, Address& value) -> void
{
    std::array<std::uint8_t, sizeof(in_addr)> bytes {};
    inet_pton(AF_INET, value.ip.c_str(), bytes.data());
    archive(bytes[0], bytes[1], bytes[2], bytes[3], value.port);
    std::array<char, INET_ADDRSTRLEN> text {};
    inet_ntop(AF_INET, bytes.data(), text.data(), text.size());
    value.ip = text.data();
}

template <typename Archive>
static auto serialize(Archive& archive, RecentUse& value) -> void
{
    serializeAs<float>(archive, value.inShortSpan);
    serializeAs<float>(archive, value.inMiddleSpan);
    serializeAs<float>(archive, value.inWindow);
}

template <typename Archive>
static auto serialize(Archive& archive, WorkspaceReport& value) -> void
{
    auto hasLocalGrants = value.locallyGrantedUnits > 0;
    auto hasRecentUse = value.recentUse.inWindow > 0;
    serializeText(archive, value.workspace);
    archive(value.requestedPerSecond, hasLocalGrants, hasRecentUse);
    if (hasLocalGrants)
        archive(value.locallyGrantedUnits);
    if (hasRecentUse)
        archive(value.recentUse);
}

template <typename Archive>
static auto serialize(Archive& archive, WindowReport& value) -> void
{
    archive(value.window);
    std::vector<std::pair<std::string, std::uint64_t>> counts(value.counts.begin(), value.counts.end());
    counts.resize(serializeSize(archive, counts.size()));
    for (auto& [workspace, count] : counts) {
        serializeText(archive, workspace);
        serializeAs<std::uint32_t>(archive, count);
    }
    value.counts = UsageCounts(counts.begin(), counts.end());
}

template <typename Archive>
static auto serialize(Archive& archive, ServiceReport& value) -> void
{
    serializeText(archive, value.service);
    serializeAs<float>(archive, value.readTokensPerSecond);
    serializeAs<float>(archive, value.engineTokensPerSecond);
    serializeAs<std::uint32_t>(archive, value.openRequests);
    serializeAs<std::uint32_t>(archive, value.waitingRequests);
    serializeAs<std::uint32_t>(archive, value.openStreams);
}

template <typename Archive>
static auto serialize(Archive& archive, PromptLoss& value) -> void
{
    archive(value.server);
    serializeTime(archive, value.age);
}

template <typename Archive>
static auto serialize(Archive& archive, PromptSuspect& value) -> void
{
    archive(value.part, value.position);
    serializeList(archive, value.losses);
}

template <typename Archive>
static auto serialize(Archive& archive, ServerCrash& value) -> void
{
    archive(value.server, value.losses);
    serializeTime(archive, value.age);
}

template <typename Archive>
static auto serialize(Archive& archive, PromptBegin& value) -> void
{
    auto hasAge = value.age.has_value();
    archive(value.part, hasAge);
    if (!hasAge)
        return;
    auto age = value.age.value_or(std::chrono::milliseconds(0));
    serializeTime(archive, age);
    value.age = age;
}

template <typename Archive>
static auto serialize(Archive& archive, QuarantinedPart& value) -> void
{
    archive(value.part);
    serializeTime(archive, value.left);
}

template <typename Archive>
static auto serialize(Archive& archive, PromptEvidence& value) -> void
{
    serializeText(archive, value.service);
    serializeList(archive, value.begun);
    serializeList(archive, value.lost);
    serializeList(archive, value.crashes);
    serializeList(archive, value.suspects);
    serializeList(archive, value.begins);
    serializeList(archive, value.quarantined);
}

template <typename Archive>
static auto serialize(Archive& archive, PromptVerdict& value) -> void
{
    serializeText(archive, value.service);
    serializeList(archive, value.questioned);
    serializeList(archive, value.quarantined);
}

template <typename Archive>
static auto serialize(Archive& archive, NodeReport& value) -> void
{
    archive(value.upTime, value.term);
    serializeText(archive, value.zone);
    serializeAs<float>(archive, value.processorShare);
    archive(value.settingsDigest, value.configurationRevision);
    serializeList(archive, value.workspaces);
    serializeList(archive, value.windows);
    serializeList(archive, value.services);
    serializeList(archive, value.prompts);
}

template <typename Archive>
static auto serialize(Archive& archive, QuotaShare& value) -> void
{
    serializeText(archive, value.workspace);
    serializeAs<float>(archive, value.share);
}

template <typename Archive>
static auto serialize(Archive& archive, StreamEngines& value) -> void
{
    serializeText(archive, value.service);
    serializeAs<std::uint32_t>(archive, value.count);
}

template <typename Archive>
static auto serialize(Archive& archive, FleetAnswer& value) -> void
{
    archive(value.nodes, value.term, value.reportSequence, value.configurationRevision, value.configurationAge, value.registryRevision, value.registryAge, value.otherShare);
    serializeList(archive, value.shares);
    serializeList(archive, value.streamEngines);
    serializeList(archive, value.observers);
    serializeList(archive, value.prompts);
    archive(value.hasAllQuarantines);
}

template <typename Archive>
static auto serialize(Archive& archive, QuotaRequest& value) -> void
{
    archive(value.number);
    serializeText(archive, value.workspace);
    archive(value.units);
}

template <typename Archive>
static auto serialize(Archive& archive, QuotaReply& value) -> void
{
    archive(value.number, value.verdict, value.wait);
}

template <typename Archive>
static auto serialize(Archive& archive, StoreEntry& value) -> void
{
    serializeText(archive, value.key);
    serializeText(archive, value.value);
    archive(value.revision, value.isDeleted);
}

template <typename Archive>
static auto serialize(Archive& archive, RelayRequest& value) -> void
{
    archive(value.number);
    serializeList(archive, value.positions);
    serializeList(archive, value.digests);
}

template <typename Archive>
static auto serialize(Archive& archive, RelayPart& value) -> void
{
    archive(value.topic, value.upTo, value.hasMore, value.age, value.sinceRecovery);
    serializeList(archive, value.entries);
}

template <typename Archive>
static auto serialize(Archive& archive, RelayReply& value) -> void
{
    archive(value.number, value.configurationRevision, value.configurationAge, value.isFollowing);
    serializeList(archive, value.parts);
}

template <typename Archive>
static auto serialize(Archive& archive, FleetMessage& value) -> void
{
    serializeText(archive, value.sender);
    archive(value.session, value.sequence, value.report, value.answer, value.quotaRequest, value.quotaReply, value.relayRequest, value.relayReply);
}

auto encodeFleetMessage(const FleetMessage& message) -> std::string
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    // One function serialises both ways, so it takes the message by a reference that it may write to.
    auto copy = message;
    archive(copy);
    const auto plain = std::move(stream).str();
    return plain.size() < minCompressedBytes ? std::string(1, static_cast<char>(Encoding::Plain)) + plain : deflateText(plain);
}

auto decodeFleetMessage(std::string_view bytes) -> std::optional<FleetMessage>
{
    if (bytes.empty())
        return std::nullopt;
    std::optional<std::string> plain;
    if (bytes.front() == static_cast<char>(Encoding::Plain))
        plain = std::string(bytes.substr(1));
    else if (bytes.front() == static_cast<char>(Encoding::Deflated))
        plain = inflateText(bytes.substr(1));
    if (!plain)
        return std::nullopt;
    try {
        std::istringstream stream { std::move(*plain) };
        cereal::PortableBinaryInputArchive archive(stream);
        FleetMessage message;
        archive(message);
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace Primrosefork
