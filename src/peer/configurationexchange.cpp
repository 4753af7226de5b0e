#include "configurationexchange.h"

#include "peerarchive.h"

#include <exception>
#include <sstream>
#include <utility>

using namespace std::chrono_literals;

namespace Primrosefork {

namespace {

constexpr auto clockTolerance = 60s;
constexpr unsigned bitsPerByte = 8;

template <typename Archive>
auto serializeRequest(Archive& archive, ConfigurationRequest& request) -> void
{
    serializeText<std::uint8_t>(archive, request.sender, ExchangeLimits::senderBytes);
    serializeText<std::uint8_t>(archive, request.nonce, ExchangeLimits::nonceBytes);
    serializeMilliseconds(archive, request.sentAt);
    archive(request.after);
}

template <typename Archive>
auto serializeEntry(Archive& archive, StoreEntry& entry) -> void
{
    serializeText<std::uint16_t>(archive, entry.key, ExchangeLimits::keyBytes);
    serializeText<std::uint32_t>(archive, entry.value, ExchangeLimits::valueBytes);
    archive(entry.revision);
}

template <typename Archive>
auto serializeListing(Archive& archive, StoreListing& listing) -> void
{
    archive(listing.revision);
    serializeList<std::uint16_t>(archive, listing.entries, ExchangeLimits::records, serializeEntry<Archive>);
}

template <typename Message, typename Serialize>
auto toBytes(Message& message, Serialize serialize) -> std::string
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream, cereal::PortableBinaryOutputArchive::Options::LittleEndian());
    serialize(archive, message);
    return std::move(stream).str();
}

template <typename Message, typename Serialize>
auto fromBytes(std::span<const std::uint8_t> body, Serialize serialize) -> std::optional<Message>
{
    try {
        std::istringstream stream(std::string(body.begin(), body.end()));
        cereal::PortableBinaryInputArchive archive(stream);
        Message message;
        serialize(archive, message);
        if (stream.peek() != std::istringstream::traits_type::eof())
            return std::nullopt;
        return message;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace

ConfigurationExchange::ConfigurationExchange(const std::vector<PeerKey>& keys)
    : keyring(keys)
{
}

auto ConfigurationExchange::encodeRequest(ConfigurationRequest request, const std::string& recipient) const -> std::vector<std::uint8_t>
{
    return this->keyring.sign(toBytes(request, [](auto& archive, auto& message) { serializeRequest(archive, message); }), "request " + recipient);
}

auto ConfigurationExchange::decodeRequest(std::span<const std::uint8_t> message, const std::string& recipient, WallTime now) const
    -> std::optional<ConfigurationRequest>
{
    if (this->keyring.verify(message, "request " + recipient) != SignatureVerdict::Authentic)
        return std::nullopt;
    auto request = fromBytes<ConfigurationRequest>(PeerKeyring::bodyOf(message), [](auto& archive, auto& content) { serializeRequest(archive, content); });
    if (request && (request->sentAt < now - clockTolerance || request->sentAt > now + clockTolerance))
        return std::nullopt;
    return request;
}

auto ConfigurationExchange::encodeAnswer(StoreListing listing, const std::string& nonce) const -> std::vector<std::uint8_t>
{
    return this->keyring.sign(toBytes(listing, [](auto& archive, auto& message) { serializeListing(archive, message); }), "answer " + nonce);
}

auto ConfigurationExchange::decodeAnswer(std::span<const std::uint8_t> message, const std::string& nonce) const -> std::optional<StoreListing>
{
    if (this->keyring.verify(message, "answer " + nonce) != SignatureVerdict::Authentic)
        return std::nullopt;
    return fromBytes<StoreListing>(PeerKeyring::bodyOf(message), [](auto& archive, auto& content) { serializeListing(archive, content); });
}

auto ConfigurationExchange::frame(std::span<const std::uint8_t> message) -> std::vector<std::uint8_t>
{
    std::vector<std::uint8_t> framed;
    framed.reserve(lengthBytes + message.size());
    for (std::size_t index = 0; index < lengthBytes; ++index)
        framed.push_back(static_cast<std::uint8_t>(message.size() >> (bitsPerByte * index)));
    framed.insert(framed.end(), message.begin(), message.end());
    return framed;
}

auto ConfigurationExchange::frameLength(std::span<const std::uint8_t> data) -> std::size_t
{
    std::size_t length = 0;
    for (std::size_t index = 0; index < lengthBytes; ++index)
        length |= static_cast<std::size_t>(data[index]) << (bitsPerByte * index);
    return length;
}

} // namespace Primrosefork
