#pragma once

#include <cstdint>
#include <string>

namespace Primrosefork {

constexpr std::uint8_t wholeOverflow = 8; ///< Eighths of all requests of a zone.

/** The part of a zone's requests to one service that is sent to another zone. */
struct OverflowShare {
    std::string service;
    std::string fromZone;
    std::string toZone;
    std::uint8_t eighths = 0; ///< Share of the requests, from 0 to wholeOverflow.

    auto operator==(const OverflowShare&) const -> bool = default;
};

} // namespace Primrosefork
