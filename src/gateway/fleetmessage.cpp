#include "fleetmessage.h"

#include "loadmessage.h"
#include "overflowencoding.h"
#include "rolloutmessage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cereal/archives/portable_binary.hpp>
#include <cmath>
#include <exception>
#include <iterator>
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

// Numbers and times are brought into range both ways, so that what arrives is in range whatever another node sent.

constexpr double maxAmount = 1e15; ///< Bound of rates and sums of units, above any quota.
constexpr std::chrono::milliseconds maxTime = std::chrono::hours(876'000); ///< A hundred years, which every time type can hold.

/** Returns the number in the range from 0 to \a maximum that is next to \a amount, and 0 when it is not a number. */
auto limitedAmount(double amount, double maximum) -> double
{
    return std::isnan(amount) ? 0 : std::clamp(amount, 0.0, maximum);
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

template <typename Archive>
auto serializeFlag(Archive& archive, bool& flag) -> void
{
    // Only 0 and 1 are values of a bool.
    std::uint8_t wire = flag ? 1 : 0;
    archive(wire);
    flag = wire != 0;
}

template <typename Archive, typename Value>
auto serializeOptional(Archive& archive, std::optional<Value>& value) -> void
{
    auto isEmpty = !value.has_value();
    serializeFlag(archive, isEmpty);
    if (isEmpty)
        return value.reset();
    if (!value)
        value.emplace();
    archive(*value);
}

/** Serialises \a value, one of the enumerators up to \a last. */
template <typename Archive, typename Enumeration>
auto serializeEnumerator(Archive& archive, Enumeration& value, Enumeration last) -> void
{
    archive(value);
    if (Archive::is_loading::value && value > last)
        throw cereal::Exception("not an enumerator");
}

template <typename Wire = float, typename Archive, typename Value>
auto serializeAmount(Archive& archive, Value& value, double maximum = maxAmount) -> void
{
    auto wire = static_cast<Wire>(limitedAmount(value, maximum));
    archive(wire);
    value = static_cast<Value>(limitedAmount(wire, maximum));
}

/** Serialises \a time, which is not negative, in eight bytes. */
template <typename Archive>
auto serializeLongTime(Archive& archive, std::chrono::milliseconds& time) -> void
{
    auto count = std::clamp<std::int64_t>(time.count(), 0, maxTime.count());
    archive(count);
    time = std::chrono::milliseconds(std::clamp<std::int64_t>(count, 0, maxTime.count()));
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
    serializeAmount(archive, value.inShortSpan);
    serializeAmount(archive, value.inMiddleSpan);
    serializeAmount(archive, value.inWindow);
}

template <typename Archive>
static auto serialize(Archive& archive, WorkspaceReport& value) -> void
{
    auto hasLocalGrants = value.locallyGrantedUnits > 0;
    auto hasRecentUse = value.recentUse.inWindow > 0;
    serializeText(archive, value.workspace);
    serializeAmount(archive, value.requestedPerSecond);
    serializeFlag(archive, hasLocalGrants);
    serializeFlag(archive, hasRecentUse);
    if (hasLocalGrants)
        serializeAmount<double>(archive, value.locallyGrantedUnits);
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
    serializeAmount(archive, value.readTokensPerSecond);
    serializeAmount(archive, value.engineTokensPerSecond);
    serializeAs<std::uint32_t>(archive, value.openRequests);
    serializeAs<std::uint32_t>(archive, value.waitingRequests);
    serializeAs<std::uint32_t>(archive, value.openStreams);
    serializeAmount(archive, value.requestsPerSecond);
    serializeAmount(archive, value.promptTokensPerSecond);
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
    archive(value.part);
    serializeFlag(archive, hasAge);
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
static auto serialize(Archive& archive, LimitStatement& value) -> void
{
    archive(value.server);
    serializeAmount(archive, value.perSecond, ServerLimits::maxPerSecond);
    serializeTime(archive, value.age);
}

template <typename Archive>
static auto serialize(Archive& archive, ServerPermits& value) -> void
{
    archive(value.server, value.count);
}

/** Serialises \a value as one text, which is empty when it is not set. */
template <typename Archive>
static auto serializeOverflow(Archive& archive, std::optional<std::vector<OverflowShare>>& value) -> void
{
    auto bytes = value ? encodeOverflow(*value) : std::string();
    serializeText(archive, bytes);
    const auto isSet = !bytes.empty();
    value = isSet ? decodeOverflow(bytes) : std::nullopt;
    if (isSet && !value)
        throw cereal::Exception("not overflow shares");
}

template <typename Archive>
static auto serialize(Archive& archive, NodeReport& value) -> void
{
    serializeLongTime(archive, value.upTime);
    archive(value.term);
    serializeText(archive, value.zone);
    serializeAmount(archive, value.processorShare);
    archive(value.settingsDigest, value.configurationRevision);
    serializeList(archive, value.workspaces);
    serializeList(archive, value.windows);
    serializeList(archive, value.services);
    serializeList(archive, value.prompts);
    serializeList(archive, value.limits);
    archive(value.limitsDigest);
    serializeOverflow(archive, value.overflow);
    serializeList(archive, value.rollouts);
}

template <typename Archive>
static auto serialize(Archive& archive, QuotaShare& value) -> void
{
    serializeText(archive, value.workspace);
    serializeAmount(archive, value.share, 1);
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
    archive(value.nodes, value.term, value.reportSequence, value.configurationRevision);
    serializeLongTime(archive, value.configurationAge);
    archive(value.registryRevision);
    serializeLongTime(archive, value.registryAge);
    serializeAmount<double>(archive, value.otherShare, 1);
    serializeList(archive, value.shares);
    serializeList(archive, value.streamEngines);
    serializeList(archive, value.observers);
    serializeList(archive, value.prompts);
    serializeFlag(archive, value.hasAllQuarantines);
    serializeList(archive, value.permits);
    serializeFlag(archive, value.hasLimits);
    serializeFlag(archive, value.hasAllLimits);
    serializeList(archive, value.limits);
    serializeOverflow(archive, value.overflow);
    serializeFlag(archive, value.hasAllRollouts);
    serializeList(archive, value.rollouts);
}

template <typename Archive>
static auto serialize(Archive& archive, QuotaRequest& value) -> void
{
    archive(value.number);
    serializeText(archive, value.workspace);
    serializeAmount<double>(archive, value.units);
}

template <typename Archive>
static auto serialize(Archive& archive, QuotaReply& value) -> void
{
    archive(value.number);
    serializeEnumerator(archive, value.verdict, QuotaVerdict::NoAccount);
    serializeLongTime(archive, value.wait);
}

template <typename Archive>
static auto serialize(Archive& archive, StoreEntry& value) -> void
{
    serializeText(archive, value.key);
    serializeText(archive, value.value);
    archive(value.revision);
    serializeFlag(archive, value.isDeleted);
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
    serializeEnumerator(archive, value.topic, RelayTopic::Leader);
    archive(value.upTo);
    serializeFlag(archive, value.hasMore);
    serializeLongTime(archive, value.age);
    auto hasNoOutage = !value.sinceRecovery.has_value();
    auto sinceRecovery = value.sinceRecovery.value_or(std::chrono::milliseconds(0));
    serializeFlag(archive, hasNoOutage);
    if (!hasNoOutage)
        serializeLongTime(archive, sinceRecovery);
    value.sinceRecovery = hasNoOutage ? std::nullopt : std::optional(sinceRecovery);
    serializeList(archive, value.entries);
}

template <typename Archive>
static auto serialize(Archive& archive, RelayReply& value) -> void
{
    archive(value.number, value.configurationRevision);
    serializeLongTime(archive, value.configurationAge);
    serializeFlag(archive, value.isFollowing);
    serializeList(archive, value.parts);
}

template <typename Archive>
static auto serialize(Archive& archive, FleetMessage& value) -> void
{
    serializeText(archive, value.sender);
    archive(value.session, value.sequence);
    serializeOptional(archive, value.report);
    serializeOptional(archive, value.answer);
    serializeOptional(archive, value.quotaRequest);
    serializeOptional(archive, value.quotaReply);
    serializeOptional(archive, value.relayRequest);
    serializeOptional(archive, value.relayReply);
}

auto encodeFleetMessage(const FleetMessage& message) -> std::string
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    // One function serialises both ways, so it takes the message by a reference that it may write to.
    auto copy = message;
    archive(copy);
    const auto plain = std::move(stream).str() + encodeLoads(message);
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
        const std::string rest { std::istreambuf_iterator<char>(stream), {} };
        return decodeLoads(rest, message) ? std::optional(std::move(message)) : std::nullopt;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace Primrosefork
