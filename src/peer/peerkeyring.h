#pragma once

#include "nodesettings.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace Primrosefork {

/** Result of the signature check of a message. */
enum class SignatureVerdict {
    Authentic,
    Malformed,
    UnknownKey,
    NotAuthentic,
};

/**
 * Signs and verifies messages with the keys that the nodes share. A signed
 * message consists of the key id, the body, and a keyed BLAKE2b hash over both
 * and a context that is not sent.
 */
class PeerKeyring {
public:
    static constexpr std::size_t keyIdBytes = 4;
    static constexpr std::size_t tagBytes = 16;

    explicit PeerKeyring(const std::vector<PeerKey>&);

    /** Returns \a body signed with the first key, or an empty message if there is no key. */
    [[nodiscard]] auto sign(std::string_view body, std::string_view context) const -> std::vector<std::uint8_t>;

    [[nodiscard]] auto verify(std::span<const std::uint8_t> message, std::string_view context) const -> SignatureVerdict;

    /** Returns the body of the verified \a message. */
    [[nodiscard]] static auto bodyOf(std::span<const std::uint8_t> message) -> std::span<const std::uint8_t>;

private:
    static constexpr std::size_t secretBytes = 32;
    using Secret = std::array<std::uint8_t, secretBytes>;
    using Tag = std::array<std::uint8_t, tagBytes>;

    struct Key {
        std::uint32_t id = 0;
        Secret secret {};
    };

    [[nodiscard]] static auto makeTag(std::span<const std::uint8_t> signedPart, std::string_view context, const Secret&) -> Tag;

    std::vector<Key> keys;
};

} // namespace Primrosefork
