#include "peercodec.h"

#include "peerarchive.h"

#include <algorithm>
#include <arpa/inet.h>
#include <exception>
#include <sstream>
#include <stdexcept>
#include <string>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto clockTolerance = 60s;
constexpr std::chrono::milliseconds maxNoticeTime = 1h;

template <typename Archive>
auto serializeName(Archive& archive, std::string& name) -> void
{
    serializeText<std::uint8_t>(archive, name, PeerLimits::textBytes);
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
auto serializePeer(Archive& archive, Peer& peer) -> void
{
    serializeName(archive, peer.id);
    serializeAddress(archive, peer.address);
    serializeName(archive, peer.zone);
    serializeName(archive, peer.region);
    auto state = static_cast<std::uint8_t>(peer.state);
    archive(state, peer.incarnation, peer.configurationRevision);
    if (state > static_cast<std::uint8_t>(PeerState::Left) || peer.id.empty())
        throw std::out_of_range("peer record has no id or an undefined state");
    peer.state = static_cast<PeerState>(state);
}

template <typename Archive>
auto serializeNotice(Archive& archive, PeerNotice& notice) -> void
{
    serializeName(archive, notice.instanceId);
    serializeMilliseconds(archive, notice.remaining);
    if (notice.instanceId.empty() || notice.remaining < 0ms || notice.remaining > maxNoticeTime)
        throw std::out_of_range("notice has no instance id or its deadline is not within 1 h");
}

template <typename Archive>
auto serializeMessage(Archive& archive, DatagramStamp& stamp, PeerMessage& message) -> void
{
    auto kind = static_cast<std::uint8_t>(message.kind);
    archive(kind);
    if (kind > static_cast<std::uint8_t>(PeerMessageKind::Sync))
        throw std::out_of_range("message kind is not defined");
    message.kind = static_cast<PeerMessageKind>(kind);
    serializeName(archive, message.sender);
    archive(stamp.session, stamp.sequence);
    serializeMilliseconds(archive, stamp.sentAt);
    archive(message.probe);
    serializeName(archive, message.target);
    if (message.kind == PeerMessageKind::PingRequest)
        serializeAddress(archive, message.targetAddress);
    archive(message.liveHash, message.ownRevision, message.newestRevision);
    serializeList<std::uint8_t>(archive, message.confirmations, PeerLimits::confirmationBytes, [](Archive& inner, std::uint8_t& bits) { inner(bits); });
    serializeList<std::uint8_t>(archive, message.records, PeerLimits::records, serializePeer<Archive>);
    serializeList<std::uint8_t>(archive, message.notices, PeerLimits::notices, serializeNotice<Archive>);
}

auto toBytes(DatagramStamp stamp, PeerMessage& message) -> std::string
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    serializeMessage(archive, stamp, message);
    return std::move(stream).str();
}

/** Returns \a message encoded, without the last records, then notices, that exceed the datagram size; they can follow in later datagrams. */
auto toLimitedBytes(const DatagramStamp& stamp, PeerMessage& message) -> std::string
{
    constexpr auto limit = PeerLimits::datagramBytes - PeerKeyring::keyIdBytes - PeerKeyring::tagBytes;
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

/** A decoded message with the stamp of its datagram. */
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

} // namespace

PeerCodec::PeerCodec(const Address& self, std::uint64_t session, const std::vector<PeerKey>& keys)
    : self(self)
    , session(session)
    , keyring(keys)
    , guard(clockTolerance)
{
}

auto PeerCodec::encode(PeerMessage message, const Address& recipient, WallTime now) -> std::vector<std::uint8_t>
{
    const auto body = toLimitedBytes({ this->session, ++this->sequence, now }, message);
    return this->keyring.sign(body, recipient.toString());
}

auto PeerCodec::decode(std::span<const std::uint8_t> datagram, WallTime now) -> std::optional<PeerMessage>
{
    if (!this->verify(datagram))
        return std::nullopt;
    auto parsed = parse(PeerKeyring::bodyOf(datagram));
    if (!parsed) {
        ++this->receivedCounts.malformed;
        return std::nullopt;
    }
    if (!this->admit(parsed->message, parsed->stamp, now))
        return std::nullopt;
    ++this->receivedCounts.accepted;
    return std::move(parsed->message);
}

auto PeerCodec::verify(std::span<const std::uint8_t> datagram) -> bool
{
    const auto isTooLong = datagram.size() > PeerLimits::datagramBytes;
    switch (isTooLong ? SignatureVerdict::Malformed : this->keyring.verify(datagram, this->self.toString())) {
    case SignatureVerdict::Authentic:
        return true;
    case SignatureVerdict::Malformed:
        ++this->receivedCounts.malformed;
        return false;
    case SignatureVerdict::UnknownKey:
        ++this->receivedCounts.unknownKey;
        return false;
    case SignatureVerdict::NotAuthentic:
        ++this->receivedCounts.notAuthentic;
        return false;
    }
    return false;
}

auto PeerCodec::admit(const PeerMessage& message, const DatagramStamp& stamp, WallTime now) -> bool
{
    switch (this->guard.admit(message.sender, stamp, now)) {
    case ReplayVerdict::Fresh:
        return true;
    case ReplayVerdict::Old:
        ++this->receivedCounts.old;
        return false;
    case ReplayVerdict::Replayed:
        ++this->receivedCounts.replayed;
        return false;
    }
    return false;
}

} // namespace Primrosefork
