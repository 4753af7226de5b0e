#include "peerkeyring.h"

#include <algorithm>
#include <sodium.h>

namespace Primrosefork {

namespace {

constexpr unsigned bitsPerByte = 8;

auto readKeyId(std::span<const std::uint8_t> message) -> std::uint32_t
{
    std::uint32_t id = 0;
    for (std::size_t index = 0; index < PeerKeyring::keyIdBytes; ++index)
        id |= static_cast<std::uint32_t>(message[index]) << (bitsPerByte * index);
    return id;
}

auto writeKeyId(std::vector<std::uint8_t>& message, std::uint32_t id) -> void
{
    for (std::size_t index = 0; index < PeerKeyring::keyIdBytes; ++index)
        message.push_back(static_cast<std::uint8_t>(id >> (bitsPerByte * index)));
}

} // namespace

PeerKeyring::PeerKeyring(const std::vector<PeerKey>& peerKeys)
{
    for (const auto& peerKey : peerKeys) {
        Key key { static_cast<std::uint32_t>(peerKey.id), {} };
        sodium_hex2bin(key.secret.data(), key.secret.size(), peerKey.secret.data(), peerKey.secret.size(), nullptr, nullptr, nullptr);
        this->keys.push_back(key);
    }
}

auto PeerKeyring::sign(std::string_view body, std::string_view context) const -> std::vector<std::uint8_t>
{
    if (this->keys.empty())
        return {};
    const auto& key = this->keys.front();
    std::vector<std::uint8_t> message;
    message.reserve(keyIdBytes + body.size() + tagBytes);
    writeKeyId(message, key.id);
    message.insert(message.end(), body.begin(), body.end());
    const auto tag = makeTag(message, context, key.secret);
    message.insert(message.end(), tag.begin(), tag.end());
    return message;
}

auto PeerKeyring::verify(std::span<const std::uint8_t> message, std::string_view context) const -> SignatureVerdict
{
    if (message.size() <= keyIdBytes + tagBytes)
        return SignatureVerdict::Malformed;
    const auto id = readKeyId(message);
    const auto key = std::find_if(this->keys.begin(), this->keys.end(), [id](const Key& candidate) { return candidate.id == id; });
    if (key == this->keys.end())
        return SignatureVerdict::UnknownKey;
    const auto tag = makeTag(message.first(message.size() - tagBytes), context, key->secret);
    const auto isEqual = sodium_memcmp(tag.data(), message.last(tagBytes).data(), tagBytes) == 0;
    return isEqual ? SignatureVerdict::Authentic : SignatureVerdict::NotAuthentic;
}

auto PeerKeyring::bodyOf(std::span<const std::uint8_t> message) -> std::span<const std::uint8_t>
{
    return message.subspan(keyIdBytes, message.size() - keyIdBytes - tagBytes);
}

auto PeerKeyring::makeTag(std::span<const std::uint8_t> signedPart, std::string_view context, const Secret& secret) -> Tag
{
    Tag tag {};
    crypto_generichash_state state;
    crypto_generichash_init(&state, secret.data(), secret.size(), tag.size());
    crypto_generichash_update(&state, signedPart.data(), signedPart.size());
    crypto_generichash_update(&state, reinterpret_cast<const unsigned char*>(context.data()), context.size());
    crypto_generichash_final(&state, tag.data(), tag.size());
    return tag;
}

} // namespace Primrosefork
