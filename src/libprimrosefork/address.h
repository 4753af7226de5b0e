#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Primrosefork {

/**
 * A numeric IPv4 address and port; host names are never resolved.
 */
struct Address {
    std::string ip;
    std::uint16_t port = 0;

    auto operator<=>(const Address&) const = default; // NOLINT(modernize-use-nullptr): reported for the generated code

    /** Returns the address as "ip:port". */
    [[nodiscard]] auto toString() const -> std::string;
};

/**
 * Returns the address that \a text contains, such as "127.0.0.1:8080", or nothing
 * when it is not a numeric IPv4 address with a port from 1 to 65535.
 */
[[nodiscard]] auto parseAddress(std::string_view text) -> std::optional<Address>;

} // namespace Primrosefork
