#include "address.h"

#include <arpa/inet.h>
#include <charconv>

namespace Primrosefork {

auto Address::toString() const -> std::string
{
    return this->ip + ":" + std::to_string(this->port);
}

auto parseAddress(std::string_view text) -> std::optional<Address>
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;

    Address address { std::string(text.substr(0, colon)), 0 };
    in_addr parsed {};
    if (inet_pton(AF_INET, address.ip.c_str(), &parsed) != 1)
        return std::nullopt;

    const auto digits = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), address.port);
    if (error != std::errc {} || end != digits.data() + digits.size() || address.port == 0)
        return std::nullopt;
    return address;
}

} // namespace Primrosefork
