#pragma once

#include "keyvaluestore.h"
#include "peerkeyring.h"
#include "units.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Primrosefork {

/**
 * Request to a peer for the configuration records that it has in force.
 */
struct ConfigurationRequest {
    std::string sender;
    std::string nonce; ///< Random text that binds the answer to this request.
    std::chrono::milliseconds sentAt { 0 }; ///< Time since the Unix epoch by the sender's clock.
    StoreRevision after = 0; ///< Only records with a higher revision are requested.

    auto operator==(const ConfigurationRequest&) const -> bool = default;
};

/** Size limits of the configuration exchange. */
namespace ExchangeLimits {
constexpr std::size_t requestBytes = 512;
constexpr std::size_t answerBytes = 8 * mebibyte;
constexpr std::size_t nonceBytes = 32;
constexpr std::size_t senderBytes = 64;
constexpr std::size_t keyBytes = 512;
constexpr std::size_t valueBytes = mebibyte;
constexpr std::size_t records = 4'096;
} // namespace ExchangeLimits

/**
 * Encodes, signs, verifies and decodes the request and the answer of the
 * configuration exchange. Each is sent over TCP with a length prefix.
 */
class ConfigurationExchange {
public:
    using WallTime = std::chrono::milliseconds; ///< Time since the Unix epoch.
    static constexpr std::size_t lengthBytes = 4;

    explicit ConfigurationExchange(const std::vector<PeerKey>&);

    [[nodiscard]] auto encodeRequest(ConfigurationRequest, const std::string& recipient) const -> std::vector<std::uint8_t>;
    [[nodiscard]] auto decodeRequest(std::span<const std::uint8_t> message, const std::string& recipient, WallTime now) const -> std::optional<ConfigurationRequest>;
    [[nodiscard]] auto encodeAnswer(StoreListing, const std::string& nonce) const -> std::vector<std::uint8_t>;
    [[nodiscard]] auto decodeAnswer(std::span<const std::uint8_t> message, const std::string& nonce) const -> std::optional<StoreListing>;

    /** Returns \a message with its length prefix. */
    [[nodiscard]] static auto frame(std::span<const std::uint8_t> message) -> std::vector<std::uint8_t>;

    /** Returns the message length encoded in the first lengthBytes of \a data. */
    [[nodiscard]] static auto frameLength(std::span<const std::uint8_t> data) -> std::size_t;

private:
    PeerKeyring keyring;
};

} // namespace Primrosefork
