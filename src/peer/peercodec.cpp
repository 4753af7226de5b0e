#include "peercodec.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <exception>
#include <sodium.h>
#include <sstream>
#include <stdexcept>
#include <string>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr std::size_t keyIdBytes = 4;
constexpr std::size_t tagBytes = crypto_generichash_BYTES_MIN;
constexpr auto clockTolerance = 60s;
constexpr std::chrono::milliseconds longestNotice = 1h;

using Tag = std::array<std::uint8_t, tagBytes>;

template <typename Archive>
auto serializeText(Archive& archive, std::string& text) -> void
{
    auto size = static_cast<std::uint8_t>(std::min(text.size(), PeerLimits::textBytes));
    archive(size);
    if (size > PeerLimits::textBytes)
        throw std::length_error("text");
    text.resize(size);
    archive(cereal::binary_data(text.data(), size));
}

template <typename Archive, typename Item, typename Serialize>
auto serializeList(Archive& archive, std::vector<Item>& items, std::size_t limit, Serialize serialize) -> void
{
    auto size = static_cast<std::uint8_t>(std::min(items.size(), limit));
    archive(size);
    if (size > limit)
        throw std::length_error("list");
    items.resize(size);
    for (auto& item : items)
        serialize(archive, item);
}

template <typename Archive>
auto serializeAddress(Archive& archive, Address& address) -> void
{
    in_addr number {};
    inet_pton(AF_INET, address.ip.c_str(), &number);
    auto ip = ntohl(number.s_addr);
    archive(ip, address.port);
    number.s_addr = htonl(ip);
    std::array<char, INET_ADDRSTRLEN> text {};
    address.ip = ip == 0 ? "" : inet_ntop(AF_INET, &number, text.data(), text.size());
}

template <typename Archive>
auto serializeMilliseconds(Archive& archive, std::chrono::milliseconds& time) -> void
{
    auto count = static_cast<std::int64_t>(time.count());
    archive(count);
    time = std::chrono::milliseconds(count);
}

template <typename Archive>
auto serializePeer(Archive& archive, Peer& peer) -> void
{
    serializeText(archive, peer.id);
    serializeAddress(archive, peer.address);
    serializeText(archive, peer.zone);
    serializeText(archive, peer.region);
    auto state = static_cast<std::uint8_t>(peer.state);
    archive(state, peer.incarnation, peer.configurationRevision);
    if (state > static_cast<std::uint8_t>(PeerState::Left) || peer.id.empty())
        throw std::out_of_range("peer");
    peer.state = static_cast<PeerState>(state);
}

template <typename Archive>
auto serializeNotice(Archive& archive, PeerNotice& notice) -> void
{
    serializeText(archive, notice.instanceId);
    serializeMilliseconds(archive, notice.remaining);
    if (notice.instanceId.empty() || notice.remaining < 0ms || notice.remaining > longestNotice)
        throw std::out_of_range("notice");
}

template <typename Archive>
auto serializeMessage(Archive& archive, DatagramStamp& stamp, PeerMessage& message) -> void
{
    auto kind = static_cast<std::uint8_t>(message.kind);
    archive(kind);
    if (kind > static_cast<std::uint8_t>(PeerMessageKind::Sync))
        throw std::out_of_range("kind");
    message.kind = static_cast<PeerMessageKind>(kind);
    serializeText(archive, message.sender);
    archive(stamp.session, stamp.sequence);
    serializeMilliseconds(archive, stamp.sentAt);
    archive(message.probe);
    serializeText(archive, message.target);
    if (message.kind == PeerMessageKind::PingRequest)
        serializeAddress(archive, message.targetAddress);
    archive(message.liveHash, message.ownRevision, message.newestRevision);
    serializeList(archive, message.confirmations, PeerLimits::confirmationBytes, [](Archive& inner, std::uint8_t& bits) { inner(bits); });
    serializeList(archive, message.records, PeerLimits::records, serializePeer<Archive>);
    serializeList(archive, message.notices, PeerLimits::notices, serializeNotice<Archive>);
}

auto makeTag(std::span<const std::uint8_t> signedPart, const Address& recipient, const PeerCodec::Secret& secret) -> Tag
{
    const auto address = recipient.toString();
    Tag tag {};
    crypto_generichash_state state;
    crypto_generichash_init(&state, secret.data(), secret.size(), tag.size());
    crypto_generichash_update(&state, signedPart.data(), signedPart.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(address.data()), address.size());
    crypto_generichash_final(&state, tag.data(), tag.size());
    return tag;
}

auto toBytes(DatagramStamp stamp, PeerMessage& message) -> std::string
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    serializeMessage(archive, stamp, message);
    return std::move(stream).str();
}

/** Takes away what may come with a later datagram, until the message fits. */
auto toBytesThatFit(const DatagramStamp& stamp, PeerMessage& message) -> std::string
{
    constexpr auto limit = PeerLimits::datagramBytes - keyIdBytes - tagBytes;
    auto body = toBytes(stamp, message);
    while (body.size() > limit && (!message.records.empty() || !message.notices.empty())) {
        if (message.records.empty())
            message.notices.pop_back();
        else
            message.records.pop_back();
        body = toBytes(stamp, message);
    }
    return body;
}

/** A datagram that passed the checks of its form. */
struct ParsedMessage {
    DatagramStamp stamp;
    PeerMessage message;
};

auto parse(std::span<const std::uint8_t> body) -> std::optional<ParsedMessage>
{
    try {
        std::istringstream stream(std::string(body.begin(), body.end()));
        cereal::PortableBinaryInputArchive archive(stream);
        ParsedMessage parsed;
        serializeMessage(archive, parsed.stamp, parsed.message);
        if (parsed.message.sender.empty() || stream.peek() != std::istringstream::traits_type::eof())
            return std::nullopt;
        return parsed;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

auto readKeyId(std::span<const std::uint8_t> datagram) -> std::uint32_t
{
    std::uint32_t id = 0;
    for (std::size_t index = 0; index < keyIdBytes; ++index)
        id |= static_cast<std::uint32_t>(datagram[index]) << (8 * index);
    return id;
}

auto writeKeyId(std::vector<std::uint8_t>& datagram, std::uint32_t id) -> void
{
    for (std::size_t index = 0; index < keyIdBytes; ++index)
        datagram.push_back(static_cast<std::uint8_t>(id >> (8 * index)));
}

} // namespace

PeerCodec::PeerCodec(const Address& self, std::uint64_t session, const std::vector<PeerKey>& peerKeys)
    : self(self)
    , session(session)
    , guard(clockTolerance)
{
    for (const auto& peerKey : peerKeys) {
        Key key { static_cast<std::uint32_t>(peerKey.id), {} };
        sodium_hex2bin(key.secret.data(), key.secret.size(), peerKey.secret.data(), peerKey.secret.size(), nullptr, nullptr, nullptr);
        this->keys.push_back(key);
    }
}

auto PeerCodec::encode(PeerMessage message, const Address& recipient, WallTime now) -> std::vector<std::uint8_t>
{
    if (this->keys.empty())
        return {};
    const auto& key = this->keys.front();
    const auto body = toBytesThatFit({ this->session, ++this->sequence, now }, message);
    std::vector<std::uint8_t> datagram;
    datagram.reserve(keyIdBytes + body.size() + tagBytes);
    writeKeyId(datagram, key.id);
    datagram.insert(datagram.end(), body.begin(), body.end());
    const auto tag = makeTag(datagram, recipient, key.secret);
    datagram.insert(datagram.end(), tag.begin(), tag.end());
    return datagram;
}

auto PeerCodec::decode(std::span<const std::uint8_t> datagram, WallTime now) -> std::optional<PeerMessage>
{
    if (datagram.size() <= keyIdBytes + tagBytes || datagram.size() > PeerLimits::datagramBytes) {
        ++this->received.malformed;
        return std::nullopt;
    }
    const auto* key = this->findKey(readKeyId(datagram));
    if (!key) {
        ++this->received.unknownKey;
        return std::nullopt;
    }
    const auto signedPart = datagram.first(datagram.size() - tagBytes);
    const auto tag = makeTag(signedPart, this->self, key->secret);
    if (sodium_memcmp(tag.data(), datagram.last(tagBytes).data(), tagBytes) != 0) {
        ++this->received.notAuthentic;
        return std::nullopt;
    }
    auto parsed = parse(signedPart.subspan(keyIdBytes));
    if (!parsed) {
        ++this->received.malformed;
        return std::nullopt;
    }
    if (!this->admit(parsed->message, parsed->stamp, now))
        return std::nullopt;
    ++this->received.accepted;
    return std::move(parsed->message);
}

auto PeerCodec::findKey(std::uint32_t id) const -> const Key*
{
    const auto found = std::find_if(this->keys.begin(), this->keys.end(), [id](const Key& key) { return key.id == id; });
    return found == this->keys.end() ? nullptr : &*found;
}

auto PeerCodec::admit(const PeerMessage& message, const DatagramStamp& stamp, WallTime now) -> bool
{
    switch (this->guard.admit(message.sender, stamp, now)) {
    case ReplayVerdict::Fresh:
        return true;
    case ReplayVerdict::Old:
        ++this->received.old;
        return false;
    case ReplayVerdict::Replayed:
        ++this->received.replayed;
        return false;
    }
    return false;
}

} // namespace Primrosefork
